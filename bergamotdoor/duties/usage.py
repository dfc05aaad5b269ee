"""Usage: how many requests of each client account began in each window."""

from __future__ import annotations

import datetime as dt
from collections import Counter
from typing import Final

import msgspec

from bergamotdoor.types import AccountId, NodeId, UsageWindow

UNIX_EPOCH: Final = dt.datetime.fromtimestamp(0, dt.UTC)
#: Maximum number of windows that are kept until they are reported. With the
#: usual windows of five seconds this is more than a minute, far longer than
#: the time within which a report is due.
_MAX_WINDOWS: Final = 16


class UsageReport(msgspec.Struct, frozen=True):
    """Request counts of one window; a report is decided only once."""

    window: UsageWindow
    counts: dict[AccountId, int]


class EntryUsage(msgspec.Struct, frozen=True):
    """Request counts of one entry process."""

    node: NodeId
    #: Random id that is drawn at each start of the process, which then begins
    #: to count from zero.
    boot: str
    counts: dict[UsageWindow, dict[AccountId, int]]
    #: The counts of all windows below this one are final.
    whole_below: UsageWindow


class Windows(msgspec.Struct, frozen=True):
    """Division of time into windows of equal length."""

    length: dt.timedelta

    def at(self, moment: dt.datetime) -> UsageWindow:
        """Return the window that contains a point in time."""
        return UsageWindow((moment - UNIX_EPOCH) // self.length)

    def end(self, window: UsageWindow) -> dt.datetime:
        """Return the end of a window."""
        return UNIX_EPOCH + (window + 1) * self.length


class UsageTally:
    """Request counts of this entry process that are not reported yet."""

    def __init__(self) -> None:
        self._counts: dict[UsageWindow, Counter[AccountId]] = {}
        #: The reports of all windows below this one are decided.
        self._decided_below = UsageWindow(0)

    def add(self, account: AccountId, window: UsageWindow) -> None:
        """Count a request that began to run in a window.

        The request is not counted if the window's report is decided.
        """
        if window >= self._decided_below:
            self._counts.setdefault(window, Counter())[account] += 1
        while len(self._counts) > _MAX_WINDOWS:
            del self._counts[min(self._counts)]

    def drop_decided(self, below: UsageWindow) -> None:
        """Drop the counts of all windows below `below`.

        Their reports are decided.
        """
        self._decided_below = max(self._decided_below, below)
        for window in tuple(self._counts):
            if window < below:
                del self._counts[window]

    def counts(self) -> dict[UsageWindow, dict[AccountId, int]]:
        """Return the counts of all windows that are kept."""
        return {
            window: dict(counted) for window, counted in self._counts.items()
        }


class CollectedUsage:
    """Request counts of all entry processes, as far as this one got them."""

    def __init__(self) -> None:
        #: Counts by entry and by the boot id of its process.
        self._usages: dict[tuple[NodeId, str], EntryUsage] = {}
        #: When each entry's counts last arrived, since the machine's start.
        self._updated_at: dict[NodeId, dt.timedelta] = {}

    def update(self, usage: EntryUsage, now: dt.timedelta) -> None:
        """Add or update the counts of an entry.

        Parameters
        ----------
        usage
            All counts of the entry whose reports are not decided. Counts that
            are older than the known ones are ignored.
        now
            The present, measured since the machine's start.
        """
        key = (usage.node, usage.boot)
        known = self._usages.get(key)
        if known is None or known.whole_below <= usage.whole_below:
            self._usages[key] = (
                usage if known is None else _merge_counts(known, usage)
            )
        self._updated_at[usage.node] = now

    def drop_decided(self, below: UsageWindow) -> None:
        """Drop the counts of all windows below `below`.

        Their reports are decided.
        """
        for key, usage in tuple(self._usages.items()):
            left = {
                window: counts
                for window, counts in usage.counts.items()
                if window >= below
            }
            if left or usage.whole_below > below - _MAX_WINDOWS:
                self._usages[key] = msgspec.structs.replace(usage, counts=left)
            else:
                del self._usages[key]

    def counts(self, window: UsageWindow) -> dict[AccountId, int]:
        """Return the request counts of a window, summed over all entries."""
        total: Counter[AccountId] = Counter()
        for usage in self._usages.values():
            total.update(usage.counts.get(window, {}))
        return dict(total)

    def unfinished_entries(
        self, window: UsageWindow, since: dt.timedelta
    ) -> frozenset[NodeId]:
        """Return the entries whose counts of a window may still grow.

        Parameters
        ----------
        window
            The window.
        since
            Time since the machine's start. Entries whose counts last arrived
            before it are left out, since they are not waited for.
        """
        alive = {node for node, at in self._updated_at.items() if at >= since}
        whole = {
            usage.node
            for usage in self._usages.values()
            if usage.whole_below > window
        }
        return frozenset(alive - whole)

    def count_alive(self, since: dt.timedelta) -> int:
        """Return the number of entries whose counts arrived since `since`."""
        return sum(at >= since for at in self._updated_at.values())


def _merge_counts(known: EntryUsage, usage: EntryUsage) -> EntryUsage:
    """Return `usage` with the windows that only `known` has.

    The entry leaves out windows that are too old for it to keep.
    """
    return msgspec.structs.replace(
        usage, counts={**known.counts, **usage.counts}
    )
