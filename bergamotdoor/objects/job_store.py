"""Reads and writes batch jobs in the platform's store."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.jobs.messages import (
    JobRecord,
    JobSpec,
    JobStatus,
    ResultRecord,
)
from bergamotdoor.objects.job_codec import (
    FoundJob,
    LoadedJob,
    found_job,
    loaded_job,
    partial_body,
    record_of,
    split,
)
from bergamotdoor.objects.job_names import (
    JOB_KIND,
    part_name,
    parts_kind,
    record_name,
)
from bergamotdoor.objects.reader import ObjectReader
from bergamotdoor.stored import (
    Conflict,
    Outcome,
    StoredObject,
    UnreadableError,
)

if TYPE_CHECKING:
    from bergamotdoor.jobs.transcript import SavedTranscript
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.types import ItemId, JobId

#: How often a call whose outcome is unclear is repeated before its caller
#: is told so, and the pause between.
_ATTEMPTS: Final = 3
_PAUSE_S: Final = 0.05
#: How long each part of a new job may take: a store that is sixty times as
#: slow as usual needs a quarter of it, the slowest link another quarter.
_PART_TIME_S: Final = 0.9

_log = logging.getLogger('bergamotdoor.objects')
_reader: Final = ObjectReader(_log, 'objects')


class Submitted(msgspec.Struct, frozen=True):
    """A job that is in the store after it was handed in."""

    found: FoundJob
    #: Whether this call surely created it, so that nothing has run yet.
    created: bool


class JobStore:
    """Reads and writes batch jobs."""

    def __init__(self, store: ObjectClient) -> None:
        self._store = store

    async def submit(
        self, spec: JobSpec, record: JobRecord
    ) -> Submitted | Outcome:
        """Store a whole job; return it, or the one stored before.

        NOT_DONE promises that the job does not exist and will not.
        """
        parts = list(split(spec))
        for number, part in enumerate(parts):
            outcome = await self._create_soon(
                parts_kind(spec.job), part_name(number), part
            )
            if outcome is Outcome.NOT_DONE or outcome is Outcome.UNCLEAR:
                # Without its record the job does not exist: parts alone
                # are never run.
                return Outcome.NOT_DONE
        record = msgspec.structs.replace(record, parts=len(parts))
        body = msgspec.json.encode(record)
        stored = await self._create(JOB_KIND, spec.job, body)
        if isinstance(stored, Outcome):
            return stored
        if isinstance(stored, StoredObject):
            return _submitted(_job(stored), created=True)
        if stored.current is None:
            return _submitted(await self.find(spec.job), created=False)
        return _submitted(_job(stored.current), created=False)

    async def find(self, job: JobId) -> FoundJob | Outcome:
        """Return who runs a job; ABSENT if there is no such job."""
        found = await self._store.get(JOB_KIND, job)
        return found if isinstance(found, Outcome) else _job(found)

    async def all_jobs(self, stale: bool) -> tuple[FoundJob, ...] | Outcome:
        """Return all jobs."""
        listing = await self._store.listing(JOB_KIND, stale=stale)
        if isinstance(listing, Outcome):
            return listing
        jobs = (_reader.read(one, found_job) for one in listing.objects)
        return tuple(job for job in jobs if job is not None)

    async def claim(
        self, found: FoundJob, record: JobRecord
    ) -> FoundJob | Outcome:
        """Take a job over; return it as it is then, whoever has it."""
        body = msgspec.json.encode(record)
        outcome = await self._store.replace(
            JOB_KIND, found.job, body, found.revision
        )
        if isinstance(outcome, Conflict):
            if outcome.current is None:
                return await self.find(found.job)
            return _job(outcome.current)
        return outcome if isinstance(outcome, Outcome) else _job(outcome)

    async def end(self, job: JobId) -> FoundJob | Outcome | None:
        """Note that a job is ended; return it once it is.

        Returns
        -------
        FoundJob or Outcome or None
            The job, which tells its owner; None if it is ended and nobody
            can say whose it is.
        """
        status = msgspec.json.encode(JobStatus(ended=True))
        for _ in range(_ATTEMPTS):
            outcome = await self._store.put_status(JOB_KIND, job, status)
            if isinstance(outcome, StoredObject):
                return _reader.read(outcome, found_job)
            if outcome is Outcome.ABSENT or outcome is Outcome.NOT_DONE:
                return outcome
            await asyncio.sleep(_PAUSE_S)
        return Outcome.UNCLEAR

    async def load(self, job: JobId) -> LoadedJob | Outcome:
        """Return a job's body and all its results."""
        listing = await self._store.listing(parts_kind(job))
        if isinstance(listing, Outcome):
            return listing
        try:
            return loaded_job(listing)
        except UnreadableError as error:
            _log.error('objects: job %s cannot be loaded: %s', job, error)
            return Outcome.NOT_DONE

    async def remove(self, job: JobId) -> bool:
        """Remove a job; return whether all of it is gone.

        Its record goes last, so that a removal that breaks off is seen and
        done again.
        """
        listing = await self._store.listing(parts_kind(job), stale=True)
        if isinstance(listing, Outcome):
            return False
        for stored in listing.objects:
            outcome = await self._store.delete(parts_kind(job), stored.name)
            if outcome is not Outcome.ABSENT:
                return False
        return await self._store.delete(JOB_KIND, job) is Outcome.ABSENT

    async def append(
        self, job: JobId, number: int, record: ResultRecord
    ) -> ResultRecord | Outcome:
        """Store results under a number.

        Returns
        -------
        ResultRecord or Outcome
            The record that has the number: this one, or another process's.
            While the outcome is unclear, the same record has to be tried
            again under the same number: the first call may still be done.
        """
        kind = parts_kind(job)
        name = record_name(number)
        outcome = await self._store.create(
            kind, name, msgspec.json.encode(record)
        )
        if isinstance(outcome, StoredObject):
            return record
        if isinstance(outcome, Outcome):
            return outcome
        if outcome.current is not None:
            return _record(outcome.current)
        found = await self._store.get(kind, name)
        return found if isinstance(found, Outcome) else _record(found)

    async def record_at(
        self, job: JobId, number: int
    ) -> ResultRecord | Outcome:
        """Return the record that has a number; ABSENT if none has."""
        found = await self._store.get(parts_kind(job), record_name(number))
        return found if isinstance(found, Outcome) else _record(found)

    async def keep_partial(
        self, job: JobId, partial: dict[ItemId, SavedTranscript]
    ) -> None:
        """Keep what running items have; a failure costs only time."""
        outcome = await self._store.put_status(
            parts_kind(job), part_name(0), partial_body(partial)
        )
        if not isinstance(outcome, StoredObject):
            _log.info('objects: job %s: running items not kept', job)

    async def _create_soon(
        self, kind: str, name: str, body: bytes
    ) -> StoredObject | Conflict | Outcome:
        """Create an object, or give up before its client does.

        Failure: the store is silent, and a trainer waits for seconds whether
        its job is taken. Symptom: it gives up, comes again at once, and finds
        the store silent still; told in time, it comes again when it helps.
        """
        try:
            async with asyncio.timeout(_PART_TIME_S):
                return await self._create(kind, name, body)
        except TimeoutError:
            return Outcome.UNCLEAR

    async def _create(
        self, kind: str, name: str, body: bytes
    ) -> StoredObject | Conflict | Outcome:
        outcome: StoredObject | Conflict | Outcome = Outcome.NOT_DONE
        unclear = False
        for _ in range(_ATTEMPTS):
            outcome = await self._store.create(kind, name, body)
            if not isinstance(outcome, Outcome):
                return outcome
            unclear = unclear or outcome is Outcome.UNCLEAR
            if not unclear:
                # Refused before: nothing was done, and the caller can come
                # back when it suits.
                return outcome
            await asyncio.sleep(_PAUSE_S)
        return Outcome.UNCLEAR


def _submitted(found: FoundJob | Outcome, created: bool) -> Submitted | Outcome:
    """Return a job that is there; one that can't be read is not refused.

    Failure: a creation's answer is lost, the next try finds the job, and
    the store refuses to read it. Symptom: its trainer is told that nothing
    of it runs, and it does.
    """
    if isinstance(found, Outcome):
        return Outcome.UNCLEAR
    return Submitted(found, created)


def _job(stored: StoredObject) -> FoundJob | Outcome:
    """Read a job's record; NOT_DONE if nobody can say what it is."""
    return _reader.read(stored, found_job) or Outcome.NOT_DONE


def _record(stored: StoredObject) -> ResultRecord | Outcome:
    """Read a record of results; NOT_DONE if nobody can say what it is."""
    return _reader.read(stored, record_of) or Outcome.NOT_DONE
