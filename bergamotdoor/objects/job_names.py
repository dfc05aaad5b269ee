"""Kinds and names of the objects that store batch jobs."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from bergamotdoor.stored import Listing, StoredObject
    from bergamotdoor.types import JobId

JOB_KIND: Final = 'jobs'
_PART_PREFIX: Final = 'part-'
_RESULT_PREFIX: Final = 'result-'
#: With a fixed number of digits, names sort in the order of their numbers.
_NUMBER_DIGITS: Final = 6


def part_name(number: int) -> str:
    """Return the object name of a part of a job's body."""
    return _PART_PREFIX + str(number).zfill(_NUMBER_DIGITS)


def record_name(number: int) -> str:
    """Return the object name of a record of results."""
    return _RESULT_PREFIX + str(number).zfill(_NUMBER_DIGITS)


def parts_kind(job: JobId) -> str:
    """Return the kind of the objects with a job's parts and results."""
    return f'job-{job}'


def numbered(
    listing: Listing, name_of: Callable[[int], str]
) -> Iterator[StoredObject]:
    """Return consecutively numbered objects, in order.

    Parameters
    ----------
    listing
        Objects of a kind.
    name_of
        Returns the object name of a number.

    Returns
    -------
    Iterator of StoredObject
        The objects from number zero up to the first number that is missing.
    """
    by_name = {stored.name: stored for stored in listing.objects}
    names = map(name_of, range(len(by_name)))
    present = itertools.takewhile(by_name.__contains__, names)
    return (by_name[name] for name in present)
