"""What is known about an upstream's load besides the own requests."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

from bergamotdoor.fleet.pace import Pace

if TYPE_CHECKING:
    from bergamotdoor.types import NodeId

#: Age from which a figure about the load is disregarded.
MAX_FIGURE_AGE: Final = dt.timedelta(seconds=2)
_USUAL_PERCENT: Final = 100


class ReportedLoad(msgspec.Struct, frozen=True):
    """An upstream's load, as it reports it in a response."""

    #: Number of requests that it runs, and that wait in its queue.
    running: int
    waiting: int
    #: Number of requests that it runs concurrently at most.
    slots: int
    #: Time that work takes on its VM now, in percent of the usual time.
    pace_percent: int = _USUAL_PERCENT


class _ToldCount(NamedTuple):
    """Number of requests that another entry has in flight."""

    in_flight: int
    #: Monotonic time at which the entry told it.
    told_at: dt.timedelta


class KnownLoad:
    """Load of an upstream by its own reports and by other entries."""

    def __init__(self) -> None:
        self.pace = Pace()
        #: The newest report; ``None`` before the first one.
        self.report: ReportedLoad | None = None
        self.reported_at = dt.timedelta()
        #: Whether the upstream itself gave this process the newest report.
        self.is_direct = False
        #: Requests of other processes, as of the newest report.
        self._reported_others = 0
        self._told: dict[NodeId, _ToldCount] = {}

    def record_report(
        self, report: ReportedLoad, own_requests: int, now: dt.timedelta
    ) -> None:
        """Record a report of the upstream.

        Parameters
        ----------
        report
            The report, in which the requests of this process are included.
        own_requests
            Number of requests of this process that are in flight.
        now
            The monotonic time of the report.
        """
        requests = report.running + report.waiting
        self._reported_others = max(requests - own_requests, 0)
        self.report = report
        self.reported_at = now
        self.is_direct = True
        self.pace.record(report.pace_percent / _USUAL_PERCENT, now)

    def record_told_report(
        self,
        report: ReportedLoad,
        age: dt.timedelta,
        own_requests: int,
        now: dt.timedelta,
    ) -> None:
        """Record a report that another entry has told, if it is the newest.

        Parameters
        ----------
        report
            The report.
        age
            Age of the report.
        own_requests
            Number of requests of this process that are in flight.
        now
            The monotonic time.
        """
        reported_at = now - max(age, dt.timedelta())
        is_newest = self.report is None or reported_at > self.reported_at
        if is_newest and _is_fresh(reported_at, now):
            self.record_report(report, own_requests, reported_at)
            self.is_direct = False

    def record_told(
        self, sender: NodeId, in_flight: int, now: dt.timedelta
    ) -> None:
        """Record how many requests another entry has in flight here.

        Failure: an entry that ended never tells anything again. Symptom: its
        figure is kept for as long as the upstream is registered. Figures
        that have expired are therefore dropped.
        """
        self._told = {
            other: told
            for other, told in self._told.items()
            if _is_fresh(told.told_at, now)
        }
        self._told[sender] = _ToldCount(max(in_flight, 0), now)

    def forget_sender(self, sender: NodeId) -> None:
        """Drop what another entry has told."""
        self._told.pop(sender, None)

    def told_requests(self, now: dt.timedelta) -> int:
        """Return how many requests other entries have told of."""
        return sum(
            told.in_flight
            for told in self._told.values()
            if _is_fresh(told.told_at, now)
        )

    def other_requests(self, now: dt.timedelta) -> int:
        """Return the estimated number of requests of other processes.

        A report counts the requests of all processes, but is older than what
        some of them have told since. The larger figure counts, since the sum
        would count most requests twice.
        """
        told = self.told_requests(now)
        if _is_fresh(self.reported_at, now):
            return max(self._reported_others, told)
        return told

    def figure_age(self, now: dt.timedelta) -> dt.timedelta | None:
        """Return the age of the newest figure, ``None`` if all are too old."""
        known_at = [told.told_at for told in self._told.values()]
        if self.report is not None:
            known_at.append(self.reported_at)
        newest = max(known_at, default=None)
        if newest is None or not _is_fresh(newest, now):
            return None
        return now - newest


def _is_fresh(known_at: dt.timedelta, now: dt.timedelta) -> bool:
    """Return whether a figure is still used.

    Failure: an entry ends, or its messages are lost, while it has requests
    at an upstream. Symptom: without an end of their use, the last figures
    would keep the upstream full for ever.
    """
    return now - known_at < MAX_FIGURE_AGE
