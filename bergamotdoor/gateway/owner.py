"""Runs the batch jobs that this process owns."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.calls.manifest import RouteKind, pick_service
from bergamotdoor.gateway.context import Tasks
from bergamotdoor.gateway.item_run import ItemRun, run_item
from bergamotdoor.gateway.job_run import JobRun
from bergamotdoor.jobs.board import RunEnd
from bergamotdoor.jobs.messages import ItemResult, JobRecord
from bergamotdoor.jobs.placement import free_slots, place_item
from bergamotdoor.jobs.progress import Progress, Speeds, moves
from bergamotdoor.objects.messages import Outcome

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.calls.manifest import Route
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.gateway.context import Context
    from bergamotdoor.gateway.job_store import FoundJob, JobStore, LoadedJob
    from bergamotdoor.gateway.views import ManifestView
    from bergamotdoor.jobs.board import Slot
    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.types import ItemId, JobId, UpstreamId

#: How often items that wait for a rest to end are looked at.
_TICK_S: Final = 0.1
#: How often the owner looks whether its jobs were ended or taken over by a
#: process that could not tell it. A stale list costs a tenth of a call.
_SWEEP_S: Final = 2

#: A guess until the first stream of a kind was seen.
TOKENS_PER_EVENT: Final = 58

_log = logging.getLogger('bergamotdoor.gateway')


class _Running(msgspec.Struct, frozen=True):
    """An item that runs now."""

    progress: Progress
    task: asyncio.Task[None]


class JobOwner:
    """Owns jobs, starts their items and lists their results.

    Parameters
    ----------
    context
        Services of the process.
    store
        Where jobs are kept.
    manifests
        The routes.
    """

    def __init__(
        self, context: Context, store: JobStore, manifests: ManifestView
    ) -> None:
        self._context = context
        self._store = store
        self._manifests = manifests
        self._runs: dict[JobId, JobRun] = {}
        self._tasks = Tasks()
        self._items: dict[JobId, dict[ItemId, _Running]] = {}
        self.speeds = Speeds()
        self._wake = asyncio.Event()
        self.stopping = False

    def start(self) -> None:
        """Begin to work."""
        self._tasks.start(self._pump())
        self._tasks.start(self._sweep())

    async def stop(self) -> None:
        """Stop all work at once."""
        self.stopping = True
        for tasks in self._items.values():
            for running in tuple(tasks.values()):
                running.task.cancel()
        await self._tasks.stop()

    def poke(self) -> None:
        """Look for work again: upstreams or routes have changed."""
        self._wake.set()

    def get(self, job: JobId) -> JobRun | None:
        """Return a job that this process owns, or owned until its end."""
        return self._runs.get(job)

    def own_record(self, term: int, parts: int) -> JobRecord:
        """Return the record of a job owned by this process."""
        return JobRecord(
            self._context.settings.node,
            self._context.own_address,
            term,
            parts,
        )

    def adopt(self, found: FoundJob, loaded: LoadedJob) -> JobRun | None:
        """Run a job whose record names this process; None without route."""
        known = self._runs.get(found.job)
        if known is not None and not known.ended:
            return known
        route = self.route_of(loaded.spec)
        if route is None:
            return None
        run = JobRun(
            self._context,
            self._store,
            found,
            loaded,
            route,
            self._context.clock.elapsed(),
        )
        self._runs[found.job] = run
        self._items[found.job] = {}
        if found.status.ended:
            run.end()
        self._tasks.start(run.store_results())
        self._tasks.start(run.checkpoint())
        _log.info(
            'gateway: job %s owned, term %d, %d items, %d listed',
            found.job,
            found.record.term,
            len(loaded.spec.items),
            len(loaded.ledger),
        )
        self.poke()
        return run

    def end(self, job: JobId) -> None:
        """Stop a job's items."""
        run = self._runs.get(job)
        if run is None or run.ended:
            return
        run.end()
        for running in tuple(self._items[job].values()):
            running.task.cancel()
        _log.info(
            'gateway: job %s ended, %d of %d listed',
            job,
            len(run.ledger),
            len(run.spec.items),
        )

    def route_of(self, spec: JobSpec) -> Route | None:
        """Return the route of a job by the manifest in force."""
        manifest = self._manifests.manifest
        if manifest is None:
            return None
        route = manifest.match(spec.host, spec.path)
        if route is None or route.kind is not RouteKind.BATCH:
            return None
        return route

    async def _pump(self) -> None:
        while True:
            self._wake.clear()
            self._start_items()
            try:
                async with asyncio.timeout(_TICK_S if self._busy() else None):
                    await self._wake.wait()
            except TimeoutError:
                self._move_items()

    def _move_items(self) -> None:
        for run in self._runs.values():
            if run.active:
                self._move_items_of(run)

    def _move_items_of(self, run: JobRun) -> None:
        now = self._context.clock.elapsed()
        running = self._items[run.spec.job]
        for one in running.values():
            self.speeds.learn(one.progress)
        room = self._room(run, now)
        progresses = [one.progress for one in running.values()]
        for move in moves(progresses, room, self.speeds, now):
            progress = running[move.item].progress
            _log.info(
                'gateway: item %s of job %s leaves %s after %d events: %s',
                move.item,
                run.spec.job,
                progress.upstream,
                progress.events,
                'stalled' if move.stalled else 'slow',
            )
            running[move.item].task.cancel()

    def _room(self, run: JobRun, now: dt.timedelta) -> dict[UpstreamId, int]:
        loads = self._context.loads
        return {
            upstream.upstream: free
            for upstream in self._fresh_upstreams(run)
            if (free := free_slots(upstream, loads, now)) > 0
        }

    def _fresh_upstreams(self, run: JobRun) -> tuple[Upstream, ...]:
        route = self.route_of(run.spec)
        if route is None:
            return ()
        fleet = self._context.fleet
        return tuple(
            upstream
            for upstream in fleet.of_service(pick_service(route, 0))
            if fleet.version(upstream.upstream, run.spec.model)
            >= run.spec.min_version
        )

    def _busy(self) -> bool:
        return any(run.active for run in self._runs.values())

    def _start_items(self) -> None:
        active = [run for run in self._runs.values() if run.active]
        active.sort(key=lambda run: run.due_at)
        for run in active:
            self._start_items_of(run)

    def _start_items_of(self, run: JobRun) -> None:
        route = self.route_of(run.spec)
        if route is None:
            self._without_route(run)
            return
        now = self._context.clock.elapsed()
        upstreams = self._fresh_upstreams(run)
        slot = run.board.ready(now)
        while slot is not None:
            upstream = self._place(run, slot, upstreams)
            if upstream is None:
                return
            run.board.start(slot)
            self._start_item(run, route, slot, upstream)
            slot = run.board.ready(now)

    def _place(
        self, run: JobRun, slot: Slot, upstreams: tuple[Upstream, ...]
    ) -> Upstream | None:
        context = self._context
        group = slot.spec.group
        found = place_item(
            upstreams,
            context.loads,
            self.speeds,
            run.homes.get(group),
            slot.avoid,
            context.clock.elapsed(),
        )
        if found is not None:
            run.homes[group] = found.upstream
        return found

    def _without_route(self, run: JobRun) -> None:
        if self._manifests.manifest is None:
            return
        _log.info('gateway: job %s: its route is gone', run.spec.job)
        run.board.give_up()
        run.wake_writer()

    def _start_item(
        self, run: JobRun, route: Route, slot: Slot, upstream: Upstream
    ) -> None:
        transcript = run.transcript(slot)
        progress = Progress(
            slot.spec.item,
            upstream.upstream,
            self._context.clock.elapsed(),
            slot.spec.expected_tokens / TOKENS_PER_EVENT,
            transcript.count,
            transcript.count,
        )
        item = ItemRun(
            run.spec, slot.spec, route, upstream, transcript, progress
        )
        # Counted before the task begins, so that the next choice sees it.
        load = self._context.loads.of(upstream.upstream)
        load.in_flight += 1
        load.placed(self._context.clock.elapsed())
        task = asyncio.create_task(self._run_item(run, slot, item))
        running = self._items[run.spec.job]
        running[slot.spec.item] = _Running(progress, task)
        task.add_done_callback(lambda _: running.pop(slot.spec.item, None))

    async def _run_item(self, run: JobRun, slot: Slot, item: ItemRun) -> None:
        upstream = item.upstream.upstream
        try:
            end = await run_item(self._context, item)
        except asyncio.CancelledError:
            if run.ended or self.stopping:
                raise
            end = RunEnd.MOVED
        finally:
            self._context.loads.of(upstream).in_flight -= 1
            self.speeds.learn(item.progress)
        if isinstance(end, ItemResult):
            run.finish(end)
        else:
            run.give_back(slot, end, upstream)
        self.poke()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            if self._busy():
                jobs = await self._store.all_jobs(stale=True)
                if not isinstance(jobs, Outcome):
                    self._take_sweep(jobs)

    def _take_sweep(self, jobs: tuple[FoundJob, ...]) -> None:
        for found in jobs:
            run = self._runs.get(found.job)
            if run is None:
                continue
            taken_over = found.record.term > run.found.record.term
            if found.status.ended or taken_over:
                self.end(found.job)
            if taken_over:
                self._runs.pop(found.job, None)
