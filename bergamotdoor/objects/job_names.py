"""Names under which batch jobs are stored."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from bergamotdoor.stored import Listing, StoredObject
    from bergamotdoor.types import JobId

JOB_KIND: Final = 'jobs'
_PART: Final = 'part-'
_RESULT: Final = 'result-'
#: Names of one length sort as their numbers do.
_DIGITS: Final = 6


def part_name(number: int) -> str:
    """Return the name of a piece of a job's body."""
    return _PART + str(number).zfill(_DIGITS)


def record_name(number: int) -> str:
    """Return the name of a record of results."""
    return _RESULT + str(number).zfill(_DIGITS)


def parts_kind(job: JobId) -> str:
    """Return the kind of a job's parts and results."""
    return f'job-{job}'


def numbered(
    listing: Listing, name_of: Callable[[int], str]
) -> Iterator[StoredObject]:
    """Return the objects with the names of numbers, from zero on."""
    named = {stored.name: stored for stored in listing.objects}
    names = map(name_of, range(len(named)))
    known = itertools.takewhile(named.__contains__, names)
    return (named[name] for name in known)
