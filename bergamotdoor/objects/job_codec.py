"""How batch jobs are written as objects of the platform's store.

======================  ==============  ================================
kind                    name            spec
======================  ==============  ================================
``jobs``                job             who runs it (``JobRecord``);
                                        status: whether it is ended
``job-ID``              ``part-000000`` pieces of its body; the status of the
                                        first: what long items have so far
``job-ID``              ``result-000000`` results, one record a number
======================  ==============  ================================
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

#: An object may take a megabyte; JSON writes bodies in base64.
PART_BYTES: Final = 600_000

_log = logging.getLogger('bergamotdoor.objects')


class FoundJob(msgspec.Struct, frozen=True):
    """A job's record as stored."""

    job: JobId
    record: JobRecord
    status: JobStatus
    revision: Revision


class LoadedJob(msgspec.Struct, frozen=True):
    """A job's body and results as stored."""

    spec: JobSpec
    ledger: Ledger
    #: What items that are not listed had when it was last kept.
    partial: dict[ItemId, SavedTranscript] = {}
    #: The monotonic time at which the store was asked; None if it was not.
    read_at: dt.timedelta | None = None


class _Partial(msgspec.Struct):
    """What running items have so far."""

    items: dict[ItemId, SavedTranscript]


class _Part(msgspec.Struct):
    """A piece of a job; every piece repeats its head."""

    head: JobSpec
    items: tuple[ItemSpec, ...]


def _that_fit(
    partial: dict[ItemId, SavedTranscript],
) -> Iterator[tuple[ItemId, SavedTranscript]]:
    """Return the longest transcripts that fit into one object."""
    room = PART_BYTES
    for item, saved in sorted(partial.items(), key=_length, reverse=True):
        room -= len(msgspec.json.encode(saved))
        if room < 0:
            return
        yield item, saved


def _length(entry: tuple[ItemId, SavedTranscript]) -> int:
    return len(entry[1].texts)


def split(spec: JobSpec) -> list[bytes]:
    """Cut a job into pieces that fit into an object each."""
    head = msgspec.structs.replace(spec, items=())
    pieces: list[list[ItemSpec]] = [[]]
    size_bytes = 0
    for item in spec.items:
        item_bytes = len(msgspec.json.encode(item))
        if pieces[-1] and size_bytes + item_bytes > PART_BYTES:
            pieces.append([])
            size_bytes = 0
        pieces[-1].append(item)
        size_bytes += item_bytes
    return [msgspec.json.encode(_Part(head, tuple(piece))) for piece in pieces]


def found_job(stored: StoredObject) -> FoundJob:
    """Read a job's record.

    Raises
    ------
    UnreadableError
        If it is none.
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
    """Read a job's body and results; ABSENT if there is no body.

    Raises
    ------
    UnreadableError
        If a piece of it is none: nobody can say what the job holds then.
    """
    parts = tuple(_parts(listing))
    if not parts:
        return Outcome.ABSENT
    items = tuple(item for part in parts for item in part.items)
    spec = msgspec.structs.replace(parts[0].head, items=items)
    return LoadedJob(spec, Ledger(_records(listing)), _partial(listing))


def _parts(listing: Listing) -> Iterator[_Part]:
    for stored in numbered(listing, part_name):
        with reading(f'part {stored.name}'):
            yield msgspec.json.decode(stored.spec, type=_Part)


def _records(listing: Listing) -> Iterator[ResultRecord]:
    return map(record_of, numbered(listing, record_name))


def _partial(listing: Listing) -> dict[ItemId, SavedTranscript]:
    """Return what running items had; without it they begin anew."""
    first = next(numbered(listing, part_name))
    try:
        with reading(f'status of {first.name}'):
            partial = msgspec.json.decode(
                first.status or b'null', type=_Partial | None
            )
    except UnreadableError as error:
        _log.warning('objects: running items begin anew: %s', error)
        return {}
    return {} if partial is None else partial.items


def record_of(stored: StoredObject) -> ResultRecord:
    """Read a record of results.

    Raises
    ------
    UnreadableError
        If it is none.
    """
    with reading(f'record {stored.name}'):
        return msgspec.json.decode(stored.spec, type=ResultRecord)


def partial_body(partial: dict[ItemId, SavedTranscript]) -> bytes:
    """Write what running items have, as much as fits into one object."""
    return msgspec.json.encode(_Partial(dict(_that_fit(partial))))
