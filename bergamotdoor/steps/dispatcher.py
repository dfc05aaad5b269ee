"""Starts the items of batch jobs at engines and moves running items."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.calls.manifest import pick_service
from bergamotdoor.forwarding.counted import start_counted
from bergamotdoor.jobs import (
    ItemResult,
    Progress,
    Reservations,
    RunEnd,
    free_slots,
    moves,
    place_item,
)
from bergamotdoor.observe.events import Counted
from bergamotdoor.steps.item_request import ItemRun
from bergamotdoor.steps.item_run import run_item
from bergamotdoor.steps.item_suspects import ItemSuspects
from bergamotdoor.steps.job_run import RunningItem, RunState

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Callable

    from bergamotdoor.calls.manifest import Route
    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.jobs import Move, Slot
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.types import UpstreamId

#: Assumed number of tokens in one event of an engine's stream. It converts the
#: token counts of an item's length hint to events.
TOKENS_PER_EVENT: Final = 58

_log = logging.getLogger('bergamotdoor.gateway')


class Dispatcher:
    """Starts and moves the items of the jobs that this process owns.

    Parameters
    ----------
    context
        Services of the process.
    poke
        Callback without arguments. It is called after the run of an item has
        ended, when a slot is free or the item waits to run again.
    """

    def __init__(self, context: Context, poke: Callable[[], None]) -> None:
        self._context = context
        self._on_item_end = poke
        self._reservations = Reservations(context.loads)
        self._suspects = ItemSuspects(context)

    def start_items(self, run: JobRun, route: Route) -> None:
        """Start waiting items of a job while engines have free slots."""
        now = self._context.clock.elapsed()
        upstreams = self._eligible_engines(run, route)
        slot = run.items.board.ready(now)
        while slot is not None:
            wait = self._suspects.held(run.spec, slot.spec, upstreams, now)
            if wait:
                run.items.board.defer(slot, now + wait)
            else:
                upstream = self._choose_engine(run, slot, upstreams, now)
                if upstream is None:
                    return
                run.items.board.start(slot)
                self._start_item(run, route, slot, upstream)
            slot = run.items.board.ready(now)

    def move_items(self, run: JobRun, route: Route) -> None:
        """Cancel the runs of items that should continue at another engine.

        Each of them starts again at the engine where a slot is reserved for
        it.
        """
        now = self._context.clock.elapsed()
        self._reservations.expire(now)
        # A cancelled run stays in `running` until its connection is closed.
        # It must not be moved a second time.
        progresses = [
            item.progress
            for item in run.running.values()
            if not item.task.cancelling()
        ]
        for progress in progresses:
            self._context.speeds.learn(progress)
        room: dict[UpstreamId, int] = {}
        for upstream in self._eligible_engines(run, route):
            free = free_slots(upstream, self._context.loads, now)
            if free > 0:
                room[upstream.upstream] = free
        for move in moves(progresses, room, self._context.speeds, now):
            self._move_item(run, move)

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

    def _choose_engine(
        self,
        run: JobRun,
        slot: Slot,
        upstreams: tuple[Upstream, ...],
        now: dt.timedelta,
    ) -> Upstream | None:
        """Return the engine that should run an item; ``None`` if all are full.

        A reserved slot has priority.
        """
        if self._suspects.runs_apart(run.spec, slot.spec):
            upstreams = self._suspects.without_others(upstreams)
        group = slot.spec.group
        reserved = self._reservations.take(slot.spec.item)
        chosen = next(
            (one for one in upstreams if one.upstream == reserved), None
        )
        if chosen and free_slots(chosen, self._context.loads, now) > 0:
            return chosen
        chosen = place_item(
            upstreams,
            self._context.loads,
            self._context.speeds,
            run.items.board.homes.get(group),
            slot.avoid,
            now,
        )
        if chosen is not None:
            run.items.board.homes[group] = chosen.upstream
        return chosen

    def _start_item(
        self, run: JobRun, route: Route, slot: Slot, upstream: Upstream
    ) -> None:
        now = self._context.clock.elapsed()
        transcript = run.items.transcript(slot)
        progress = Progress(
            slot.spec.item,
            upstream.upstream,
            now,
            slot.spec.expected_tokens / TOKENS_PER_EVENT,
            transcript.count,
            slot.spec.most_tokens / TOKENS_PER_EVENT,
        )
        item = ItemRun(
            run.spec, slot.spec, route, upstream, transcript, progress
        )
        # Counted before the task starts, so that the next choice of an engine
        # includes this run.
        self._suspects.enter(run.spec, slot.spec, upstream.upstream)
        load = self._context.loads.of(upstream.upstream)
        load.record_sent(now)
        task = start_counted(load, self._run_item(run, slot, item))
        # Added after the callback that counts the slot as free, so it runs
        # after that one.
        task.add_done_callback(lambda _: self._on_item_end())
        run.running[slot.spec.item] = RunningItem(progress, task)

    async def _run_item(self, run: JobRun, slot: Slot, item: ItemRun) -> None:
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
            run.items.take_text(end)
        else:
            now = self._context.clock.elapsed()
            run.items.give_back(slot, end, upstream, now)

    def _remove_run(self, run: JobRun, item: ItemRun) -> None:
        run.running.pop(item.spec.item, None)
        self._suspects.leave(item.spec.item)
        self._context.speeds.learn(item.progress)

    def _move_item(self, run: JobRun, move: Move) -> None:
        item = run.running[move.item]
        now = self._context.clock.elapsed()
        self._reservations.keep(move.item, move.goal, now)
        self._context.metrics.count(Counted.ITEM_MOVED)
        _log.info(
            'gateway: item %s of job %s leaves %s after %d events: %s',
            move.item,
            run.spec.job,
            item.progress.upstream,
            item.progress.events,
            'stalled' if move.stalled else 'slow',
        )
        item.task.cancel()
