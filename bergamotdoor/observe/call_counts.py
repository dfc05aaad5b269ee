"""Counts the calls that a process makes to the store.

The platform limits these calls and charges for them.
"""

from __future__ import annotations

import enum
from collections import Counter
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Each job has its own kind of objects; all are counted under this one.
_JOB_KIND: Final = 'job'


class CallType(enum.Enum):
    """Type of a call to the store."""

    WATCH = 'watch'
    LIST = 'list'
    #: A listing that may be seconds old; it costs a tenth of a call.
    STALE_LIST = 'stale-list'
    READ = 'read'
    WRITE = 'write'


class CallOutcome(enum.Enum):
    """What came of a call to the store, on all its paths."""

    #: The store did it, or told the state for which it did not.
    DONE = 'done'
    #: It had no effect.
    REJECTED = 'rejected'
    #: It may have had an effect, or may have one later.
    UNCLEAR = 'unclear'


class StoreCalls(msgspec.Struct, frozen=True):
    """Number of calls of one type for one kind of objects."""

    call: CallType
    kind: str
    count: int


class CallCounts:
    """Numbers of calls to the store since the start, by type and kind."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[CallType, str]] = Counter()
        #: Numbers of writes by their outcome.
        self.writes: Counter[CallOutcome] = Counter()

    def add(self, call: CallType, kind: str) -> None:
        """Count one call."""
        counted_kind = _JOB_KIND if kind.startswith(f'{_JOB_KIND}-') else kind
        self._counts[call, counted_kind] += 1

    def __iter__(self) -> Iterator[StoreCalls]:
        """Iterate over the counts, the largest first."""
        for (call, kind), count in self._counts.most_common():
            yield StoreCalls(call, kind, count)
