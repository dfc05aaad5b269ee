"""One batch job that this process runs: its items and its results."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.jobs.board import JobBoard, RunEnd, Slot
from bergamotdoor.jobs.messages import ItemResult, ResultRecord
from bergamotdoor.jobs.transcript import Transcript
from bergamotdoor.objects.messages import Outcome

if TYPE_CHECKING:
    from bergamotdoor.calls.manifest import Route
    from bergamotdoor.gateway.context import Context
    from bergamotdoor.gateway.job_store import FoundJob, JobStore, LoadedJob
    from bergamotdoor.types import ItemId, UpstreamId

#: Results that finish within this go into one record: each record costs a
#: call of the store and reaches readers some milliseconds later.
GATHER_S: Final = 0.06
#: Room in an object of a megabyte, texts escaped.
RECORD_BYTES: Final = 400_000
#: A page of results is a megabyte at most.
PAGE_BYTES: Final = 700_000
#: Pauses between two tries to store the same record.
_PAUSES_S: Final = (0.05, 0.1, 0.2, 0.4)
_NONCE_BITS: Final = 64
#: How often long items are kept, and from how many events on. One call
#: every so often saves a second owner as much time.
_CHECKPOINT_EVERY: Final = dt.timedelta(seconds=1.5)
_CHECKPOINT_EVENTS: Final = 25

_log = logging.getLogger('bergamotdoor.gateway')


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
    route
        By whose rules it runs.
    began
        When this process took it.
    """

    def __init__(
        self,
        context: Context,
        store: JobStore,
        found: FoundJob,
        loaded: LoadedJob,
        route: Route,
        began: dt.timedelta,
    ) -> None:
        self.found = found
        self.spec = loaded.spec
        self.ledger = loaded.ledger
        self.due_at = began + route.due
        self.began = began
        self.board = JobBoard(loaded.spec, loaded.ledger, route.max_attempts)
        self.transcripts: dict[ItemId, Transcript] = {
            item: Transcript.restored(saved)
            for item, saved in loaded.partial.items()
            if item not in loaded.ledger
        }
        #: Where each group's prompt is cached.
        self.homes: dict[str, UpstreamId] = {}
        self.ended = False
        self._context = context
        self._store = store
        self._finished = asyncio.Event()
        self._grown = asyncio.Event()

    @property
    def active(self) -> bool:
        """Whether items may still be started."""
        return not self.ended and self.board.open_items > 0

    def transcript(self, slot: Slot) -> Transcript:
        """Return what an item has so far."""
        return self.transcripts.setdefault(slot.spec.item, Transcript())

    def finish(self, result: ItemResult) -> None:
        """Take an item's text; it is listed once its group is whole."""
        self.transcripts.pop(result.item, None)
        self.board.finish(result)
        if self.board.has_finished:
            self._finished.set()

    def give_back(self, slot: Slot, end: RunEnd, where: UpstreamId) -> None:
        """Take an item that ran without a text."""
        item = slot.spec.item
        if end in {RunEnd.TOO_OLD, RunEnd.FAILED}:
            # Another engine may begin anew; what was made does not fit.
            self.transcripts.pop(item, None)
        now = self._context.clock.elapsed()
        self.board.give_back(item, end, where, now)
        if self.board.has_finished:
            self._finished.set()

    def wake_writer(self) -> None:
        """Have finished results stored."""
        self._finished.set()

    def end(self) -> None:
        """Start no more items; what is finished is still listed."""
        self.ended = True
        self._finished.set()
        self._announce()

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

    async def checkpoint(self) -> None:
        """Keep what long items have so far, as long as items run.

        Failure: the owner is killed while a step waits for its longest
        items. Symptom: they begin anew at the next owner, and the step
        misses its time. Kept every so often, they go on where they were.
        """
        kept = 0
        while self.active:
            await self._context.clock.sleep(_CHECKPOINT_EVERY)
            long = {
                item: transcript.saved()
                for item, transcript in self.transcripts.items()
                if transcript.count >= _CHECKPOINT_EVENTS
            }
            count = sum(len(saved.texts) for saved in long.values())
            if self.active and count - kept >= _CHECKPOINT_EVENTS:
                kept = count
                await self._store.keep_partial(self.spec.job, long)

    async def store_results(self) -> None:
        """Store results as items finish, until there are no more."""
        while not self.complete:
            await self._finished.wait()
            if self.ended:
                return
            if self.board.open_items:
                await asyncio.sleep(GATHER_S)
            self._finished.clear()
            await self._store_finished()

    async def _store_finished(self) -> None:
        while self.board.has_finished:
            batch = self.board.take_finished(RECORD_BYTES)
            await self._append(batch)

    async def _append(self, batch: tuple[ItemResult, ...]) -> None:
        """List a batch behind whatever is listed already.

        A record whose fate is unclear is tried again unchanged: under
        another number, or with other results, an item could come to stand
        at two positions once the first call takes effect.
        """
        while batch:
            writer = f'{self._context.rng.getrandbits(_NONCE_BITS):x}'
            record = ResultRecord(writer, batch)
            listed = await self._settled(record)
            self.ledger.append(listed)
            for result in listed.results:
                self.board.stored(result)
            self._announce()
            if listed.writer == writer:
                return
            _log.info(
                'gateway: job %s: another process listed %d results',
                self.spec.job,
                len(listed.results),
            )
            batch = tuple(self.ledger.unlisted(batch))

    async def _settled(self, record: ResultRecord) -> ResultRecord:
        tries = 0
        while True:
            found = await self._store.append(
                self.spec.job, self.ledger.next_number, record
            )
            if not isinstance(found, Outcome):
                return found
            pause_s = _PAUSES_S[min(tries, len(_PAUSES_S) - 1)]
            tries += 1
            await asyncio.sleep(pause_s)

    def _announce(self) -> None:
        self._grown.set()
        self._grown = asyncio.Event()
