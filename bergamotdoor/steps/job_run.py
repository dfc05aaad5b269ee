"""The state of one batch job at the process that owns it."""

from __future__ import annotations

import asyncio
import enum
import logging
from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.jobs.open_items import OpenItems
from bergamotdoor.jobs.progress import Progress
from bergamotdoor.observe import subjects
from bergamotdoor.observe.events import Counted
from bergamotdoor.observe.metrics import Stage
from bergamotdoor.steps.ledger_sync import LedgerSync

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Coroutine

    from bergamotdoor.calls.manifest import Route
    from bergamotdoor.entry.context import Context
    from bergamotdoor.jobs.messages import ItemResult
    from bergamotdoor.objects.job_codec import FoundJob, LoadedJob
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.types import ItemId

_log = logging.getLogger('bergamotdoor.gateway')


class RunState(enum.Enum):
    """What a process does for a job that it owns or owned."""

    #: The items of the job run here.
    RUNNING = 'running'
    #: Another process runs the items, or will run them.
    STOPPED = 'stopped'
    #: The end of the job was confirmed, so no process runs its items.
    ENDED = 'ended'


class RunningItem(msgspec.Struct, frozen=True):
    """An item that runs now, and the task that runs it."""

    progress: Progress
    task: asyncio.Task[None]


class JobRun:
    """A job at its owner: the items, the results and the waiting readers.

    Parameters
    ----------
    context
        Services of the process.
    store
        Store of the results.
    stored_job
        The job's record.
    loaded
        The job's body, its results so far and saved partial transcripts.
    due_at
        Monotonic time at which the trainer needs the results. The items of
        the job with the earliest time start first.
    """

    def __init__(
        self,
        context: Context,
        store: JobStore,
        stored_job: FoundJob,
        loaded: LoadedJob,
        due_at: dt.timedelta,
    ) -> None:
        self.stored_job = stored_job
        self.spec = loaded.spec
        self.ledger = loaded.ledger
        self.due_at = due_at
        self.started_at = context.clock.elapsed()
        self.ledger_sync = LedgerSync(
            loaded.spec.job,
            loaded.ledger,
            store,
            context.clock,
            loaded.read_at,
        )
        #: Set when results can be listed, or the job is stopped or ended.
        self.results_ready = asyncio.Event()
        self.items = OpenItems(
            loaded.spec, loaded.ledger, loaded.partial, self.results_ready.set
        )
        self.running: dict[ItemId, RunningItem] = {}
        #: Score calls in progress.
        self._score_tasks: set[asyncio.Task[None]] = set()
        self.state = RunState.RUNNING
        self._context = context
        #: When the job's route was last known.
        self._route_known_at = self.started_at
        #: Set and replaced when there are new results or the job is over.
        self._results_changed = asyncio.Event()

    def time_without_route(self, route: Route | None) -> dt.timedelta:
        """Return for how long the job's route has not been known.

        Parameters
        ----------
        route
            The route now; ``None`` if the manifest has none for the job.
        """
        now = self._context.clock.elapsed()
        if route is not None:
            self._route_known_at = now
        return now - self._route_known_at

    def update_record(self, found: FoundJob) -> None:
        """Replace the job's record by one of a later term.

        Failure: the store answers a lookup of the record seconds late, after
        the job was handed back to this process. Symptom: the owner goes on
        with an older term than the store has, treats its own newer record as
        another owner's, and stops the job. So an older record is ignored.
        """
        if found.record.term > self.stored_job.record.term:
            self.stored_job = found

    @property
    def active(self) -> bool:
        """Whether the job runs here and has items without a result."""
        running = self.state is RunState.RUNNING
        return running and self.items.item_queue.open_items > 0

    @property
    def ended(self) -> bool:
        """Whether the job's end was confirmed."""
        return self.state is RunState.ENDED

    def start_score_task(
        self, work: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        """Start the task of a score call, to be cancelled with the job."""
        with subjects.only_about(self.spec.job):
            task = asyncio.create_task(work)
        self._score_tasks.add(task)
        task.add_done_callback(self._score_tasks.discard)
        return task

    def mark_open_items_lost(self) -> None:
        """Finish every item that has no result as lost."""
        self.items.mark_open_items_lost()
        self._cancel_all()
        self.results_ready.set()

    def end(self) -> None:
        """Stop the job for good; its listed results remain readable."""
        self.stop()
        self.state = RunState.ENDED

    def stop(self) -> None:
        """Stop all items here, while another process continues the job.

        Failure: a job that another process continues is treated like an ended
        one. Symptom: a trainer requests the body of an item that waits, while
        the owner hands the job off, and receives the response that there is
        none. Readers are served from a stopped job as from a running one.
        """
        self.state = RunState.STOPPED
        self._cancel_all()
        self.results_ready.set()
        self.notify_readers()

    def record_job_end(self) -> None:
        """Record the job's duration and result count in metrics and log."""
        metrics = self._context.metrics
        listed = len(self.ledger)
        metrics.record(
            Stage.STEP, self._context.clock.elapsed() - self.started_at
        )
        metrics.count(Counted.JOB_ENDED)
        metrics.count(Counted.RESULTS_LISTED, amount=listed)
        _log.info(
            'gateway: job %s ended, %d of %d listed',
            self.spec.job,
            listed,
            len(self.spec.items),
        )

    async def catch_up(self, max_proof_age: dt.timedelta) -> bool:
        """Add the results that other owners have listed.

        Parameters
        ----------
        max_proof_age
            How old the last check of the store may be without a new one.

        Returns
        -------
        bool
            Whether all listed results are known.
        """
        before = len(self.ledger)
        known = await self.ledger_sync.catch_up(max_proof_age)
        if len(self.ledger) > before:
            self.apply_listed_results(self.ledger.results_from(before))
            self.notify_readers()
        return known

    def apply_listed_results(self, results: tuple[ItemResult, ...]) -> None:
        """Record results that were listed, by this owner or another one."""
        for result in results:
            self.items.mark_stored(result)

    async def wait_for_result(self, after: int, timeout_s: float) -> None:
        """Wait until a result has a position, every item is listed, or timeout.

        Parameters
        ----------
        after
            The position, from zero.
        timeout_s
            The longest wait, in seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while len(self.ledger) <= after and not self.complete:
                    await self._results_changed.wait()
        except TimeoutError:
            return

    @property
    def complete(self) -> bool:
        """Whether every item is listed."""
        return len(self.ledger) >= len(self.spec.items)

    def notify_readers(self) -> None:
        """Notify the waiting readers of new results or of the job's end."""
        self._results_changed.set()
        self._results_changed = asyncio.Event()

    def _cancel_all(self) -> None:
        for item in self.running.values():
            item.task.cancel()
        for task in self._score_tasks:
            task.cancel()


def record_adoption(context: Context, run: JobRun) -> None:
    """Record in metrics and log that a job runs here, and why."""
    term = run.stored_job.record.term
    context.metrics.count(Counted.JOB_OWNED)
    if term > 1:
        context.metrics.count(Counted.JOB_TAKEN_OVER)
    _log.info(
        'gateway: job %s owned, term %d, %d items, %d listed, on %s',
        run.spec.job,
        term,
        len(run.spec.items),
        len(run.ledger),
        # A process that starts resumes its jobs without a request.
        subjects.current().action or 'start',
    )
