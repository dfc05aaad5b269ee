"""Which upstreams are asked for one call, when, and how often.

Load pattern: a trickle of callers that wait a few hundred milliseconds,
beside bursts of scoring calls, before a handful of upstreams of which some
are slow, full, broken or gone. The upstream that is expected to answer first
is asked. Where a call may be repeated, a second one is asked beside one that
is slow; where it may not, another one is asked only after an upstream's own
word that it ran nothing.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.calls.manifest import RouteKind
from bergamotdoor.fleet.choice import fastest
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bergamotdoor.calls.manifest import Route
    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.types import UpstreamId, ZoneId

#: The share of the objective after which a second upstream is asked. By
#: then nine in ten have answered, and enough is left for the second one.
HEDGE_SHARE: Final = 0.55
#: A score call waits for an upstream at least so long: four usual answers.
_SCORE_PATIENCE_MS: Final = 200
_SCORE_PATIENCE: Final = dt.timedelta(milliseconds=_SCORE_PATIENCE_MS)
#: Of the time left, kept to tell the caller of a failure in time.
_ANSWER_MARGIN_MS: Final = 20
_ANSWER_MARGIN: Final = dt.timedelta(milliseconds=_ANSWER_MARGIN_MS)
#: Which of a call's upstreams are asked at the most, refusals too.
_MOST_TRIES: Final = 6
_NO_TIME: Final = dt.timedelta()


class CallRules(msgspec.Struct, frozen=True):
    """What may be done for one call."""

    #: May run at more than one upstream.
    repeatable: bool
    #: Runs alike wherever and however often: a second upstream may be asked
    #: beside one that has not answered, and kept connections may be used.
    idempotent: bool
    #: How many upstreams may run it.
    max_attempts: int
    #: How long an upstream is waited for alone.
    patience: dt.timedelta
    #: When the caller stops waiting, in the clock's time.
    deadline: dt.timedelta

    @classmethod
    def of_caller(cls, route: Route, deadline: dt.timedelta) -> CallRules:
        """Return what a caller's route allows."""
        kind = route.kind
        resumes = kind is RouteKind.STREAM and route.resumable
        return cls(
            repeatable=resumes or kind is RouteKind.IDEMPOTENT,
            idempotent=kind is RouteKind.IDEMPOTENT,
            max_attempts=route.max_attempts,
            patience=route.objective * HEDGE_SHARE,
            deadline=deadline,
        )

    @classmethod
    def of_score(cls, route: Route, deadline: dt.timedelta) -> CallRules:
        """Return what may be done for a score call.

        It may be repeated whatever its route says of callers' calls. A step
        can wait for longer than a caller, so a second upstream is asked
        later: a service that is busy with a step's calls would otherwise
        get a part of them twice.
        """
        return cls(
            repeatable=True,
            idempotent=True,
            max_attempts=route.max_attempts,
            patience=max(route.objective, _SCORE_PATIENCE),
            deadline=deadline,
        )


class Tries:
    """The upstreams that were asked for one call, and what they made of it.

    Parameters
    ----------
    rules
        What may be done for the call.
    zone
        The availability zone from which it is sent.
    """

    def __init__(self, rules: CallRules, zone: ZoneId) -> None:
        self._rules = rules
        self._zone = zone
        self._asked: set[UpstreamId] = set()
        #: How many upstreams ended under the call in a chain, here or
        #: where it came before.
        self.strikes = 0
        #: Upstreams that have not answered yet.
        self.running = 0
        #: Upstreams that may have run it, of those that ended.
        self.ran = 0

    def begin(
        self, upstreams: Iterable[Upstream], loads: Loads, now: dt.timedelta
    ) -> Upstream | None:
        """Return the upstream to ask now; None if none should be.

        Parameters
        ----------
        upstreams
            Those of the call's service that take new work.
        loads
            How full and how well they are.
        now
            The monotonic time.
        """
        if not self.may_begin(now):
            return None
        candidates = (
            one for one in upstreams if one.upstream not in self._asked
        )
        upstream = fastest(candidates, loads, self._zone, now)
        if upstream is not None:
            self._asked.add(upstream.upstream)
            self.running += 1
        return upstream

    def end(self, verdict: Verdict) -> None:
        """Take what became of one that was asked."""
        self.running -= 1
        if verdict is not Verdict.NOT_RUN:
            self.ran += 1

    def may_begin(self, now: dt.timedelta) -> bool:
        """Return whether another upstream may be asked."""
        rules = self._rules
        if len(self._asked) >= _MOST_TRIES or self.out_of_time(now):
            return False
        if self.running and (self.strikes or not rules.idempotent):
            # One that may end upstreams is at one of them at a time.
            return False
        if not rules.repeatable and (self.ran or self.running):
            return False
        return self.ran + self.running < rules.max_attempts

    def patience(self, now: dt.timedelta) -> dt.timedelta:
        """Return how long to wait for those that are asked."""
        left = max(self.left(now), _NO_TIME)
        return min(left, self._rules.patience) if self.may_begin(now) else left

    def left(self, now: dt.timedelta) -> dt.timedelta:
        """Return how long an upstream may work on the call."""
        return self._rules.deadline - now - _ANSWER_MARGIN

    def out_of_time(self, now: dt.timedelta) -> bool:
        """Return whether no upstream could answer in time any more."""
        return self.left(now) <= _NO_TIME

    @property
    def verdict(self) -> Verdict:
        """Whether the call may have run, where no answer came."""
        if self.ran or self.running:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN
