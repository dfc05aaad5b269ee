"""Starts the items of batch jobs at engines and moves running items."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from bergamotdoor.calls.manifest import Route, pick_service
from bergamotdoor.fleet.upstreams import Upstream, serve_several_models
from bergamotdoor.forwarding.counted import start_counted
from bergamotdoor.jobs import (
    ItemLengths,
    ItemResult,
    ItemToPlace,
    MoveReason,
    PendingLoads,
    Reservations,
    RunEnd,
    choose_moves,
    free_slots,
    has_faster,
    place_item,
    short_time_s,
)
from bergamotdoor.observe import subjects
from bergamotdoor.observe.events import Counted
from bergamotdoor.steps.item_request import ItemRun
from bergamotdoor.steps.item_run import run_item
from bergamotdoor.steps.job_run import RunningItem, RunState

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.jobs import Move, QueuedItem
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.types import UpstreamId

_log = logging.getLogger('bergamotdoor.gateway')


class Dispatcher:
    """Starts and moves the items of the jobs that this process owns.

    Parameters
    ----------
    context
        Services of the process.
    manifests
        The current manifest, with the rules of the engines' services.
    on_item_end
        Callback without arguments. It is called after the run of an item has
        ended, when a slot is free or the item waits to run again.
    """

    def __init__(
        self,
        context: Context,
        manifests: ManifestView,
        on_item_end: Callable[[], None],
    ) -> None:
        self._context = context
        self._manifests = manifests
        self._on_item_end = on_item_end
        self._reservations = Reservations(context.loads)
        #: Whether items are placed by their length: while the open jobs need
        #: more than the engines can do in time.
        self.by_length = False

    def start_items(self, run: JobRun, route: Route) -> Iterator[None]:
        """Start waiting items of a job while engines have free slots.

        Yields
        ------
        None
            After each item that was started, so that an item of another job
            can start next.
        """
        now = self._context.clock.elapsed()
        upstreams = self._eligible_engines(run, route)
        lengths = self._item_lengths(run, route)
        queued = run.items.item_queue.next_item(now)
        while queued is not None:
            upstream = self._choose_engine(run, queued, upstreams, lengths)
            if upstream is None:
                return
            run.items.item_queue.start(queued)
            item = ItemRun(
                run.spec,
                queued.spec,
                route,
                upstream,
                run.items.transcript(queued),
                lengths.start_progress(queued.spec, upstream.upstream, now),
            )
            self._start_item(run, queued, item)
            yield
            queued = run.items.item_queue.next_item(now)

    def move_items(self, run: JobRun, route: Route) -> None:
        """Cancel the runs of items that should continue at another engine.

        Each of them starts again at the engine where a slot is reserved for
        it.
        """
        now = self._context.clock.elapsed()
        self._reservations.release_expired(now)
        # A cancelled run stays in `running` until its connection is closed.
        # It must not be moved a second time.
        progresses = [
            item.progress
            for item in run.running.values()
            if not item.task.cancelling()
        ]
        for progress in progresses:
            self._context.speeds.add_intervals(progress)
        upstreams = self._eligible_engines(run, route)
        movable = (
            one
            for one in progresses
            if not self._context.loads.of(one.upstream).is_resuming(now)
        )
        for move in choose_moves(
            movable,
            self._free_by_engine(upstreams),
            self._context.speeds,
            now,
            self._pending_loads(run, upstreams),
            self._short_time_s(run, route, upstreams),
        ):
            self._move_item(run, move)

    def _pending_loads(
        self, run: JobRun, upstreams: tuple[Upstream, ...]
    ) -> PendingLoads:
        """Return the weight loads of the engines that run items of a job."""
        now = self._context.clock.elapsed()
        fleet, model = self._context.fleet, run.spec.model
        announced = fleet.announced_versions.get(model, 0)
        engines = {one.progress.upstream for one in run.running.values()}
        return PendingLoads(
            {
                name: left
                for name in engines
                if (left := self._context.loads.of(name).load_time_left(now))
                is not None
            },
            frozenset(
                one.upstream
                for one in upstreams
                if fleet.version(one.upstream, model) >= announced
            ),
        )

    def _is_short_of_slots(self, run: JobRun) -> bool:
        """Return whether an item of a job waits for a slot."""
        now = self._context.clock.elapsed()
        return run.items.item_queue.next_item(now) is not None

    def _free_by_engine(
        self, upstreams: tuple[Upstream, ...]
    ) -> dict[UpstreamId, int]:
        """Return the number of free slots of each engine that has one."""
        now = self._context.clock.elapsed()
        free = {
            one.upstream: free_slots(one, self._context.loads, now)
            for one in upstreams
        }
        return {name: count for name, count in free.items() if count > 0}

    def _short_time_s(
        self, run: JobRun, route: Route, upstreams: tuple[Upstream, ...]
    ) -> float:
        """Return below which time an item of a job is short, in seconds.

        While no item waits for a slot it is 0, so that all items move that
        gain: hints are often too low, and the step waits for those items.
        """
        if not (self.by_length and serve_several_models(upstreams)):
            return 0
        intervals_s = [
            self._context.speeds.interval_s(one.upstream) for one in upstreams
        ]
        if not has_faster(intervals_s) or not self._is_short_of_slots(run):
            return 0
        lengths = self._item_lengths(run, route)
        return short_time_s(lengths.longest_events, intervals_s)

    def _eligible_engines(
        self, run: JobRun, route: Route
    ) -> tuple[Upstream, ...]:
        """Return the engines with weights that are new enough for a job."""
        fleet = self._context.fleet
        return tuple(
            upstream
            for upstream in fleet.of_service(pick_service(route, 0))
            if fleet.version(upstream.upstream, run.spec.model)
            >= run.spec.min_version
        )

    def _item_lengths(self, run: JobRun, route: Route) -> ItemLengths:
        rules = self._manifests.service_rules(pick_service(route, 0))
        return ItemLengths(run.items, rules.tokens_per_event)

    def _choose_engine(
        self,
        run: JobRun,
        queued: QueuedItem,
        upstreams: tuple[Upstream, ...],
        lengths: ItemLengths,
    ) -> Upstream | None:
        """Return the engine that should run an item; ``None`` if all are full.

        A reserved slot has priority.
        """
        now = self._context.clock.elapsed()
        group = queued.spec.group
        reserved = self._reservations.release_slot(queued.spec.item)
        chosen = next(
            (one for one in upstreams if one.upstream == reserved), None
        )
        if chosen and free_slots(chosen, self._context.loads, now) > 0:
            return chosen
        chosen = place_item(
            upstreams,
            self._context.loads,
            self._context.speeds,
            ItemToPlace(
                run.items.item_queue.prompt_upstreams.get(group),
                queued.avoid,
                lengths.remaining_events(queued.spec),
                lengths.longest_events,
                self.by_length and serve_several_models(upstreams),
            ),
            now,
        )
        if chosen is not None:
            run.items.item_queue.prompt_upstreams[group] = chosen.upstream
        return chosen

    def _start_item(
        self, run: JobRun, queued: QueuedItem, item: ItemRun
    ) -> None:
        # Counted before the task starts, so that the next choice of an engine
        # includes this run.
        load = self._context.loads.of(item.upstream.upstream)
        load.record_sent(self._context.clock.elapsed())
        with subjects.only_about(run.spec.job):
            task = start_counted(load, self._run_item(run, queued, item))
        # Added after the callback that counts the slot as free, so it runs
        # after that one.
        task.add_done_callback(lambda _: self._on_item_end())
        run.running[queued.spec.item] = RunningItem(item.progress, task)

    async def _run_item(
        self, run: JobRun, queued: QueuedItem, item: ItemRun
    ) -> None:
        upstream = item.upstream.upstream
        try:
            end = await run_item(self._context, item)
        except asyncio.CancelledError:
            if run.state is not RunState.RUNNING:
                raise
            end = RunEnd.MOVED
        finally:
            self._remove_run(run, item)
        if isinstance(end, ItemResult):
            run.items.record_text(end)
        else:
            now = self._context.clock.elapsed()
            run.items.requeue_item(queued, end, upstream, now)

    def _remove_run(self, run: JobRun, item: ItemRun) -> None:
        run.running.pop(item.spec.item, None)
        self._context.speeds.add_intervals(item.progress)

    def _move_item(self, run: JobRun, move: Move) -> None:
        item = run.running[move.item]
        now = self._context.clock.elapsed()
        self._reservations.reserve_slot(move.item, move.destination, now)
        self._context.metrics.count(Counted.ITEM_MOVED)
        if move.reason is MoveReason.LOAD:
            self._context.metrics.count(Counted.ITEM_MOVED_FOR_LOAD)
        _log.info(
            'gateway: item %s of job %s leaves %s after %d events: %s',
            move.item,
            run.spec.job,
            item.progress.upstream,
            item.progress.events,
            move.reason.value,
        )
        item.task.cancel()
