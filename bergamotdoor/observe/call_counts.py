"""Counts a process's calls of the store, which are limited and priced."""

from __future__ import annotations

import enum
from collections import Counter
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Each job has a kind of its own; they are counted as one.
_JOB_KIND: Final = 'job'


class CallType(enum.Enum):
    """What a call of the store does."""

    WATCH = 'watch'
    LIST = 'list'
    #: A listing that may be seconds old; it costs a tenth.
    STALE_LIST = 'stale-list'
    READ = 'read'
    WRITE = 'write'


class StoreCalls(msgspec.Struct, frozen=True):
    """How many calls of one type were made for a kind of objects."""

    call: CallType
    kind: str
    count: int


class CallCounts:
    """Calls by type and kind since the start."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[CallType, str]] = Counter()

    def add(self, call: CallType, kind: str) -> None:
        """Count a call that is made."""
        short = _JOB_KIND if kind.startswith(f'{_JOB_KIND}-') else kind
        self._counts[call, short] += 1

    def __iter__(self) -> Iterator[StoreCalls]:
        """Return the counts, the largest first."""
        for (call, kind), count in self._counts.most_common():
            yield StoreCalls(call, kind, count)
