"""How loaded and how well each upstream is, as far as one process knows.

Load pattern: bursts of items and a trickle of calls from several processes
that do not tell each other what they send. Each counts its own requests,
adds what the upstream told of the others a moment ago, and leaves an
upstream that refuses or breaks alone for a while.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from bergamotdoor.types import UpstreamId

#: After a refusal the upstream is full or loading weights, which takes
#: about a second; asking more often costs connections and gains nothing.
_REFUSAL_REST_MS: Final = 300
REFUSAL_REST: Final = dt.timedelta(milliseconds=_REFUSAL_REST_MS)
#: How long one request is alone on its way to an upstream that refused
#: before: it tells whether the others may follow.
_PROBE_TIME_MS: Final = 250
PROBE_TIME: Final = dt.timedelta(milliseconds=_PROBE_TIME_MS)
#: After a broken or failed request; doubled with each one that follows.
_FAILURE_REST_MS: Final = 500
FAILURE_REST: Final = dt.timedelta(milliseconds=_FAILURE_REST_MS)
_MOST_DOUBLINGS: Final = 4
#: What an upstream told of its load is worth nothing after this.
_TOLD_AGE: Final = dt.timedelta(seconds=2)
#: The weight of the newest measurement.
_SMOOTHING: Final = 0.25

_ZERO: Final = dt.timedelta()


class ToldLoad(msgspec.Struct, frozen=True):
    """What an upstream says of its load in an answer."""

    running: int
    waiting: int
    slots: int


class UpstreamLoad:
    """What is known of one upstream now."""

    def __init__(self) -> None:
        self.in_flight = 0
        #: Slots that are kept for requests on their way from elsewhere.
        self.kept = 0
        #: How long its answers take, in seconds; 0 while unmeasured.
        self.latency_s = float()
        #: Requests of other processes that it told of.
        self._others = 0
        self._told_at = _ZERO
        self._rest_until = _ZERO
        #: Failures since the last good answer.
        self._failures = 0
        #: Refusals since it last took a request.
        self._refusals = 0

    def enter(self) -> None:
        """Take that a request is on its way, before it is sent."""
        self.in_flight += 1

    def leave(self) -> None:
        """Take that a request has ended, however it did."""
        self.in_flight -= 1

    def told(self, busy: int, now: dt.timedelta) -> None:
        """Take how many requests it says to have, running and waiting."""
        self._others = max(busy - self.in_flight, 0)
        self._told_at = now

    def refused(self, now: dt.timedelta) -> None:
        """Take a refusal."""
        self._refusals += 1
        self._rest_until = max(self._rest_until, now + REFUSAL_REST)

    def placed(self, now: dt.timedelta) -> None:
        """Take that a request goes there.

        Failure: an upstream loads weights and refuses everything for a
        second. Symptom: sixteen requests go there whenever its rest ends,
        each with a connection of its own, and come back. One is enough.
        """
        if self._refusals:
            self._rest_until = now + PROBE_TIME

    def accepted(self, now: dt.timedelta) -> None:
        """Take that it runs a request."""
        if self._refusals:
            self._refusals = 0
            self._rest_until = min(self._rest_until, now)

    def failed(self, now: dt.timedelta) -> None:
        """Take a broken or failed request.

        Requests that break together, as when a link resets, are one
        failure: counted one by one they would keep a sound upstream alone
        for seconds, and all others with it.
        """
        if self.resting(now):
            return
        doublings = min(self._failures, _MOST_DOUBLINGS)
        self._failures += 1
        rest = FAILURE_REST * (1 << doublings)
        self._rest_until = max(self._rest_until, now + rest)

    def succeeded(self) -> None:
        """Take that a request was served to its end."""
        self._refusals = 0
        self._failures = 0

    def answered(self, latency: dt.timedelta) -> None:
        """Take a good answer, and how long it took."""
        self.succeeded()
        seconds = latency.total_seconds()
        if self.latency_s:
            self.latency_s += _SMOOTHING * (seconds - self.latency_s)
        else:
            self.latency_s = seconds

    def resting(self, now: dt.timedelta) -> bool:
        """Return whether it should be left alone."""
        return now < self._rest_until

    def busy(self, now: dt.timedelta) -> int:
        """Return how many requests it probably has."""
        return self.in_flight + self.kept + self.others(now)

    def others(self, now: dt.timedelta) -> int:
        """Return how many of these are probably of other processes."""
        return self._others if now - self._told_at < _TOLD_AGE else 0


class Loads:
    """The loads of all upstreams."""

    def __init__(self) -> None:
        self._loads: dict[UpstreamId, UpstreamLoad] = {}

    def of(self, upstream: UpstreamId) -> UpstreamLoad:
        """Return the load of one upstream."""
        return self._loads.setdefault(upstream, UpstreamLoad())

    def forget(self, upstream: UpstreamId) -> None:
        """Drop an upstream that is gone."""
        self._loads.pop(upstream, None)
