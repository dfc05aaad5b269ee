"""Load and health of each upstream, as far as one process knows them.

Load pattern: bursts of batch items and a trickle of calls, sent by several
processes. Each process counts its own requests and adds those of the others,
which the upstream reported or the others told a moment ago. After a refusal
or a failure it avoids the upstream for a backoff period.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.fleet.known_load import KnownLoad
from bergamotdoor.fleet.model_assignment import LOAD_TIME

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.fleet.known_load import ReportedLoad
    from bergamotdoor.types import NodeId, UpstreamId

#: Backoff after a refusal. The upstream is full or loads weights, which takes
#: about a second; more frequent retries cost connections and gain nothing.
_REFUSAL_BACKOFF_MS: Final = 300
REFUSAL_BACKOFF: Final = dt.timedelta(milliseconds=_REFUSAL_BACKOFF_MS)
#: Time for which a single probe request is sent to an upstream that refused
#: before. Its response shows whether other requests may follow.
_PROBE_TIME_MS: Final = 250
PROBE_TIME: Final = dt.timedelta(milliseconds=_PROBE_TIME_MS)
#: Backoff after a broken or failed request; doubled by each consecutive one.
_FAILURE_BACKOFF_MS: Final = 500
FAILURE_BACKOFF: Final = dt.timedelta(milliseconds=_FAILURE_BACKOFF_MS)
_MAX_BACKOFF_DOUBLINGS: Final = 4
#: Time within which an engine begins a load that its agent has announced. The
#: agent orders the load after 150 ms at the latest.
_LOAD_BEGIN_TIME_MS: Final = 300
LOAD_BEGIN_TIME: Final = dt.timedelta(milliseconds=_LOAD_BEGIN_TIME_MS)
#: Time within which an engine sends events again after a load: the interval of
#: two or three events.
_RESUME_TIME_MS: Final = 150
RESUME_TIME: Final = dt.timedelta(milliseconds=_RESUME_TIME_MS)
#: Weight of the newest measurement in the moving average of the latency.
_LATENCY_SMOOTHING: Final = 0.25

_ZERO: Final = dt.timedelta()


def _ignore_change() -> None:
    """Do nothing about a change of the requests in flight."""


class UpstreamLoad:
    """Load, latency and backoff of one upstream.

    Parameters
    ----------
    on_change
        Called after each change of the number of requests in flight.
    """

    def __init__(self, on_change: Callable[[], None] = _ignore_change) -> None:
        self._on_change = on_change
        #: Requests of this process that are in flight.
        self.in_flight = 0
        #: Slots that are reserved for items that move to this upstream.
        self.reserved_slots = 0
        #: Moving average of its latency at the usual pace of its VM, in
        #: seconds; 0 while unmeasured.
        self.latency_s = float()
        #: What is known about its load besides the requests of this process.
        self.known = KnownLoad()
        self._backoff_until = _ZERO
        #: When the upstream was closed to requests, and until when it is.
        self._closed_at = _ZERO
        self._closed_until = _ZERO
        #: Failures since the last successful request.
        self._failures = 0
        #: Refusals since the last accepted request.
        self._refusals = 0

    def begin_request(self) -> None:
        """Count a request as in flight; called before it is sent."""
        self.in_flight += 1
        self._on_change()

    def end_request(self) -> None:
        """Stop counting a request as in flight, whatever its outcome."""
        self.in_flight -= 1
        self._on_change()

    def record_report(self, report: ReportedLoad, now: dt.timedelta) -> None:
        """Record a load report of the upstream.

        Parameters
        ----------
        report
            The report, in which the requests of this process are included.
        now
            The monotonic time.
        """
        self.known.record_report(report, self.in_flight, now)

    def record_refusal(self, now: dt.timedelta) -> None:
        """Record that the upstream refused a request, and begin a backoff."""
        self._refusals += 1
        self._backoff_until = max(self._backoff_until, now + REFUSAL_BACKOFF)

    def record_sent(self, now: dt.timedelta) -> None:
        """Record that a request is sent to the upstream.

        Failure: an upstream loads weights and refuses all requests for a
        second. Symptom: whenever its backoff ends, sixteen requests are sent
        to it, each on a connection of its own, and are refused. After a
        refusal, a single probe request is therefore sent.
        """
        if self._refusals:
            self._backoff_until = now + PROBE_TIME

    def record_acceptance(self, now: dt.timedelta) -> None:
        """Record that the upstream runs a request.

        This ends the backoff that follows a refusal.

        Failure: an engine accepts a request that was sent before it was
        closed. Symptom: it is opened before it loads weights, and refuses
        what is sent then. A closed upstream is therefore opened only by an
        acceptance that is later than the begin of its load.
        """
        if now - self._closed_at > LOAD_BEGIN_TIME:
            self._closed_until = min(self._closed_until, now)
        if self._refusals:
            self._refusals = 0
            self._backoff_until = min(self._backoff_until, now)

    def close_until(self, until: dt.timedelta, now: dt.timedelta) -> None:
        """Send no requests to the upstream for a time, which counts as backoff.

        Parameters
        ----------
        until
            The monotonic time at which requests are sent again; an earlier
            one than before opens the upstream.
        now
            The monotonic time.
        """
        self._closed_at = now
        self._closed_until = until

    def is_resuming(self, now: dt.timedelta) -> bool:
        """Return whether the upstream was closed until a moment ago.

        Failure: an engine has loaded its weights, and its items have sent no
        event yet. Symptom: they seem stalled, and those that had stayed for
        its speed leave it for a slow engine.
        """
        return _ZERO <= now - self._closed_until < RESUME_TIME

    def load_time_left(self, now: dt.timedelta) -> dt.timedelta | None:
        """Return how much longer an announced weight load takes.

        It is ``None`` if the upstream is not closed for a load.
        """
        if now >= self._closed_until:
            return None
        return max(self._closed_at + LOAD_TIME - now, _ZERO)

    def record_failure(self, now: dt.timedelta) -> None:
        """Record a broken or failed request, and begin a backoff.

        Requests that break at the same time, for instance when a link is
        reset, count as one failure. Counted one by one, they would keep a
        healthy upstream in backoff for seconds, and all other upstreams with
        it.
        """
        if self.is_in_backoff(now):
            return
        doublings = min(self._failures, _MAX_BACKOFF_DOUBLINGS)
        self._failures += 1
        backoff = FAILURE_BACKOFF * (1 << doublings)
        self._backoff_until = max(self._backoff_until, now + backoff)

    def record_success(self) -> None:
        """Record that the upstream ran a request to its end."""
        self._refusals = 0
        self._failures = 0

    def record_response(self, latency: dt.timedelta) -> None:
        """Record a successful response and its latency.

        The latency is converted to the usual pace by the pace that the
        response states. Otherwise a few responses in a slow moment would
        raise the average for as long as no others arrive, since each one has
        a weight of a quarter.
        """
        self.record_success()
        seconds = latency.total_seconds() / self.known.pace.newest
        if self.latency_s:
            self.latency_s += _LATENCY_SMOOTHING * (seconds - self.latency_s)
        else:
            self.latency_s = seconds

    def is_in_backoff(self, now: dt.timedelta) -> bool:
        """Return whether the upstream is in backoff or closed."""
        return now < max(self._backoff_until, self._closed_until)

    def estimated_requests(self, now: dt.timedelta) -> int:
        """Return the estimated number of requests at the upstream.

        Reserved slots count as requests.
        """
        return (
            self.in_flight
            + self.reserved_slots
            + self.estimated_other_requests(now)
        )

    def estimated_other_requests(self, now: dt.timedelta) -> int:
        """Return the estimated number of requests of other processes."""
        return self.known.other_requests(now)


class Loads:
    """Load of every upstream."""

    def __init__(self) -> None:
        self._loads: dict[UpstreamId, UpstreamLoad] = {}
        #: Called after each change of the requests in flight at any upstream.
        self.on_change: Callable[[], None] = _ignore_change

    def of(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of an upstream; a new one if it is unknown."""
        load = self._loads.get(upstream)
        if load is None:
            load = UpstreamLoad(self._notify_change)
            self._loads[upstream] = load
        return load

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the load of an upstream that was removed."""
        self._loads.pop(upstream, None)

    def forget_sender(self, sender: NodeId) -> None:
        """Drop what another entry has told about any upstream."""
        for load in self._loads.values():
            load.known.forget_sender(sender)

    def _notify_change(self) -> None:
        self.on_change()
