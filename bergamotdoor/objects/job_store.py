"""Storage of batch jobs in the platform's object store."""

from __future__ import annotations

import asyncio
import logging
from itertools import islice
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.jobs.messages import (
    JobRecord,
    JobSpec,
    JobStatus,
    ResultRecord,
)
from bergamotdoor.objects.job_codec import (
    Checkpoint,
    FoundJob,
    LoadedJob,
    checkpoint_body,
    checkpoint_of,
    found_job,
    loaded_job,
    record_of,
    split,
)
from bergamotdoor.objects.job_names import (
    JOB_KIND,
    numbered,
    part_name,
    parts_kind,
    record_name,
)
from bergamotdoor.objects.reader import ObjectReader
from bergamotdoor.observe import subjects
from bergamotdoor.stored import (
    Conflict,
    Outcome,
    StoredObject,
    UnreadableError,
)
from bergamotdoor.types import Revision

if TYPE_CHECKING:
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.types import JobId

#: Attempts of a call with an unclear outcome before UNCLEAR is returned, and
#: the pause after each.
_MAX_ATTEMPTS: Final = 3
_RETRY_PAUSE_S: Final = 0.05
#: Timeout for each part of a new job. A store that is sixty times slower than
#: usual needs a quarter of it, the slowest link another quarter.
_PART_TIMEOUT_S: Final = 0.9
#: No object has this revision, so a write at it returns the present object.
_UNKNOWN_REVISION: Final = Revision(0)
#: For how many jobs the revision of the last save is remembered.
_MAX_REVISIONS: Final = 256

_log = logging.getLogger('bergamotdoor.objects')
_reader: Final = ObjectReader(_log, 'objects')


class Submitted(msgspec.Struct, frozen=True):
    """A submitted job that is in the store."""

    found: FoundJob
    #: Whether this call certainly created the job, so that no item has run
    #: yet.
    created: bool


class JobStore:
    """Reads and writes batch jobs.

    Parameters
    ----------
    store
        Client of the object store.
    """

    def __init__(self, store: ObjectClient) -> None:
        self._store = store
        #: Revisions at which this process last saw the first parts of jobs.
        self._saved_at: dict[JobId, Revision] = {}

    async def submit(
        self, spec: JobSpec, record: JobRecord
    ) -> Submitted | Outcome:
        """Store a complete job.

        Parameters
        ----------
        spec
            The job, with all items.
        record
            The record with the job's first owner.

        Returns
        -------
        Submitted or Outcome
            The job, or the job that was stored before under the same id.
            NOT_DONE says that the job does not exist and will not be created
            by this call.
        """
        parts = list(split(spec))
        for number, part in enumerate(parts):
            outcome = await self._create_part(
                parts_kind(spec.job), part_name(number), part
            )
            if outcome is Outcome.NOT_DONE or outcome is Outcome.UNCLEAR:
                # The job exists only once its record is stored: parts
                # without a record are never run.
                _log.warning(
                    'objects: job %s: write of part %d of %d: %s',
                    spec.job,
                    number + 1,
                    len(parts),
                    outcome.value,
                )
                return Outcome.NOT_DONE
        record = msgspec.structs.replace(record, parts=len(parts))
        body = msgspec.json.encode(record)
        stored = await self._create(JOB_KIND, spec.job, body)
        if isinstance(stored, Outcome):
            _log.warning(
                'objects: job %s: write of its record, after %d parts: %s',
                spec.job,
                len(parts),
                stored.value,
            )
            return stored
        if isinstance(stored, StoredObject):
            return _submitted_job(_decode_job(stored), created=True)
        if stored.current is None:
            return _submitted_job(await self.find(spec.job), created=False)
        return _submitted_job(_decode_job(stored.current), created=False)

    async def find(self, job: JobId) -> FoundJob | Outcome:
        """Return a job's record; ABSENT if there is no such job."""
        found = await self._store.get(JOB_KIND, job)
        return found if isinstance(found, Outcome) else _decode_job(found)

    async def all_jobs(self, stale: bool) -> tuple[FoundJob, ...] | Outcome:
        """Return the records of all jobs, without unreadable ones.

        Parameters
        ----------
        stale
            Whether a state that is some seconds old is sufficient.
        """
        listing = await self._store.listing(JOB_KIND, stale=stale)
        if isinstance(listing, Outcome):
            return listing
        jobs = (_reader.read(one, found_job) for one in listing.objects)
        return tuple(job for job in jobs if job is not None)

    async def claim(
        self, found: FoundJob, record: JobRecord
    ) -> FoundJob | Outcome:
        """Claim a job for a new owner.

        Parameters
        ----------
        found
            The job as last read; the claim fails if it has changed since.
        record
            The record with the new owner.

        Returns
        -------
        FoundJob or Outcome
            The job as stored afterwards. Another process may own it if the
            claim failed.
        """
        body = msgspec.json.encode(record)
        outcome = await self._store.replace(
            JOB_KIND, found.job, body, found.revision
        )
        if isinstance(outcome, Conflict):
            if outcome.current is None:
                return await self.find(found.job)
            return _decode_job(outcome.current)
        return outcome if isinstance(outcome, Outcome) else _decode_job(outcome)

    async def end(self, job: JobId) -> FoundJob | Outcome | None:
        """Record in the store that a job has ended.

        Returns
        -------
        FoundJob or Outcome or None
            The ended job with its owner; ``None`` if the end is recorded, but
            the job's record is unreadable and its owner unknown.
        """
        status = msgspec.json.encode(JobStatus(ended=True))
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            with subjects.about(attempt=attempt):
                outcome = await self._store.put_status(JOB_KIND, job, status)
            if isinstance(outcome, StoredObject):
                return _reader.read(outcome, found_job)
            if outcome is Outcome.ABSENT or outcome is Outcome.NOT_DONE:
                return outcome
            await asyncio.sleep(_RETRY_PAUSE_S)
        return Outcome.UNCLEAR

    async def load(self, job: JobId) -> LoadedJob | Outcome:
        """Return a job's body and all its results.

        NOT_DONE is also returned if one of the job's objects is unreadable.
        """
        listing = await self._store.listing(parts_kind(job))
        if isinstance(listing, Outcome):
            return listing
        for first_part in islice(numbered(listing, part_name), 1):
            self._remember_revision(job, first_part.revision)
        try:
            return loaded_job(listing)
        except UnreadableError as error:
            _log.error('objects: job %s cannot be loaded: %s', job, error)
            return Outcome.NOT_DONE

    async def remove(self, job: JobId) -> bool:
        """Remove a job; return whether all its objects are removed.

        The record is removed last, so that an incomplete removal is noticed
        and repeated.
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
        """Store a record of results under a number.

        Parameters
        ----------
        job
            The job of the results.
        number
            The number of the record.
        record
            The record to store.

        Returns
        -------
        ResultRecord or Outcome
            The record that is stored under the number: `record`, or the one
            that another process stored first. After UNCLEAR, the caller has
            to retry with the same record and number, since the store may
            still carry out the first call.
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
            return _decode_record(outcome.current)
        found = await self._store.get(kind, name)
        return found if isinstance(found, Outcome) else _decode_record(found)

    async def record_at(
        self, job: JobId, number: int
    ) -> ResultRecord | Outcome:
        """Return the record stored under a number; ABSENT if there is none."""
        found = await self._store.get(parts_kind(job), record_name(number))
        return found if isinstance(found, Outcome) else _decode_record(found)

    async def save(self, job: JobId, checkpoint: Checkpoint) -> None:
        """Save the transcripts of unfinished items, unless a later owner has.

        A failure is only logged: items without a saved transcript start from
        the beginning after a takeover, which costs time but no results.

        Failure: a former owner, which was paused, saves what it has after the
        new owner has saved more. Symptom: the next owner generates texts
        again, and runs an item that fails everywhere more often than its route
        allows. So the status is written at the revision of the last save only,
        and what a later term has saved is kept.
        """
        outcome = await self._write_checkpoint(job, checkpoint)
        if isinstance(outcome, Conflict) and outcome.current is not None:
            current = outcome.current
            self._remember_revision(job, current.revision)
            if checkpoint_of(current).term <= checkpoint.term:
                outcome = await self._write_checkpoint(job, checkpoint)
        if isinstance(outcome, StoredObject):
            self._remember_revision(job, outcome.revision)
        else:
            _log.info(
                'objects: job %s: transcripts of unfinished items not saved',
                job,
            )

    async def _write_checkpoint(
        self, job: JobId, checkpoint: Checkpoint
    ) -> StoredObject | Conflict | Outcome:
        return await self._store.put_status(
            parts_kind(job),
            part_name(0),
            checkpoint_body(checkpoint),
            self._saved_at.get(job, _UNKNOWN_REVISION),
        )

    def _remember_revision(self, job: JobId, revision: Revision) -> None:
        self._saved_at.pop(job, None)
        self._saved_at[job] = revision
        if len(self._saved_at) > _MAX_REVISIONS:
            self._saved_at.pop(next(iter(self._saved_at)))

    async def _create_part(
        self, kind: str, name: str, body: bytes
    ) -> StoredObject | Conflict | Outcome:
        """Create a part of a job, with a timeout shorter than the trainer's.

        Failure: the store does not answer, and a trainer waits for seconds
        for the response to its submission. Symptom: the trainer times out and
        retries at once, while the store still does not answer. With the
        shorter timeout, the trainer is refused in time and retries later,
        when a retry can succeed.
        """
        try:
            async with asyncio.timeout(_PART_TIMEOUT_S):
                return await self._create(kind, name, body)
        except TimeoutError:
            return Outcome.UNCLEAR

    async def _create(
        self, kind: str, name: str, body: bytes
    ) -> StoredObject | Conflict | Outcome:
        """Create an object; retry while the outcome is unclear."""
        outcome: StoredObject | Conflict | Outcome = Outcome.NOT_DONE
        unclear = False
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            with subjects.about(attempt=attempt):
                outcome = await self._store.create(kind, name, body)
            if not isinstance(outcome, Outcome):
                return outcome
            unclear = unclear or outcome is Outcome.UNCLEAR
            if not unclear:
                # The store did nothing in any attempt, so the caller can
                # retry at a time of its choice.
                return outcome
            await asyncio.sleep(_RETRY_PAUSE_S)
        return Outcome.UNCLEAR


def _submitted_job(
    found: FoundJob | Outcome, created: bool
) -> Submitted | Outcome:
    """Return a job that is stored; UNCLEAR, not NOT_DONE, if it is unreadable.

    Failure: the response to a creation is lost, the retry finds that the job
    exists, and the store refuses to return it. Symptom: the trainer is told
    that nothing of the job runs, although it does run.
    """
    if isinstance(found, Outcome):
        return Outcome.UNCLEAR
    return Submitted(found, created)


def _decode_job(stored: StoredObject) -> FoundJob | Outcome:
    """Return a job's record; NOT_DONE if it is unreadable."""
    return _reader.read(stored, found_job) or Outcome.NOT_DONE


def _decode_record(stored: StoredObject) -> ResultRecord | Outcome:
    """Return a record of results; NOT_DONE if it is unreadable."""
    return _reader.read(stored, record_of) or Outcome.NOT_DONE
