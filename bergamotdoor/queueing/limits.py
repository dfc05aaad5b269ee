"""Limits of the calls that one process has in flight at each upstream.

Load pattern: many processes send more calls to a few upstreams than these
have slots. Each process leaves the slots that the requests of others use to
them, and learns from refusals where no load is reported.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.fleet.loads import REFUSAL_BACKOFF

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.types import UpstreamId

#: Share of a limit that remains after a refusal.
_SHARE_AFTER_REFUSAL: Final = 0.75
#: Time without a refusal after which a limit grows by one.
_GROWTH_INTERVAL: Final = dt.timedelta(seconds=1)
#: A service is idle if its requests times this are below its slots.
_HALF: Final = 2
_LONG_AGO: Final = dt.timedelta(days=-1)


class UpstreamCalls:
    """Calls of this process at one upstream, and what their refusals show."""

    def __init__(self) -> None:
        #: Calls of this process that are in flight.
        self.in_flight = 0
        #: Limit after the last refusal; ``None`` if there was none since the
        #: upstream reported its load.
        self._reduced_limit: int | None = None
        self._refused_at = _LONG_AGO
        #: Monotonic time at which the backoff of the last refusal ends.
        self.closed_until = _LONG_AGO

    def begin(self) -> None:
        """Count a call as in flight."""
        self.in_flight += 1

    def end(self) -> None:
        """Stop counting a call as in flight."""
        self.in_flight -= 1

    def record_report(self) -> None:
        """Record that the upstream reported its load.

        The reported load then replaces what refusals have shown.
        """
        self._reduced_limit = None

    def record_refusal(
        self, slots: int, now: dt.timedelta, *, has_report: bool = False
    ) -> None:
        """Record that the upstream refused a call.

        Calls that were sent together are refused together, so the limit
        shrinks once within a backoff. Otherwise one burst would reduce it
        to a single call. It does not shrink if the upstream has reported its
        load meanwhile, which limits the calls by itself.

        Parameters
        ----------
        slots
            The registered slots of the upstream.
        now
            The monotonic time.
        has_report
            Whether the upstream has reported its load since the call was sent.
        """
        if not (self.has_refused(now) or has_report):
            reduced = int(self.learned_limit(slots, now) * _SHARE_AFTER_REFUSAL)
            self._reduced_limit = max(reduced, 1)
        self._refused_at = now
        self.closed_until = now + REFUSAL_BACKOFF

    def has_refused(self, now: dt.timedelta) -> bool:
        """Return whether the last refusal is within its backoff."""
        return now < self.closed_until

    def record_acceptance(self, sent_at: dt.timedelta) -> bool:
        """Record that the upstream accepted a call.

        Returns
        -------
        bool
            Whether the call was sent after the last refusal, within its
            backoff. The upstream then takes calls again.
        """
        is_open = self._refused_at <= sent_at < self.closed_until
        if is_open:
            self.closed_until = sent_at
        return is_open

    def learned_limit(self, slots: int, now: dt.timedelta) -> int:
        """Return the limit that refusals have shown, at most `slots`."""
        if self._reduced_limit is None:
            return slots
        growth = (now - self._refused_at) // _GROWTH_INTERVAL
        return min(self._reduced_limit + growth, slots)


class CallLimits:
    """Limits of the calls of this process, by upstream.

    Parameters
    ----------
    loads
        Load and backoff of each upstream.
    """

    def __init__(self, loads: Loads) -> None:
        self._loads = loads
        self._calls: dict[UpstreamId, UpstreamCalls] = {}

    def of(self, upstream: UpstreamId) -> UpstreamCalls:
        """Return the calls at an upstream."""
        return self._calls.setdefault(upstream, UpstreamCalls())

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the state of an upstream that was removed."""
        self._calls.pop(upstream, None)

    def limit(self, upstream: Upstream, now: dt.timedelta) -> int:
        """Return how many calls of this process may be in flight.

        Failure: the known load of an upstream is wrong, and shows it as full.
        Symptom: no call is sent there, so no response corrects the load. The
        limit is therefore never less than one.
        """
        calls = self.of(upstream.upstream)
        load = self._loads.of(upstream.upstream)
        others = load.estimated_requests(now) - calls.in_flight
        learned = calls.learned_limit(upstream.slots, now)
        return max(min(upstream.slots - others, learned), 1)

    def with_room(
        self, candidates: Iterable[Upstream], now: dt.timedelta
    ) -> list[Upstream]:
        """Return the candidates that may get one more call now."""
        return [
            one
            for one in self.open_upstreams(candidates, now)
            if self.of(one.upstream).in_flight < self.limit(one, now)
        ]

    def open_upstreams(
        self, candidates: Iterable[Upstream], now: dt.timedelta
    ) -> list[Upstream]:
        """Return the candidates that take calls, full ones included.

        These are the ones that are not in backoff. If all are in backoff and
        none has refused, they are all of them: a call that is sent shows
        whether they work again, and waiting for them gains nothing.

        Failure: one upstream refuses while the others are broken. Symptom:
        calls are sent to the broken ones and fail, although the backoff of
        the one that works ends within 300 ms.
        """
        known = list(candidates)
        available = [
            one
            for one in known
            if not self._loads.of(one.upstream).is_in_backoff(now)
        ]
        if available or self.refused(known, now):
            return available
        return known

    def refused(
        self, candidates: Iterable[Upstream], now: dt.timedelta
    ) -> list[Upstream]:
        """Return the candidates that are in backoff after a refusal."""
        return [
            one for one in candidates if self.of(one.upstream).has_refused(now)
        ]

    def for_probe(
        self, candidates: Iterable[Upstream], now: dt.timedelta
    ) -> list[Upstream]:
        """Return the one that may get a call although all have refused.

        Failure: one refusal closes an upstream for 300 ms, and it has room
        again a moment later. Symptom: calls that have less time are refused
        although the service is idle. The upstream that opens first may get
        one call at a time while fewer than half of the slots are known to be
        in use.

        Parameters
        ----------
        candidates
            Upstreams that may get the call.
        now
            The monotonic time.
        """
        known = list(candidates)
        if self.open_upstreams(known, now) or not self.is_idle(known, now):
            return []
        if any(self.of(one.upstream).in_flight for one in known):
            return []
        return sorted(
            self.refused(known, now),
            key=lambda one: self.of(one.upstream).closed_until,
        )[:1]

    def take_calls(
        self, upstreams: Sequence[Upstream], now: dt.timedelta
    ) -> bool:
        """Return whether an upstream may get a call, at least as a probe."""
        return bool(
            self.with_room(upstreams, now) or self.for_probe(upstreams, now)
        )

    def is_idle(self, upstreams: Iterable[Upstream], now: dt.timedelta) -> bool:
        """Return whether under half of the slots are known to be in use."""
        spare = 0
        for one in upstreams:
            requests = self._loads.of(one.upstream).estimated_requests(now)
            spare += one.slots - requests * _HALF
        return spare > 0
