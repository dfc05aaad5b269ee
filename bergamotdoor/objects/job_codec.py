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
from bergamotdoor.stored import Listing, Outcome, StoredObject
from bergamotdoor.types import ItemId, JobId, Revision

if TYPE_CHECKING:
    from collections.abc import Iterator

JOB_KIND: Final = 'jobs'
_PART: Final = 'part-'
_RESULT: Final = 'result-'
#: Names of one length sort as their numbers do.
_DIGITS: Final = 6
#: An object may take a megabyte; JSON writes bodies in base64.
PART_BYTES: Final = 600_000


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


def part_name(number: int) -> str:
    """Return the name of a piece of a job's body."""
    return _PART + str(number).zfill(_DIGITS)


def record_name(number: int) -> str:
    """Return the name of a record of results."""
    return _RESULT + str(number).zfill(_DIGITS)


def parts_kind(job: JobId) -> str:
    """Return the kind of a job's parts and results."""
    return f'job-{job}'


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
    """Read a job's record."""
    status = msgspec.json.decode(
        stored.status or b'null', type=JobStatus | None
    )
    return FoundJob(
        JobId(stored.name),
        msgspec.json.decode(stored.spec, type=JobRecord),
        status or JobStatus(),
        stored.revision,
    )


def loaded_job(listing: Listing) -> LoadedJob | Outcome:
    """Read a job's body and results; ABSENT if there is no body."""
    parts = [
        msgspec.json.decode(stored.spec, type=_Part)
        for stored in listing.objects
        if stored.name.startswith(_PART)
    ]
    if not parts:
        return Outcome.ABSENT
    items = tuple(item for part in parts for item in part.items)
    spec = msgspec.structs.replace(parts[0].head, items=items)
    first = listing.objects[0].status or b'null'
    partial = msgspec.json.decode(first, type=_Partial | None)
    return LoadedJob(
        spec,
        Ledger(_records(listing)),
        {} if partial is None else partial.items,
    )


def _records(listing: Listing) -> list[ResultRecord]:
    return [
        record_of(stored)
        for stored in listing.objects
        if stored.name.startswith(_RESULT)
    ]


def record_of(stored: StoredObject) -> ResultRecord:
    """Read a record of results."""
    return msgspec.json.decode(stored.spec, type=ResultRecord)


def partial_body(partial: dict[ItemId, SavedTranscript]) -> bytes:
    """Write what running items have, as much as fits into one object."""
    return msgspec.json.encode(_Partial(dict(_that_fit(partial))))
