"""Keeps a process's ledger of a job synchronized with the store."""

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

#: The oldest proof of a complete ledger on which a reader may be told that
#: there are no more results. Any position that was read anywhere must be
#: readable at every entry a second later, and the response takes part of that
#: second.
MAX_PROOF_AGE_MS: Final = 600
MAX_PROOF_AGE: Final = dt.timedelta(milliseconds=MAX_PROOF_AGE_MS)
#: How long a reader waits for another call of the store to end.
_LOCK_TIMEOUT_S: Final = 0.4
#: Pauses between the attempts to store the same record.
_RETRY_PAUSES_S: Final = (0.05, 0.1, 0.2, 0.4)

_log = logging.getLogger('bergamotdoor.gateway')


class LedgerSync:
    """Appends to a job's ledger and reads what other processes appended.

    Failure: a job is taken over and its former owner does not know it yet.
    Symptom: the former owner tells a reader that there is no result at a
    position which the reader has already read elsewhere. Records are numbered
    without gaps, so if the store has no record with the next number, the ledger
    is proven complete at that moment. A proof that is older than
    ``MAX_PROOF_AGE`` is renewed before a reader is told that there are no more
    results.

    Failure: a job is submitted while its preferred owner is paused, and another
    entry takes it over. Symptom: the preferred owner receives the job late,
    starts with an empty ledger and denies results that were read elsewhere. A
    ledger that was not read from the store is therefore no proof.

    Parameters
    ----------
    job
        The job.
    ledger
        The results that are known here; new records are appended to it.
    store
        Store of the result records.
    clock
        Clock that measures the age of a proof.
    proven_at
        Monotonic time at which the ledger was requested from the store;
        ``None`` if the ledger was not read from the store.
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

    async def append_batch(
        self, writer: str, batch: tuple[ItemResult, ...]
    ) -> ResultRecord | None:
        """Store results under the next number, or read the record there.

        The same record is retried under the same number until the outcome is
        known. Under another number, or with other results, an item could get
        two positions once the first call takes effect.

        Failure: while results wait for the lock, a reader's check appends
        records of other owners to the ledger. Symptom: a record is stored
        with items that have a position already, so they are in the store
        twice. Listed items are left out after the lock was acquired, and
        no other records are read until the outcome is known.

        Parameters
        ----------
        writer
            Random name that identifies this call's record.
        batch
            The results.

        Returns
        -------
        ResultRecord or None
            The record that has the number: the new one, or one of another
            process. ``None`` if all results have a position already.
        """
        async with self._lock:
            unlisted = tuple(self._ledger.unlisted(batch))
            return (
                await self._append_record(ResultRecord(writer, unlisted))
                if unlisted
                else None
            )

    async def catch_up(
        self, max_proof_age: dt.timedelta = MAX_PROOF_AGE
    ) -> bool:
        """Read records of other processes; return whether none is missing.

        Parameters
        ----------
        max_proof_age
            The oldest proof that needs no call of the store.
        """
        now = self._clock.elapsed()
        if (
            self._proven_at is not None
            and now - self._proven_at <= max_proof_age
        ):
            return True
        try:
            async with asyncio.timeout(_LOCK_TIMEOUT_S):
                await self._lock.acquire()
        except TimeoutError:
            return False
        try:
            return await self._read_new_records()
        finally:
            self._lock.release()

    async def _append_record(self, record: ResultRecord) -> ResultRecord:
        """Retry until a record with the next number is stored; return it."""
        tries = 0
        while True:
            started_at = self._clock.elapsed()
            number = self._ledger.next_number
            found = await self._store.append(self._job, number, record)
            if not isinstance(found, Outcome):
                self._proven_at = started_at
                self._ledger.append(found)
                return found
            await asyncio.sleep(
                _RETRY_PAUSES_S[min(tries, len(_RETRY_PAUSES_S) - 1)]
            )
            tries += 1

    async def _read_new_records(self) -> bool:
        """Append records until there is none; False if the store failed."""
        while True:
            started_at = self._clock.elapsed()
            number = self._ledger.next_number
            found = await self._store.record_at(self._job, number)
            if found is Outcome.ABSENT:
                self._proven_at = started_at
                return True
            if isinstance(found, Outcome):
                return False
            _log.info(
                'gateway: job %s: another process listed %d results',
                self._job,
                len(found.results),
            )
            self._ledger.append(found)
