"""Encoding of batch jobs as objects of the platform's store.

==========  =================  ===========================================
kind        name               content
==========  =================  ===========================================
``jobs``    job id             spec: the owner (``JobRecord``);
                               status: whether the job has ended
``job-ID``  ``part-000000``    spec: one part of the job's body;
                               status of the first part: saved transcripts
                               of long items that have not finished
``job-ID``  ``result-000000``  spec: one numbered record of results
==========  =================  ===========================================
"""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.jobs.ledger import Ledger
from bergamotdoor.jobs.messages import (
    ItemSpec,
    JobRecord,
    JobSpec,
    JobStatus,
    ResultRecord,
)
from bergamotdoor.jobs.transcript import SavedTranscript
from bergamotdoor.objects.job_names import numbered, part_name, record_name
from bergamotdoor.stored import (
    Listing,
    Outcome,
    StoredObject,
    UnreadableError,
    reading,
)
from bergamotdoor.types import ItemId, JobId, Revision

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Limit of the encoded items in one part. An object may have a megabyte, and
#: JSON encodes bodies in base64.
PART_BYTES: Final = 600_000

_log = logging.getLogger('bergamotdoor.objects')


class FoundJob(msgspec.Struct, frozen=True):
    """The stored record of a job."""

    job: JobId
    record: JobRecord
    status: JobStatus
    revision: Revision


class LoadedJob(msgspec.Struct, frozen=True):
    """The stored body and results of a job."""

    spec: JobSpec
    ledger: Ledger
    #: Transcripts that were last saved for items without a listed result.
    partial: dict[ItemId, SavedTranscript] = {}
    #: Monotonic time at which the request was sent to the store; ``None`` if
    #: the job was not read from the store.
    read_at: dt.timedelta | None = None


class Checkpoint(msgspec.Struct, frozen=True):
    """Saved transcripts of items that have not finished."""

    items: dict[ItemId, SavedTranscript]
    #: Term of the owner that saved them; 0 if an earlier release did.
    term: int = 0


class _Part(msgspec.Struct):
    """One part of a job's body.

    ``head`` is the job without its items; every part repeats it.
    """

    head: JobSpec
    items: tuple[ItemSpec, ...]


def _select_fitting(
    partial: dict[ItemId, SavedTranscript],
) -> Iterator[tuple[ItemId, SavedTranscript]]:
    """Yield the longest transcripts that fit into one object together."""
    free_bytes = PART_BYTES
    for item, saved in sorted(partial.items(), key=_count_texts, reverse=True):
        free_bytes -= len(msgspec.json.encode(saved))
        if free_bytes < 0:
            return
        yield item, saved


def _count_texts(entry: tuple[ItemId, SavedTranscript]) -> int:
    return len(entry[1].texts)


def split(spec: JobSpec) -> list[bytes]:
    """Return the encoded parts of a job, each small enough for an object."""
    head = msgspec.structs.replace(spec, items=())
    parts: list[list[ItemSpec]] = [[]]
    size_bytes = 0
    for item in spec.items:
        item_bytes = len(msgspec.json.encode(item))
        if parts[-1] and size_bytes + item_bytes > PART_BYTES:
            parts.append([])
            size_bytes = 0
        parts[-1].append(item)
        size_bytes += item_bytes
    return [msgspec.json.encode(_Part(head, tuple(part))) for part in parts]


def found_job(stored: StoredObject) -> FoundJob:
    """Return the record of a job, decoded from its object.

    Raises
    ------
    UnreadableError
        If the object is not a job's record.
    """
    with reading(f'job {stored.name}'):
        status = msgspec.json.decode(
            stored.status or b'null', type=JobStatus | None
        )
        record = msgspec.json.decode(stored.spec, type=JobRecord)
    return FoundJob(
        JobId(stored.name), record, status or JobStatus(), stored.revision
    )


def loaded_job(listing: Listing) -> LoadedJob | Outcome:
    """Return a job's body and results, decoded from a listing.

    Returns
    -------
    LoadedJob or Outcome
        ABSENT if the listing has no part of the body.

    Raises
    ------
    UnreadableError
        If a part or a record of results can't be decoded: the content of the
        job is unknown then.
    """
    parts = tuple(_decode_parts(listing))
    if not parts:
        return Outcome.ABSENT
    items = tuple(item for part in parts for item in part.items)
    spec = msgspec.structs.replace(parts[0].head, items=items)
    first_part = next(numbered(listing, part_name))
    return LoadedJob(
        spec,
        Ledger(_decode_records(listing)),
        checkpoint_of(first_part).items,
    )


def _decode_parts(listing: Listing) -> Iterator[_Part]:
    for stored in numbered(listing, part_name):
        with reading(f'part {stored.name}'):
            yield msgspec.json.decode(stored.spec, type=_Part)


def _decode_records(listing: Listing) -> Iterator[ResultRecord]:
    return map(record_of, numbered(listing, record_name))


def checkpoint_of(first_part: StoredObject) -> Checkpoint:
    """Return the transcripts in the status of a job's first part.

    There are none if they can't be decoded: items without a saved transcript
    start from the beginning.
    """
    try:
        with reading(f'status of {first_part.name}'):
            checkpoint = msgspec.json.decode(
                first_part.status or b'null', type=Checkpoint | None
            )
    except UnreadableError as error:
        _log.warning(
            'objects: saved transcripts are unreadable, their items start '
            'from the beginning: %s',
            error,
        )
        return Checkpoint({})
    return checkpoint or Checkpoint({})


def record_of(stored: StoredObject) -> ResultRecord:
    """Return a record of results, decoded from its object.

    Raises
    ------
    UnreadableError
        If the object is not a record of results.
    """
    with reading(f'record {stored.name}'):
        return msgspec.json.decode(stored.spec, type=ResultRecord)


def checkpoint_body(checkpoint: Checkpoint) -> bytes:
    """Encode saved transcripts, the longest that fit into one object."""
    fitting = dict(_select_fitting(checkpoint.items))
    return msgspec.json.encode(Checkpoint(fitting, checkpoint.term))
