"""Keeps a process's ledger of a job in step with the store."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.jobs.messages import ResultRecord
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.jobs.ledger import Ledger
    from bergamotdoor.jobs.messages import ItemResult
    from bergamotdoor.objects.job_store import JobStore
    from bergamotdoor.types import JobId

#: A reader is told that there is nothing more by a ledger of this age at
#: most. A second after a position was read anywhere it must be there
#: everywhere, and an answer takes its way.
FRESH_MS: Final = 600
FRESH: Final = dt.timedelta(milliseconds=FRESH_MS)
#: How long a reader waits for a call of the store that is under way.
_LOCK_S: Final = 0.4
#: Pauses between two tries to store the same record.
_PAUSES_S: Final = (0.05, 0.1, 0.2, 0.4)

_log = logging.getLogger('bergamotdoor.gateway')


class LedgerSync:
    """Adds to a ledger, and looks for what other processes added.

    Failure: an owner is taken over and does not know it yet. Symptom: a
    reader that has read further elsewhere is told by the owner before that
    there is nothing at a position it has read. Each record has the next
    number, so that nothing has that number in the store proves that the
    ledger is complete at that moment; an older proof than ``FRESH`` is
    renewed before a reader is told that there is nothing more.

    Failure: a job is handed in while its home is paused, and another entry
    takes it over. Symptom: the home hears late that it should run the job,
    begins with an empty ledger and denies what was read elsewhere. What was
    not read from the store proves nothing.

    Parameters
    ----------
    job
        Whose ledger.
    ledger
        What is known.
    store
        Where the records are.
    clock
        Tells how old a proof is.
    proven_at
        When the store was asked for the ledger; None if it was not.
    """

    def __init__(
        self,
        job: JobId,
        ledger: Ledger,
        store: JobStore,
        clock: Clock,
        proven_at: dt.timedelta | None,
    ) -> None:
        self._job = job
        self._ledger = ledger
        self._store = store
        self._clock = clock
        self._proven_at = proven_at
        self._lock = asyncio.Lock()

    async def add(
        self, writer: str, batch: tuple[ItemResult, ...]
    ) -> ResultRecord | None:
        """Store results under the next number, or read the record there.

        Tried unchanged until it is settled: under another number, or with
        other results, an item could come to stand at two positions once the
        first call takes effect.

        Failure: while results wait for their turn, what others listed is
        read for a reader. Symptom: a record is stored with items that have
        a position, so they stand in the store twice. What is listed is left
        out once their turn has come, and nothing else is read until the
        record is settled.

        Returns
        -------
        ResultRecord or None
            The record that has the number: this writer's, or another's.
            None if all of the results have a position.
        """
        async with self._lock:
            left = tuple(self._ledger.unlisted(batch))
            return (
                await self._settle(ResultRecord(writer, left)) if left else None
            )

    async def catch_up(self, age: dt.timedelta = FRESH) -> bool:
        """Read what others added; return whether the ledger is complete.

        Parameters
        ----------
        age
            How old the proof may be.
        """
        now = self._clock.elapsed()
        if self._proven_at is not None and now - self._proven_at <= age:
            return True
        try:
            async with asyncio.timeout(_LOCK_S):
                await self._lock.acquire()
        except TimeoutError:
            return False
        try:
            return await self._read_on()
        finally:
            self._lock.release()

    async def _settle(self, record: ResultRecord) -> ResultRecord:
        tries = 0
        while True:
            began = self._clock.elapsed()
            number = self._ledger.next_number
            found = await self._store.append(self._job, number, record)
            if not isinstance(found, Outcome):
                self._proven_at = began
                self._ledger.append(found)
                return found
            await asyncio.sleep(_PAUSES_S[min(tries, len(_PAUSES_S) - 1)])
            tries += 1

    async def _read_on(self) -> bool:
        while True:
            began = self._clock.elapsed()
            number = self._ledger.next_number
            found = await self._store.record_at(self._job, number)
            if found is Outcome.ABSENT:
                self._proven_at = began
                return True
            if isinstance(found, Outcome):
                return False
            _log.info(
                'gateway: job %s: another process listed %d results',
                self._job,
                len(found.results),
            )
            self._ledger.append(found)
