"""Starts the items of batch jobs at engines, and moves them between."""

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

#: A guess until the first stream of a kind was seen.
TOKENS_PER_EVENT: Final = 58

_log = logging.getLogger('bergamotdoor.gateway')


class Dispatcher:
    """Carries out where items run.

    Parameters
    ----------
    context
        Services of the process.
    poke
        Called when an item ended: there is room, or an item waits again.
    """

    def __init__(self, context: Context, poke: Callable[[], None]) -> None:
        self._context = context
        self._poke = poke
        self._reservations = Reservations(context.loads)
        self._suspects = ItemSuspects(context)

    def start_items(self, run: JobRun, route: Route) -> None:
        """Start as many items as the engines have room for."""
        now = self._context.clock.elapsed()
        upstreams = self._engines(run, route)
        slot = run.items.board.ready(now)
        while slot is not None:
            held = self._suspects.held(run.spec, slot.spec, upstreams, now)
            if held:
                run.items.board.defer(slot, now + held)
            else:
                upstream = self._place(run, slot, upstreams, now)
                if upstream is None:
                    return
                run.items.board.start(slot)
                self._start_item(run, route, slot, upstream)
            slot = run.items.board.ready(now)

    def move_items(self, run: JobRun, route: Route) -> None:
        """Stop items that should go on at another engine."""
        now = self._context.clock.elapsed()
        self._reservations.expire(now)
        # One that was told to leave is here until its connection is closed.
        progresses = [
            item.progress
            for item in run.running.values()
            if not item.task.cancelling()
        ]
        for progress in progresses:
            self._context.speeds.learn(progress)
        room: dict[UpstreamId, int] = {}
        for upstream in self._engines(run, route):
            free = free_slots(upstream, self._context.loads, now)
            if free > 0:
                room[upstream.upstream] = free
        for move in moves(progresses, room, self._context.speeds, now):
            self._move(run, move)

    def _engines(self, run: JobRun, route: Route) -> tuple[Upstream, ...]:
        """Return the engines whose weights the job takes."""
        fleet = self._context.fleet
        return tuple(
            upstream
            for upstream in fleet.of_service(pick_service(route, 0))
            if fleet.version(upstream.upstream, run.spec.model)
            >= run.spec.min_version
        )

    def _place(
        self,
        run: JobRun,
        slot: Slot,
        upstreams: tuple[Upstream, ...],
        now: dt.timedelta,
    ) -> Upstream | None:
        if self._suspects.runs_apart(run.spec, slot.spec):
            upstreams = self._suspects.without_others(upstreams)
        group = slot.spec.group
        kept = self._reservations.take(slot.spec.item)
        found = next((one for one in upstreams if one.upstream == kept), None)
        if found and free_slots(found, self._context.loads, now) > 0:
            return found
        found = place_item(
            upstreams,
            self._context.loads,
            self._context.speeds,
            run.items.board.homes.get(group),
            slot.avoid,
            now,
        )
        if found is not None:
            run.items.board.homes[group] = found.upstream
        return found

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
        # Counted before the task begins, so that the next choice sees it.
        self._suspects.enter(run.spec, slot.spec, upstream.upstream)
        load = self._context.loads.of(upstream.upstream)
        load.placed(now)
        task = start_counted(load, self._run_item(run, slot, item))
        # Behind the callback that counts the slot as free.
        task.add_done_callback(lambda _: self._poke())
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
            self._leave(run, item)
        if isinstance(end, ItemResult):
            run.items.take_text(end)
        else:
            now = self._context.clock.elapsed()
            run.items.give_back(slot, end, upstream, now)

    def _leave(self, run: JobRun, item: ItemRun) -> None:
        run.running.pop(item.spec.item, None)
        self._suspects.leave(item.spec.item)
        self._context.speeds.learn(item.progress)

    def _move(self, run: JobRun, move: Move) -> None:
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
