"""How many requests of each client account began in each window of time."""

from __future__ import annotations

import datetime as dt
from collections import Counter
from typing import Final

import msgspec

from bergamotdoor.types import AccountId, NodeId, UsageWindow

UNIX_EPOCH: Final = dt.datetime.fromtimestamp(0, dt.UTC)
#: Windows that are kept until they are reported: one minute and more of the
#: usual five seconds, far behind the time at which a report is due.
_MOST_WINDOWS: Final = 16


class UsageReport(msgspec.Struct, frozen=True):
    """The requests of one window; decided once."""

    window: UsageWindow
    counts: dict[AccountId, int]


class EntryUsage(msgspec.Struct, frozen=True):
    """What one entry has counted."""

    node: NodeId
    #: Drawn at each start of its process, which begins to count anew.
    boot: str
    counts: dict[UsageWindow, dict[AccountId, int]]
    #: All windows below this one are whole.
    whole_below: UsageWindow


class Windows(msgspec.Struct, frozen=True):
    """How time is cut into windows."""

    length: dt.timedelta

    def at(self, moment: dt.datetime) -> UsageWindow:
        """Return the window that holds a moment."""
        return UsageWindow((moment - UNIX_EPOCH) // self.length)

    def end(self, window: UsageWindow) -> dt.datetime:
        """Return when a window is over."""
        return UNIX_EPOCH + (window + 1) * self.length


class UsageTally:
    """What this entry has counted and nobody has reported yet."""

    def __init__(self) -> None:
        self._counts: dict[UsageWindow, Counter[AccountId]] = {}
        self._reported_below = UsageWindow(0)

    def add(self, account: AccountId, window: UsageWindow) -> None:
        """Count a request that began to run."""
        if window >= self._reported_below:
            self._counts.setdefault(window, Counter())[account] += 1
        while len(self._counts) > _MOST_WINDOWS:
            del self._counts[min(self._counts)]

    def reported(self, below: UsageWindow) -> None:
        """Forget windows whose reports are decided."""
        self._reported_below = max(self._reported_below, below)
        for window in tuple(self._counts):
            if window < below:
                del self._counts[window]

    def counts(self) -> dict[UsageWindow, dict[AccountId, int]]:
        """Return all that is counted."""
        return {
            window: dict(counted) for window, counted in self._counts.items()
        }


class UsageBook:
    """What all entries have counted, as far as they told this one."""

    def __init__(self) -> None:
        self._told: dict[tuple[NodeId, str], EntryUsage] = {}
        self._heard_at: dict[NodeId, dt.timedelta] = {}

    def take(self, usage: EntryUsage, now: dt.timedelta) -> None:
        """Take what an entry has counted; it tells all that is undecided."""
        key = (usage.node, usage.boot)
        known = self._told.get(key)
        if known is None or known.whole_below <= usage.whole_below:
            self._told[key] = usage if known is None else _merged(known, usage)
        self._heard_at[usage.node] = now

    def reported(self, below: UsageWindow) -> None:
        """Forget windows whose reports are decided."""
        for key, usage in tuple(self._told.items()):
            left = {
                window: counts
                for window, counts in usage.counts.items()
                if window >= below
            }
            if left or usage.whole_below > below - _MOST_WINDOWS:
                self._told[key] = msgspec.structs.replace(usage, counts=left)
            else:
                del self._told[key]

    def counts(self, window: UsageWindow) -> dict[AccountId, int]:
        """Return the requests of a window, over all entries."""
        total: Counter[AccountId] = Counter()
        for usage in self._told.values():
            total.update(usage.counts.get(window, {}))
        return dict(total)

    def missing(
        self, window: UsageWindow, since: dt.timedelta
    ) -> frozenset[NodeId]:
        """Return the entries whose count of a window may grow.

        Parameters
        ----------
        window
            Which one.
        since
            Entries that told nothing since then are not waited for.
        """
        alive = {node for node, at in self._heard_at.items() if at >= since}
        whole = {
            usage.node
            for usage in self._told.values()
            if usage.whole_below > window
        }
        return frozenset(alive - whole)

    def alive(self, since: dt.timedelta) -> int:
        """Return how many entries told something since then."""
        return sum(at >= since for at in self._heard_at.values())


def _merged(known: EntryUsage, usage: EntryUsage) -> EntryUsage:
    """Keep counts that the entry has left out since, as too old."""
    return msgspec.structs.replace(
        usage, counts={**known.counts, **usage.counts}
    )
