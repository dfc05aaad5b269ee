"""Attempts of one call: which upstreams it is sent to, when and how often.

Load pattern: a trickle of callers that wait for a few hundred milliseconds,
beside bursts of scoring calls, in front of a handful of upstreams of which
some are slow, full, broken or gone. A call is sent to the upstream that is
expected to answer first. An idempotent call is hedged: if the first upstream
is slow, the call is sent to a second one as well. A call that may run at most
once is sent to another upstream only after the first has stated that it did
not run the call.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.calls.manifest import RouteKind
from bergamotdoor.fleet.choice import select_upstream
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bergamotdoor.calls.manifest import Route
    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.types import UpstreamId, ZoneId

#: Share of the route's target latency after which a call is hedged. By then
#: nine in ten calls are answered, and enough time is left for the second
#: upstream.
HEDGE_SHARE: Final = 0.55
#: Minimum hedge delay of a scoring call: four times the usual latency.
_MIN_SCORE_HEDGE_DELAY_MS: Final = 200
_MIN_SCORE_HEDGE_DELAY: Final = dt.timedelta(
    milliseconds=_MIN_SCORE_HEDGE_DELAY_MS
)
#: Part of the remaining time that is reserved to report a failure to the
#: caller before its deadline.
_ANSWER_MARGIN_MS: Final = 20
_ANSWER_MARGIN: Final = dt.timedelta(milliseconds=_ANSWER_MARGIN_MS)
#: Maximum number of times that a call is sent, refusals included.
_MAX_TRIES: Final = 6
#: Number of refusals in a row after which a call waits no longer, if the
#: service accepted no other call meanwhile.
_MAX_REFUSALS: Final = 3
_NO_TIME: Final = dt.timedelta()
#: Least time between two checks whether a hedge may be sent after all. The
#: hedge delay of a route without a target latency is 0.
_HEDGE_CHECK_INTERVAL_MS: Final = 20
_HEDGE_CHECK_INTERVAL: Final = dt.timedelta(
    milliseconds=_HEDGE_CHECK_INTERVAL_MS
)


class CallRules(msgspec.Struct, frozen=True):
    """Rules for the attempts of one call."""

    #: Whether more than one upstream may run the call.
    repeatable: bool
    #: Whether the call has the same effect wherever and however often it
    #: runs. It may then be hedged, and sent over kept-alive connections.
    idempotent: bool
    #: Maximum number of upstreams that may run the call.
    max_attempts: int
    #: Hedge delay: time after which another upstream is tried beside one that
    #: has not answered.
    hedge_delay: dt.timedelta
    #: Monotonic time at which the caller stops waiting.
    deadline: dt.timedelta

    @classmethod
    def of_caller(cls, route: Route, deadline: dt.timedelta) -> CallRules:
        """Return the rules for a caller's call on a route."""
        kind = route.kind
        is_resumable = kind is RouteKind.STREAM and route.resumable
        return cls(
            repeatable=is_resumable or kind is RouteKind.IDEMPOTENT,
            idempotent=kind is RouteKind.IDEMPOTENT,
            max_attempts=route.max_attempts,
            hedge_delay=route.target_latency * HEDGE_SHARE,
            deadline=deadline,
        )

    @classmethod
    def of_score(cls, route: Route, deadline: dt.timedelta) -> CallRules:
        """Return the rules for a scoring call on a route.

        A scoring call is idempotent whatever the kind of its route. It is
        hedged later than a caller's call, since a step can wait for longer
        than a caller: a service that is busy with the scoring calls of a step
        would otherwise get some of them twice.
        """
        return cls(
            repeatable=True,
            idempotent=True,
            max_attempts=route.max_attempts,
            hedge_delay=max(route.target_latency, _MIN_SCORE_HEDGE_DELAY),
            deadline=deadline,
        )


class CallAttempts:
    """Attempts of one call at upstreams, and their outcomes.

    Parameters
    ----------
    rules
        Rules for the attempts.
    zone
        Availability zone of this process.
    """

    def __init__(self, rules: CallRules, zone: ZoneId) -> None:
        self._rules = rules
        self._zone = zone
        #: Upstreams that the call was sent to.
        self._tried: set[UpstreamId] = set()
        #: How often the call was sent.
        self._send_count = 0
        #: Refusals since the service last accepted a call, and how many calls
        #: it had accepted by then.
        self._refusals = 0
        self._accepted_count = 0
        #: Number of upstreams that crashed in a chain while they ran the
        #: call, or an earlier request with the same fingerprint.
        self.strike_count = 0
        #: Number of attempts in flight.
        self.in_flight = 0
        #: Number of ended attempts that may have run the call.
        self.possible_runs = 0

    def begin_attempt(
        self, upstreams: Iterable[Upstream], loads: Loads, now: dt.timedelta
    ) -> Upstream | None:
        """Begin an attempt and return the upstream to send the call to.

        Parameters
        ----------
        upstreams
            Upstreams of the call's service that accept new requests.
        loads
            Load and latency of each upstream.
        now
            The monotonic time.

        Returns
        -------
        Upstream or None
            ``None`` if no attempt may begin now, or no upstream is left.
        """
        if not self.may_begin_attempt(now):
            return None
        candidates = self.untried(upstreams)
        upstream = select_upstream(candidates, loads, self._zone, now)
        if upstream is not None:
            self._send_count += 1
            self._tried.add(upstream.upstream)
            self.in_flight += 1
        return upstream

    def untried(self, upstreams: Iterable[Upstream]) -> list[Upstream]:
        """Return the upstreams that may get the call."""
        return [one for one in upstreams if one.upstream not in self._tried]

    def end_attempt(
        self,
        verdict: Verdict,
        refused_by: UpstreamId | None = None,
        accepted_count: int = 0,
    ) -> None:
        """Record the outcome of an attempt that has ended.

        Parameters
        ----------
        verdict
            Whether the call may have run.
        refused_by
            The upstream that stated that it did not run the call, if one
            did. It may get the call again.
        accepted_count
            How many calls the service has accepted so far.
        """
        self.in_flight -= 1
        if verdict is not Verdict.NOT_RUN:
            self.possible_runs += 1
        elif refused_by is not None:
            self._tried.discard(refused_by)
            if accepted_count != self._accepted_count:
                self._refusals = 0
            self._accepted_count = accepted_count
            self._refusals += 1

    def may_begin_attempt(self, now: dt.timedelta) -> bool:
        """Return whether another attempt may begin."""
        rules = self._rules
        if self._send_count >= _MAX_TRIES or self.is_out_of_time(now):
            return False
        if self._refusals >= _MAX_REFUSALS:
            # Failure: all upstreams refuse every call. Symptom: each call is
            # held until shortly before its deadline.
            return False
        if self.in_flight and (self.strike_count or not rules.idempotent):
            # A call that may crash upstreams runs at one of them at a time.
            return False
        if not rules.repeatable and (self.possible_runs or self.in_flight):
            return False
        return self.possible_runs + self.in_flight < rules.max_attempts

    def wait_time(
        self, now: dt.timedelta, *, after_send: bool = True
    ) -> dt.timedelta:
        """Return how long to wait for the attempts in flight.

        This is the hedge delay if another attempt may begin, but never longer
        than the time left.

        Failure: a hedge is due, but no upstream may get it. Symptom: with a
        hedge delay of 0, the process checks without a pause until an attempt
        ends. The checks are therefore some milliseconds apart.

        Parameters
        ----------
        now
            The monotonic time.
        after_send
            Whether the call has just been sent; otherwise no attempt could
            begin.
        """
        left = max(self.time_left(now), _NO_TIME)
        if not self.may_begin_attempt(now):
            return left
        least = _NO_TIME if after_send else _HEDGE_CHECK_INTERVAL
        return min(left, max(self._rules.hedge_delay, least))

    def time_left(self, now: dt.timedelta) -> dt.timedelta:
        """Return the time that is left for an upstream to answer."""
        return self._rules.deadline - now - _ANSWER_MARGIN

    def is_out_of_time(self, now: dt.timedelta) -> bool:
        """Return whether it is too late for an upstream to answer."""
        return self.time_left(now) <= _NO_TIME

    @property
    def verdict(self) -> Verdict:
        """Whether the call may have run, if no upstream answers it."""
        if self.possible_runs or self.in_flight:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN
