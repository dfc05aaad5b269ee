"""Request counts of one entry for the usage reports."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final, NamedTuple

from bergamotdoor.duties.jump_filtered_clock import JumpFilteredClock
from bergamotdoor.duties.usage import EntryUsage, UsageTally, Windows
from bergamotdoor.types import UsageWindow

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.duties.usage import CollectedUsage
    from bergamotdoor.types import AccountId, NodeId

#: A request that a caller sent in a window may reach the counter so much later.
_ENTER_DELAY_MS: Final = 300
_ENTER_DELAY: Final = dt.timedelta(milliseconds=_ENTER_DELAY_MS)
#: A process that stops declares so many windows after the current one complete,
#: as it will never count a request in them.
_WINDOWS_AFTER_CLOSE: Final = 1000


class UsageCounter:
    """Counts requests of client accounts by the window in which they began.

    Parameters
    ----------
    clock
        Clock of this process.
    length
        Length of a window.
    node
        Node of this process.
    boot
        Random identifier of this start of the process.
    """

    def __init__(
        self, clock: Clock, length: dt.timedelta, node: NodeId, boot: str
    ) -> None:
        self.windows = Windows(length)
        self.node = node
        self.boot = boot
        self._clock = clock
        self._filtered_clock = JumpFilteredClock()
        self._tally = UsageTally()
        #: Arrival times of the requests in progress, by request number.
        self._open_requests: dict[int, dt.datetime] = {}
        self._last_number = 0
        self._closed = False

    def true_time(self) -> dt.datetime:
        """Return the time of day, corrected for jumps of the wall clock."""
        clock = self._clock
        return self._filtered_clock.read(clock.now(), clock.uptime())

    def enter(self) -> int:
        """Register the arrival of a request.

        Its window is not complete until the request has ended.

        Returns
        -------
        int
            Number of the request, with which its end is registered.
        """
        self._last_number += 1
        self._open_requests[self._last_number] = self.true_time()
        return self._last_number

    def leave(
        self, number: int, account: AccountId, began: dt.timedelta | None
    ) -> None:
        """Register the end of a request, and count it if it ran.

        Parameters
        ----------
        number
            Number that the registration of the arrival returned.
        account
            Client account of the request; empty if there is none.
        began
            Monotonic time at which an upstream began to run the request;
            ``None`` if it did not run.
        """
        self._open_requests.pop(number)
        if account and began is not None:
            moment = self.true_time() - (self._clock.elapsed() - began)
            self._tally.add(account, self.windows.at(moment))

    def close(self) -> None:
        """Register that no more requests arrive."""
        self._closed = True

    def reported(self, below: UsageWindow) -> None:
        """Remove windows whose reports are decided.

        Parameters
        ----------
        below
            All windows below this one are decided.
        """
        self._tally.drop_decided(below)

    def told(self) -> EntryUsage:
        """Return the counts that are not reported yet."""
        return EntryUsage(
            self.node, self.boot, self._tally.counts(), self.whole_below
        )

    @property
    def whole_below(self) -> UsageWindow:
        """The window below which all windows are complete in this entry."""
        now = self.true_time()
        if self._closed:
            return UsageWindow(self.windows.at(now) + _WINDOWS_AFTER_CLOSE)
        oldest = min(self._open_requests.values(), default=now)
        return self.windows.at(min(oldest, now - _ENTER_DELAY))


class UsageCounts(NamedTuple):
    """Counts of the requests that are not reported yet."""

    #: Counts the requests of this entry.
    own: UsageCounter
    #: Counts that all entries have sent to this one, including itself.
    told: CollectedUsage
