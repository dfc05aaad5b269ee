"""One batch job that this process runs: its items and its results."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.jobs.board import JobBoard, RunEnd, Slot
from bergamotdoor.jobs.ledger import page_limit_bytes
from bergamotdoor.jobs.progress import Progress
from bergamotdoor.jobs.transcript import SavedTranscript, Transcript
from bergamotdoor.steps.ledger_sync import LedgerSync

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.calls.manifest import Route
    from bergamotdoor.entry.context import Context
    from bergamotdoor.jobs.messages import ItemResult
    from bergamotdoor.objects.job_codec import FoundJob, LoadedJob
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.types import ItemId, UpstreamId


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
            loaded.spec.job, loaded.ledger, store, context.clock
        )
        self.board = JobBoard(loaded.spec, loaded.ledger)
        self.running: dict[ItemId, RunningItem] = {}
        self._transcripts: dict[ItemId, Transcript] = {
            item: Transcript.restored(saved)
            for item, saved in loaded.partial.items()
            if item not in loaded.ledger and not saved.whole
        }
        self.ended = False
        self._context = context
        #: When its route was last known.
        self._routed_at = self.began
        #: Set once results can be listed, or the job is over.
        self.finished = asyncio.Event()
        self._grown = asyncio.Event()

    def routeless(self, route: Route | None) -> dt.timedelta:
        """Take its route, if it is known; return how long it has not been."""
        now = self._context.clock.elapsed()
        if route is not None:
            self._routed_at = now
        return now - self._routed_at

    @property
    def active(self) -> bool:
        """Whether items may still be started."""
        return not self.ended and self.board.open_items > 0

    def transcript(self, slot: Slot) -> Transcript:
        """Return what an item has so far."""
        return self._transcripts.setdefault(slot.spec.item, Transcript())

    def finish(self, result: ItemResult) -> None:
        """Take an item's text; it is listed once its group is whole."""
        self._transcripts.pop(result.item, None)
        self.board.finish(result)
        if self.board.has_finished:
            self.finished.set()

    def give_back(self, slot: Slot, end: RunEnd, where: UpstreamId) -> None:
        """Take an item that ran without a text."""
        item = slot.spec.item
        if end in {RunEnd.TOO_OLD, RunEnd.FAILED}:
            # Another engine may begin anew; what was made does not fit.
            self._transcripts.pop(item, None)
        now = self._context.clock.elapsed()
        self.board.give_back(item, end, where, now)
        if self.board.has_finished:
            self.finished.set()

    def give_up(self) -> None:
        """List every item that has no result as lost."""
        self.board.give_up()
        for item in self.running.values():
            item.task.cancel()
        self.finished.set()

    def end(self) -> None:
        """Stop all items; what is listed stays listed."""
        self.ended = True
        for item in tuple(self.running.values()):
            item.task.cancel()
        self.finished.set()
        self.announce()

    async def catch_up(self, age: dt.timedelta) -> bool:
        """Take what other owners listed; whether all of that is known."""
        before = len(self.ledger)
        known = await self.sync.catch_up(age)
        if len(self.ledger) > before:
            for result in self.ledger.behind(before):
                self.board.stored(result)
            self.announce()
        return known

    async def wait_beyond(self, after: int, timeout_s: float) -> None:
        """Return once there is a result at a position, or it is over."""
        try:
            async with asyncio.timeout(timeout_s):
                while len(self.ledger) <= after and not self.complete:
                    await self._grown.wait()
        except TimeoutError:
            return

    def page(self, after: int) -> tuple[ItemResult, ...]:
        """Return results from a position on, as many as fit a page."""
        limit_bytes = page_limit_bytes(self._context.settings.link_mbps)
        return self.ledger.page(after, limit_bytes)

    @property
    def complete(self) -> bool:
        """Whether every item is listed."""
        return len(self.ledger) >= len(self.spec.items)

    def announce(self) -> None:
        """Wake the readers: there are more results, or it is over."""
        self._grown.set()
        self._grown = asyncio.Event()

    def saved(self, least_events: int) -> dict[ItemId, SavedTranscript]:
        """Return what open items have, from so many events on."""
        return {
            item: transcript.saved()
            for item, transcript in self._transcripts.items()
            if transcript.count >= least_events
        }
