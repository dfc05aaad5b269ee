"""What is known about an upstream's load besides the own requests."""

from __future__ import annotations

import datetime as dt
from typing import Final

import msgspec

from bergamotdoor.fleet.pace import Pace

#: Age from which a report of the load is disregarded.
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


class KnownLoad:
    """Load of an upstream by its own reports."""

    def __init__(self) -> None:
        self.pace = Pace()
        #: The newest report; ``None`` before the first one.
        self.report: ReportedLoad | None = None
        self.reported_at = dt.timedelta()
        #: Requests of other processes, as of the newest report.
        self._reported_others = 0

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
        self.pace.record(report.pace_percent / _USUAL_PERCENT, now)

    def other_requests(self, now: dt.timedelta) -> int:
        """Return the estimated number of requests of other processes."""
        if now - self.reported_at < MAX_FIGURE_AGE:
            return self._reported_others
        return 0
