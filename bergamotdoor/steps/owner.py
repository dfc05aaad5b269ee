"""Runs the batch jobs that this process owns."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.observe.events import Counted
from bergamotdoor.steps.dispatcher import Dispatcher
from bergamotdoor.steps.job_keeper import keep_open_items
from bergamotdoor.steps.job_run import JobRun, RunState
from bergamotdoor.steps.result_writer import ResultWriter
from bergamotdoor.steps.scorer import Scorer
from bergamotdoor.steps.target import groups_again
from bergamotdoor.stored import Outcome
from bergamotdoor.tasks import Tasks

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.objects.job_codec import FoundJob, LoadedJob
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.types import JobId

#: How often items that wait for a rest to end are looked at, and items
#: that run.
_TICK_S: Final = 0.1
#: How often the owner looks whether its jobs were ended or taken over by a
#: process that could not tell it. A stale list costs a tenth of a call.
_SWEEP_S: Final = 2
#: A job may come in by a route that this process does not know yet; after
#: this every manifest is in force everywhere, so the route is gone.
_ROUTE_PATIENCE: Final = dt.timedelta(seconds=10)
#: Far more ends than come while a job is loaded, which takes seconds.
_MOST_TOLD: Final = 256

_log = logging.getLogger('bergamotdoor.gateway')


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
        self._dispatcher = Dispatcher(context, self.poke)
        self._scorer = Scorer(context, manifests, self.poke)
        self._runs: dict[JobId, JobRun] = {}
        #: Ended jobs that this process did not have when it was told.
        self._told_ended: tuple[JobId, ...] = ()
        self._tasks = Tasks()
        #: Whether this process takes no more jobs.
        self.stopping = False
        self._wake = asyncio.Event()

    def start(self) -> None:
        """Begin to work."""
        self._tasks.start(self._pump())
        self._tasks.start(self._sweep())

    async def stop(self) -> None:
        """Stop all work at once; the next owner goes on."""
        for run in self._runs.values():
            run.stop()
        await self._tasks.stop()

    @property
    def takes_jobs(self) -> bool:
        """Whether this process can run a job that is new.

        Failure: a process that has just started reaches no store, and is
        given a job. Symptom: it can start nothing, and its readers wait
        for it; the entry that has the job runs it otherwise.
        """
        return not self.stopping and self._manifests.manifest is not None

    def take_no_more(self) -> tuple[JobRun, ...]:
        """Become the owner of nothing more; return what has open items."""
        self.stopping = True
        return tuple(run for run in self._runs.values() if run.active)

    def forget(self, job: JobId) -> None:
        """Leave a job to its next owner."""
        self._runs.pop(job, None)

    def poke(self) -> None:
        """Look for work again: upstreams or routes have changed."""
        self._wake.set()

    def get(self, job: JobId) -> JobRun | None:
        """Return a job that this process owns, or owned until its end."""
        return self._runs.get(job)

    def runs(self) -> tuple[JobRun, ...]:
        """Return all jobs that are kept here."""
        return tuple(self._runs.values())

    def adopt(self, found: FoundJob, loaded: LoadedJob) -> JobRun:
        """Run a job whose record names this process, or serve an ended one."""
        known = self._runs.get(found.job)
        if known is not None and known.state is RunState.RUNNING:
            # Perhaps handed back before its loss was noticed.
            known.take_record(found)
            return known
        now = self._context.clock.elapsed()
        route = self._manifests.batch_route(loaded.spec)
        patience = _ROUTE_PATIENCE if route is None else route.due
        earlier = tuple(one.spec for one in self._runs.values())
        run = JobRun(self._context, self._store, found, loaded, now + patience)
        self._runs[found.job] = run
        self._context.metrics.count(Counted.JOB_OWNED)
        if found.record.term > 1:
            self._context.metrics.count(Counted.JOB_TAKEN_OVER)
        if found.status.ended or found.job in self._told_ended:
            run.end()
        else:
            writer = ResultWriter(
                run, self._context, groups_again(loaded.spec, earlier)
            )
            self._tasks.start(writer.run())
            self._tasks.start(
                keep_open_items(run, self._store, self._context.clock)
            )
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
        if run is None:
            # Told while it is loaded: it was found before its end.
            self._told_ended = (*self._told_ended[1 - _MOST_TOLD :], job)
        elif not run.ended:
            run.end()
            run.note_end()

    async def _pump(self) -> None:
        while True:
            self._wake.clear()
            self._start_items()
            try:
                async with asyncio.timeout(
                    _TICK_S if _any_active(self._runs) else None
                ):
                    await self._wake.wait()
            except TimeoutError:
                self._tick()

    def _start_items(self) -> None:
        active = [run for run in self._runs.values() if run.active]
        active.sort(key=_due_at)
        self._scorer.start_calls(active)
        for run in active:
            route = self._manifests.batch_route(run.spec)
            if route is not None:
                run.items.board.max_failures = route.max_attempts
                # A slot that comes free at a fast engine is for an item that
                # has outgrown its hint at a slow one: the step waits for it
                # longer than for one that has not begun.
                self._dispatcher.move_items(run, route)
                self._dispatcher.start_items(run, route)

    def _tick(self) -> None:
        now = self._context.clock.elapsed()
        knows_routes = self._manifests.manifest is not None
        for run in filter(_is_active, tuple(self._runs.values())):
            route = self._manifests.batch_route(run.spec)
            routeless = run.routeless(route)
            if route is not None:
                self._dispatcher.move_items(run, route)
                _give_up_late(run, route.give_up, now)
            elif knows_routes and routeless > _ROUTE_PATIENCE:
                _log.info('gateway: job %s: its route is gone', run.spec.job)
                run.give_up()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            self._runs = dict(_kept(self._runs, self._context))
            if not _any_active(self._runs):
                continue
            jobs = await self._store.all_jobs(stale=True)
            if not isinstance(jobs, Outcome):
                self._take_sweep(jobs)

    def _take_sweep(self, jobs: tuple[FoundJob, ...]) -> None:
        for found in jobs:
            run = self._runs.get(found.job)
            if run is None:
                continue
            if found.status.ended:
                self.end(found.job)
            if found.record.term > run.found.record.term:
                run.stop()
                self.forget(found.job)


def _is_active(run: JobRun) -> bool:
    return run.active


def _any_active(runs: dict[JobId, JobRun]) -> bool:
    return any(map(_is_active, runs.values()))


def _due_at(run: JobRun) -> dt.timedelta:
    return run.due_at


def _give_up_late(
    run: JobRun, give_up: dt.timedelta | None, now: dt.timedelta
) -> None:
    # Counted from this process's taking of the job, so never too early.
    if give_up is not None and now - run.began > give_up:
        _log.info('gateway: job %s: given up after %s', run.spec.job, give_up)
        run.give_up()


def _kept(
    runs: dict[JobId, JobRun], context: Context
) -> Iterator[tuple[JobId, JobRun]]:
    """Return the jobs that somebody may still ask for."""
    now = context.clock.elapsed()
    for job, run in runs.items():
        if not run.ended or now - run.began <= context.settings.retention:
            yield job, run
