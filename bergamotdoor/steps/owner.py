"""Runs the batch jobs that this process owns, until they end."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.observe import subjects
from bergamotdoor.steps.dispatcher import Dispatcher
from bergamotdoor.steps.item_saving import save_open_items
from bergamotdoor.steps.job_run import JobRun, RunState, record_adoption
from bergamotdoor.steps.ownership import OwnershipCheck
from bergamotdoor.steps.result_writer import ResultWriter
from bergamotdoor.steps.scorer import Scorer
from bergamotdoor.steps.step_planner import StepPlanner
from bergamotdoor.tasks import Tasks

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.objects.job_codec import FoundJob, LoadedJob
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.types import JobId

#: Interval at which running items are checked, and items that wait for the
#: end of a pause or of a quarantine.
_TICK_INTERVAL_S: Final = 0.1
#: How long a job may have no route. It may have been submitted by a route
#: that this process does not know yet. After this time every manifest is in
#: force at every entry, so the route was removed.
_ROUTE_TIMEOUT: Final = dt.timedelta(seconds=10)
#: The most remembered ends of jobs that this process did not have. Loading a
#: job takes seconds, and far fewer jobs end in that time.
_MAX_EARLY_ENDS: Final = 256

_log = logging.getLogger('bergamotdoor.gateway')


class JobOwner:
    """The jobs of this process: starts their items and lists their results.

    Parameters
    ----------
    context
        Services of the process.
    store
        Store of the jobs.
    manifests
        The current manifest, with the routes of the jobs.
    """

    def __init__(
        self, context: Context, store: JobStore, manifests: ManifestView
    ) -> None:
        self._context = context
        self._store = store
        self._manifests = manifests
        self._dispatcher = Dispatcher(context, manifests, self.wake_up)
        #: Forecasts of the open jobs.
        self.planner = StepPlanner(context, manifests)
        self._scorer = Scorer(context, manifests, self.wake_up)
        self._ownership = OwnershipCheck(
            store, context.clock, self.apply_record
        )
        self._runs: dict[JobId, JobRun] = {}
        #: Jobs whose end was reported while this process did not have them.
        self._early_ends: tuple[JobId, ...] = ()
        self._tasks = Tasks()
        #: Whether this process accepts no more jobs.
        self.stopping = False
        #: Called with each job whose items this process begins to run.
        self.on_adoption: Callable[[JobRun], None] = _ignore
        #: Called with each job that this process has adopted although it
        #: stops: the job was being loaded or stored when the stop began.
        self.on_late_adoption: Callable[[JobRun], object] = _ignore
        self._wake = asyncio.Event()

    def start(self) -> None:
        """Start the background tasks."""
        self._tasks.start(self._run_items())
        self._tasks.start(self._ownership.run(self._retain_jobs))

    async def stop(self) -> None:
        """Stop all items at once, and wait for the background tasks."""
        for run in self._runs.values():
            run.stop()
        await self._tasks.stop()

    @property
    def accepts_jobs(self) -> bool:
        """Whether this process can run a new job.

        Failure: a process that has just started can't reach the store, and
        receives a job. Symptom: without a manifest it can't start any item,
        and the job's readers wait for it. If it rejects the job, the entry
        that sent it runs it.
        """
        return not self.stopping and self._manifests.manifest is not None

    def stop_accepting_jobs(self) -> tuple[JobRun, ...]:
        """Accept no more jobs; return those with open items."""
        self.stopping = True
        return tuple(run for run in self._runs.values() if run.active)

    def drop_job(self, job: JobId) -> None:
        """Drop a job that another process owns from now on."""
        self._runs.pop(job, None)

    def apply_record(self, found: FoundJob) -> None:
        """End a job that has ended, or stop it if another process owns it.

        Parameters
        ----------
        found
            The job's record as it is stored, or as its owner announced it.
        """
        run = self._runs.get(found.job)
        if run is None:
            return
        if found.status.ended:
            self.end(found.job)
        if found.record.owner == self._context.settings.node:
            run.update_record(found)
        elif found.record.term > run.stored_job.record.term:
            _log.info(
                'gateway: job %s is owned by %s, term %d',
                found.job,
                found.record.owner,
                found.record.term,
            )
            run.stop()
            self.drop_job(found.job)

    def wake_up(self) -> None:
        """Start waiting items now, since slots or routes may have changed."""
        self._wake.set()

    def get(self, job: JobId) -> JobRun | None:
        """Return a job that this process owns, or owned until it ended."""
        return self._runs.get(job)

    def runs(self) -> tuple[JobRun, ...]:
        """Return all jobs of this process, ended ones included."""
        return tuple(self._runs.values())

    def adopt(self, found: FoundJob, loaded: LoadedJob) -> JobRun:
        """Run a job whose record names this process, or serve an ended one.

        Parameters
        ----------
        found
            The job's record.
        loaded
            The job's body, its results so far and saved partial transcripts.
        """
        known = self._runs.get(found.job)
        if known is not None and known.state is RunState.RUNNING:
            # Another process may have taken the job over and handed it back
            # before this process noticed.
            known.update_record(found)
            return known
        now = self._context.clock.elapsed()
        route = self._manifests.batch_route(loaded.spec)
        time_allowed = _ROUTE_TIMEOUT if route is None else route.due_after
        earlier = tuple(one.spec for one in self._runs.values())
        run = JobRun(
            self._context, self._store, found, loaded, now + time_allowed
        )
        self._runs[found.job] = run
        if found.status.ended or found.job in self._early_ends:
            run.end()
        else:
            resubmitted = self.planner.add_job(loaded.spec, earlier)
            writer = ResultWriter(run, self._context, resubmitted)
            saving = save_open_items(run, self._store, self._context.clock)
            with subjects.only_about(found.job):
                for work in (writer.run(), saving):
                    self._tasks.start(work)
            self.on_adoption(run)
        record_adoption(self._context, run)
        if self.stopping and run.active:
            self.on_late_adoption(run)
        self.wake_up()
        return run

    def end(self, job: JobId) -> None:
        """Stop the items of a job that was ended."""
        run = self._runs.get(job)
        if run is None:
            # The end arrived while the job is loaded from the store, and its
            # record may have been read before the end.
            self._early_ends = (
                *self._early_ends[1 - _MAX_EARLY_ENDS :],
                job,
            )
        elif not run.ended:
            run.end()
            run.record_job_end()

    async def _run_items(self) -> None:
        """Start and move items on each wake-up, and at least on each tick."""
        while True:
            self._wake.clear()
            self._start_items()
            try:
                async with asyncio.timeout(
                    _TICK_INTERVAL_S if _any_active(self._runs) else None
                ):
                    await self._wake.wait()
            except TimeoutError:
                self._tick()

    def _start_items(self) -> None:
        """Start score calls, the earliest due first, and move and start items.

        Nothing starts while another process may own the jobs, and no score
        call before the strikes are known. An engine that crashed while it ran
        an item is no reason to hold the item back: items never crash engines.

        Moves come first: a free slot at a fast engine is for an item that has
        outgrown its length hint at a slow one. The job waits longer for that
        item than for one that has not started.
        """
        if self._ownership.is_suspended:
            return
        active = [run for run in self._runs.values() if run.active]
        active.sort(key=_due_at)
        if self._context.startup.knows_strikes:
            self._scorer.start_calls(active)
        routed = [
            (run, route)
            for run in active
            if (route := self._manifests.batch_route(run.spec)) is not None
        ]
        self.planner.update(routed)
        self._dispatcher.by_length = self.planner.is_capacity_short
        starts = []
        for run, route in routed:
            run.items.item_queue.max_failures = route.max_attempts
            self._dispatcher.move_items(run, route)
            job_starts = self._dispatcher.start_items(run, route)
            starts.append((run, job_starts))
        self.planner.start_items(starts)

    def _tick(self) -> None:
        """Move items, and end jobs that are overdue or have no route."""
        if self._ownership.is_suspended:
            return
        now = self._context.clock.elapsed()
        knows_routes = self._manifests.manifest is not None
        for run in filter(_is_active, tuple(self._runs.values())):
            route = self._manifests.batch_route(run.spec)
            time_without_route = run.time_without_route(route)
            if route is not None:
                self._dispatcher.move_items(run, route)
                _end_if_overdue(run, route.abandon_after, now)
            elif knows_routes and time_without_route > _ROUTE_TIMEOUT:
                _log.info(
                    'gateway: job %s: its route was removed', run.spec.job
                )
                run.mark_open_items_lost()

    def _retain_jobs(self) -> bool:
        """Drop jobs that no client reads; return whether any is active."""
        self._runs = dict(_retained(self._runs, self._context))
        self.planner.retain_jobs(self._runs)
        return _any_active(self._runs)


def _ignore(run: JobRun) -> None:
    """Do nothing; stands for a callback that is not set."""


def _is_active(run: JobRun) -> bool:
    return run.active


def _any_active(runs: dict[JobId, JobRun]) -> bool:
    return any(map(_is_active, runs.values()))


def _due_at(run: JobRun) -> dt.timedelta:
    return run.due_at


def _end_if_overdue(
    run: JobRun, abandon_after: dt.timedelta | None, now: dt.timedelta
) -> None:
    """Finish the open items of a job as lost, after its route's time limit.

    The time counts from when this process became the owner, so it is never
    shorter than the limit.
    """
    if abandon_after is not None and now - run.started_at > abandon_after:
        _log.info(
            'gateway: job %s: open items are lost after %s',
            run.spec.job,
            abandon_after,
        )
        run.mark_open_items_lost()


def _retained(
    runs: dict[JobId, JobRun], context: Context
) -> Iterator[tuple[JobId, JobRun]]:
    """Return the jobs that clients may still read."""
    now = context.clock.elapsed()
    for job, run in runs.items():
        if not run.ended or now - run.started_at <= context.settings.retention:
            yield job, run
