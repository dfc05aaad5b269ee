"""Budget of hedged calls of one service.

Load pattern: a service is nearly full, so its responses are slow, and each
process hedges its slow calls. The hedges then take the slots of calls.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import datetime as dt

#: Time for which calls and hedges are counted.
_WINDOW_S: Final = 10
#: Calls for each hedge while the service is over half full.
_CALLS_PER_HEDGE: Final = 10


class HedgeBudget:
    """Calls and hedges of one service in the last seconds."""

    def __init__(self) -> None:
        self._calls: Counter[int] = Counter()
        self._hedges: Counter[int] = Counter()

    def record_call(self, now: dt.timedelta) -> None:
        """Count a call when it is first sent."""
        _add(self._calls, now)

    def record_hedge(self, now: dt.timedelta) -> None:
        """Count a hedge that is sent while the service is over half full."""
        _add(self._hedges, now)

    def has_left(self, now: dt.timedelta) -> bool:
        """Return whether one more hedge is within one in ten calls.

        One hedge is always allowed: a process that sends fewer than ten calls
        would otherwise never hedge a slow one.
        """
        allowed = max(_sum_recent(self._calls, now) // _CALLS_PER_HEDGE, 1)
        return _sum_recent(self._hedges, now) < allowed


def _add(counts: Counter[int], now: dt.timedelta) -> None:
    second = int(now.total_seconds())
    counts[second] += 1
    for old in tuple(one for one in counts if one <= second - _WINDOW_S):
        del counts[old]


def _sum_recent(counts: Counter[int], now: dt.timedelta) -> int:
    oldest = int(now.total_seconds()) - _WINDOW_S
    return sum(count for second, count in counts.items() if second > oldest)
