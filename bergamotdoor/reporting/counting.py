"""Counts an entry's requests, and tells whoever reports them."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final, NamedTuple

from bergamotdoor.duties.true_time import TrueTime
from bergamotdoor.duties.usage import EntryUsage, UsageTally, Windows
from bergamotdoor.types import UsageWindow

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.duties.usage import UsageBook
    from bergamotdoor.types import AccountId, NodeId

#: A request that was sent in a window may be entered a little later.
_SETTLE_MS: Final = 300
_SETTLE: Final = dt.timedelta(milliseconds=_SETTLE_MS)
#: Windows for which a process that ends has counted all that it ever will.
_FOR_GOOD: Final = 1000


class UsageCounter:
    """Counts requests of client accounts by the window in which they began.

    Parameters
    ----------
    clock
        The time.
    length
        How long a window is.
    node, boot
        This process.
    """

    def __init__(
        self, clock: Clock, length: dt.timedelta, node: NodeId, boot: str
    ) -> None:
        self.windows = Windows(length)
        self.node = node
        self.boot = boot
        self._clock = clock
        self._true_time = TrueTime()
        self._tally = UsageTally()
        #: When requests came whose end is open, by a number of their own.
        self._open: dict[int, dt.datetime] = {}
        self._last = 0
        self._closed = False

    def true_time(self) -> dt.datetime:
        """Return the true time."""
        clock = self._clock
        return self._true_time.read(clock.now(), clock.uptime())

    def enter(self) -> int:
        """Take that a request came; its window stays open for it."""
        self._last += 1
        self._open[self._last] = self.true_time()
        return self._last

    def leave(
        self, number: int, account: AccountId, began: dt.timedelta | None
    ) -> None:
        """Take what became of a request.

        Parameters
        ----------
        number
            What entering it returned.
        account
            Whose it was.
        began
            When it began to run, in the clock's monotonic time; None if it
            did not.
        """
        self._open.pop(number)
        if account and began is not None:
            moment = self.true_time() - (self._clock.elapsed() - began)
            self._tally.add(account, self.windows.at(moment))

    def close(self) -> None:
        """Take that no more requests come."""
        self._closed = True

    def reported(self, below: UsageWindow) -> None:
        """Forget windows whose reports are decided."""
        self._tally.reported(below)

    def told(self) -> EntryUsage:
        """Return what is counted and not reported."""
        return EntryUsage(
            self.node, self.boot, self._tally.counts(), self.whole_below
        )

    @property
    def whole_below(self) -> UsageWindow:
        """The window below which all are whole."""
        now = self.true_time()
        if self._closed:
            return UsageWindow(self.windows.at(now) + _FOR_GOOD)
        oldest = min(self._open.values(), default=now)
        return self.windows.at(min(oldest, now - _SETTLE))


class UsageCounts(NamedTuple):
    """What is known of the requests that nobody has reported yet."""

    own: UsageCounter
    #: What all entries have told this one, itself among them.
    told: UsageBook
