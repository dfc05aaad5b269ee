"""One batch job that this process runs: its items and its results."""

from __future__ import annotations

import asyncio
import enum
import logging
from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.jobs.open_items import OpenItems
from bergamotdoor.jobs.progress import Progress
from bergamotdoor.observe.events import Counted
from bergamotdoor.observe.metrics import Stage
from bergamotdoor.steps.ledger_sync import LedgerSync

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.calls.manifest import Route
    from bergamotdoor.entry.context import Context
    from bergamotdoor.jobs.messages import ItemResult
    from bergamotdoor.objects.job_codec import FoundJob, LoadedJob
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.types import ItemId

_log = logging.getLogger('bergamotdoor.gateway')


class RunState(enum.Enum):
    """What a process still does for a job."""

    #: Its items run here.
    RUNNING = 'running'
    #: Another process runs them, or will.
    STOPPED = 'stopped'
    #: Its end was confirmed: nobody runs them.
    ENDED = 'ended'


class RunningItem(msgspec.Struct, frozen=True):
    """An item that runs now."""

    progress: Progress
    task: asyncio.Task[None]


class JobRun:
    """State of a job at its owner.

    Parameters
    ----------
    context
        Services of the process.
    store
        Where results are kept.
    found
        The job's record.
    loaded
        Its body and the results so far.
    due_at
        When its results are wanted; earlier ones go first.
    """

    def __init__(
        self,
        context: Context,
        store: JobStore,
        found: FoundJob,
        loaded: LoadedJob,
        due_at: dt.timedelta,
    ) -> None:
        self.found = found
        self.spec = loaded.spec
        self.ledger = loaded.ledger
        self.due_at = due_at
        self.began = context.clock.elapsed()
        self.sync = LedgerSync(
            loaded.spec.job,
            loaded.ledger,
            store,
            context.clock,
            loaded.read_at,
        )
        #: Set once results can be listed, or the job is over.
        self.finished = asyncio.Event()
        self.items = OpenItems(
            loaded.spec, loaded.ledger, loaded.partial, self.finished.set
        )
        self.running: dict[ItemId, RunningItem] = {}
        self._scoring: set[asyncio.Task[None]] = set()
        self.state = RunState.RUNNING
        self._context = context
        #: When its route was last known.
        self._routed_at = self.began
        self._grown = asyncio.Event()

    def routeless(self, route: Route | None) -> dt.timedelta:
        """Take its route, if it is known; return how long it has not been."""
        now = self._context.clock.elapsed()
        if route is not None:
            self._routed_at = now
        return now - self._routed_at

    def take_record(self, found: FoundJob) -> None:
        """Take the job's record, if it is of a later term.

        Failure: a lookup of the record is answered seconds late, by when the
        job was handed back here. Symptom: the owner has an older term than
        the store, takes its own for another's, and stops. A term only grows.
        """
        if found.record.term > self.found.record.term:
            self.found = found

    @property
    def active(self) -> bool:
        """Whether items may still be started."""
        running = self.state is RunState.RUNNING
        return running and self.items.board.open_items > 0

    @property
    def ended(self) -> bool:
        """Whether the job's end was confirmed."""
        return self.state is RunState.ENDED

    def take_scoring(self, task: asyncio.Task[None]) -> None:
        """Take a score call of an item, to be ended with the job."""
        self._scoring.add(task)
        task.add_done_callback(self._scoring.discard)

    def give_up(self) -> None:
        """List every item that has no result as lost."""
        self.items.give_up()
        self._cancel_all()
        self.finished.set()

    def end(self) -> None:
        """Stop all items for good; what is listed stays listed."""
        self.stop()
        self.state = RunState.ENDED

    def stop(self) -> None:
        """Stop all items here; the job goes on elsewhere.

        Failure: a job that another process goes on with is taken for an
        ended one. Symptom: a trainer asks for the body of an item that
        waits, while its owner hands it over, and is told that there is
        none. Readers are served from a stopped job as from a running one.
        """
        self.state = RunState.STOPPED
        self._cancel_all()
        self.finished.set()
        self.announce()

    def note_end(self) -> None:
        """Count and log how far it came."""
        metrics = self._context.metrics
        listed = len(self.ledger)
        metrics.record(Stage.STEP, self._context.clock.elapsed() - self.began)
        metrics.count(Counted.JOB_ENDED)
        metrics.count(Counted.RESULTS_LISTED, amount=listed)
        _log.info(
            'gateway: job %s ended, %d of %d listed',
            self.spec.job,
            listed,
            len(self.spec.items),
        )

    async def catch_up(self, age: dt.timedelta) -> bool:
        """Take what other owners listed; whether all of that is known."""
        before = len(self.ledger)
        known = await self.sync.catch_up(age)
        if len(self.ledger) > before:
            self.take_results(self.ledger.behind(before))
            self.announce()
        return known

    def take_results(self, results: tuple[ItemResult, ...]) -> None:
        """Take results that have their positions, by whichever owner."""
        for result in results:
            self.items.stored(result)

    async def wait_beyond(self, after: int, timeout_s: float) -> None:
        """Return once there is a result at a position, or it is over."""
        try:
            async with asyncio.timeout(timeout_s):
                while len(self.ledger) <= after and not self.complete:
                    await self._grown.wait()
        except TimeoutError:
            return

    @property
    def complete(self) -> bool:
        """Whether every item is listed."""
        return len(self.ledger) >= len(self.spec.items)

    def announce(self) -> None:
        """Wake the readers: there are more results, or it is over."""
        self._grown.set()
        self._grown = asyncio.Event()

    def _cancel_all(self) -> None:
        for item in self.running.values():
            item.task.cancel()
        for task in self._scoring:
            task.cancel()
