"""Quarantine of requests that crash upstreams.

Load pattern: among many harmless requests there is one that crashes each
upstream that runs it (a query of death). It is repeated under other ids and
through other entry processes, and a service of three upstreams is unavailable
to all callers for the seconds that the upstreams take to start. Upstreams
also crash for other reasons, while they run requests that did not cause it. A
request is therefore suspected because of a chain: one upstream crashed while
it ran the request, the request was sent on with that crash known, and the
next upstream crashed as well. A request that an upstream has answered is no
longer suspected.

A strike records that an upstream crashed while it ran a request. The strikes
of a request are counted by the length of its chain.

Items of batch jobs get no strikes: they never crash engines by themselves,
and an item under which engines crashed is still owed to its trainer.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.types import Fingerprint, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

#: Number of strikes from which a call is quarantined. A service of three
#: upstreams keeps one of them, and a caller waits for only a few hundred
#: milliseconds.
CALL_STRIKE_LIMIT: Final = 2
#: Duration of the quarantine from the first crash that reaches the threshold,
#: and from each further one. The first is long enough for upstreams to start
#: again, so that the request never crashes the last ones, and short because
#: the suspicion may be wrong. From the second on it is all but certain. The
#: request is still retried, since new software may have fixed the fault, but
#: rarely: each attempt costs an upstream, or several if the request arrives
#: at several entry processes at once.
_QUARANTINE_TIMES_S: Final = (5, 120, 600, 1800)
_QUARANTINE_TIMES: Final = tuple(
    dt.timedelta(seconds=time_s) for time_s in _QUARANTINE_TIMES_S
)
#: Crashes with a common cause are noticed within this time of each other.
_COMMON_CAUSE_TIME_MS: Final = 150
_COMMON_CAUSE_TIME: Final = dt.timedelta(milliseconds=_COMMON_CAUSE_TIME_MS)
_NO_TIME: Final = dt.timedelta()
#: Maximum number of crashed upstreams whose strikes are kept. The one that
#: was added first is evicted first.
_MAX_CRASHED_UPSTREAMS: Final = 256
#: Length of a chain from which crashes at the same moment count as well.
_CONFIRMED_CHAIN: Final = 2
#: Number of strikes that a request has at least once so many upstreams crashed
#: while they ran it, and a chain confirms it.
_CONFIRMED_STRIKES: Final = 3


class Strike(msgspec.Struct, frozen=True):
    """A crash of an upstream while it ran a request."""

    fingerprint: Fingerprint
    upstream: UpstreamId
    #: The request's strikes that were known when it was sent to the upstream.
    before: int = 0
    #: Position of this crash among the request's crashes, ordered by time, as
    #: far as the process knew that recorded it. Crashes at the same time have
    #: the same number.
    number: int = 0


class Quarantine:
    """Strikes that this process knows, and the quarantines they imply."""

    def __init__(self) -> None:
        #: The strikes of each crashed upstream, in the order of arrival.
        self._by_upstream: dict[UpstreamId, dict[Fingerprint, Strike]] = {}
        #: The strikes of each request that no upstream has answered since.
        self._by_request: dict[Fingerprint, dict[UpstreamId, Strike]] = {}
        #: Monotonic time at which the last strike of a request was added.
        self._last_added_at: dict[Fingerprint, dt.timedelta] = {}
        #: The strikes with which a request was last held back.
        self._held_strikes: dict[Fingerprint, int] = {}

    def __bool__(self) -> bool:
        """Return whether any request has strikes."""
        return bool(self._by_request)

    def __iter__(self) -> Iterator[Strike]:
        """Return the strikes that count, the last added ones first."""
        for upstream, at_upstream in reversed(self._by_upstream.items()):
            for fingerprint, strike in at_upstream.items():
                if upstream in self._by_request.get(fingerprint, ()):
                    yield strike

    def add(self, strike: Strike, now: dt.timedelta) -> bool:
        """Add a strike of this process or of another one.

        Parameters
        ----------
        strike
            The strike; it may be known already.
        now
            The monotonic time.

        Returns
        -------
        bool
            Whether the strike was not known.
        """
        at_upstream = self._by_upstream.setdefault(strike.upstream, {})
        if strike.fingerprint in at_upstream:
            return False
        at_upstream[strike.fingerprint] = strike
        of_request = self._by_request.setdefault(strike.fingerprint, {})
        of_request[strike.upstream] = strike
        self._last_added_at[strike.fingerprint] = now
        if len(self._by_upstream) > _MAX_CRASHED_UPSTREAMS:
            self._evict_upstream(next(iter(self._by_upstream)))
        return True

    def next_strike(
        self,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        before: int,
        now: dt.timedelta,
    ) -> Strike:
        """Return the strike for an upstream that has just crashed.

        Failure: a request arrives many times at once, under different ids, and
        runs at all upstreams before the first of them crashes. Symptom: each
        copy was sent before any crash was known, so all upstreams crash and
        no chain forms. Crashes that follow one another are therefore numbered
        and count as a chain as well.

        Parameters
        ----------
        fingerprint
            The request that the upstream ran.
        upstream
            The crashed upstream.
        before
            The request's strikes that were known when it was sent there.
        now
            The monotonic time.
        """
        last_added_at = self._last_added_at.get(fingerprint)
        strikes = self.count_strikes(fingerprint)
        has_common_cause = (
            last_added_at is not None
            and now - last_added_at < _COMMON_CAUSE_TIME
        )
        number = max(strikes, 1) if has_common_cause else strikes + 1
        return Strike(fingerprint, upstream, before, number)

    def clear_strikes(self, fingerprint: Fingerprint) -> None:
        """Clear a request's strikes after an upstream has answered it."""
        self._by_request.pop(fingerprint, None)
        self._last_added_at.pop(fingerprint, None)
        self._held_strikes.pop(fingerprint, None)

    def count_strikes(self, fingerprint: Fingerprint) -> int:
        """Return a request's number of strikes: the length of its chain.

        Upstreams that crash at the same time count as one: a common cause is
        assumed, since none of them got the request after, and because of, the
        crash of another one.

        Failure: of several requests that crash upstreams, one always runs
        beside another that has a longer chain. Symptom: it is sent on however
        often an upstream crashes while it runs. The first crash beside a
        longer chain is taken for chance, and each further one counts.

        Failure: a request arrives in copies, which crash several upstreams at
        the same moment. Symptom: these count as one, so two more upstreams
        crash before the request is held back for more than seconds. Once a
        crash at another moment confirms the suspicion, the first ones count
        as well.
        """
        of_request = self._by_request.get(fingerprint, {})
        if not of_request:
            return 0
        chain_lengths = [
            max(strike.before + 1, strike.number)
            for strike in of_request.values()
            if self._has_longest_chain(strike)
        ]
        beside_longer_chains = len(of_request) - len(chain_lengths)
        chain_length = max(chain_lengths, default=0)
        strikes = max(beside_longer_chains - 1, chain_length)
        if chain_length < _CONFIRMED_CHAIN:
            return strikes
        explained = self._count_explained(fingerprint)
        return max(strikes, min(explained, _CONFIRMED_STRIKES))

    def known_strikes(self, fingerprint: Fingerprint) -> int:
        """Return the strikes that decide what happens to a request.

        Failure: strikes of other requests arrive, and the request is no longer
        the one to blame for a crash. Symptom: its count falls after it was
        held back, and it is held back for 5 s again and again. A request that
        was held back keeps its count until an upstream answers it.
        """
        held = self._held_strikes.get(fingerprint, 0)
        return max(held, self.count_strikes(fingerprint))

    def remaining_time(
        self, fingerprint: Fingerprint, min_strikes: int, now: dt.timedelta
    ) -> dt.timedelta:
        """Return how much longer a request is quarantined.

        Parameters
        ----------
        fingerprint
            The request.
        min_strikes
            Number of strikes from which it is quarantined.
        now
            The monotonic time.

        Returns
        -------
        datetime.timedelta
            Zero if the request may be sent.
        """
        strikes = self.known_strikes(fingerprint)
        excess = strikes - min_strikes
        if excess < 0:
            return _NO_TIME
        self._held_strikes[fingerprint] = strikes
        duration = _QUARANTINE_TIMES[min(excess, len(_QUARANTINE_TIMES) - 1)]
        return max(self._last_added_at[fingerprint] + duration - now, _NO_TIME)

    def suspected_requests(self) -> Iterator[Fingerprint]:
        """Return the requests that have more than one strike."""
        return (
            fingerprint
            for fingerprint in self._by_request
            if self.count_strikes(fingerprint) > 1
        )

    def _has_longest_chain(self, strike: Strike) -> bool:
        """Return whether no request at the same upstream had a longer chain.

        Failure: a request that crashes upstreams and the requests that ran
        beside it are sent on to the same upstream, and that one crashes as
        well. Symptom: a harmless request is quarantined. The harmless request
        has the shorter chain, so this crash does not count against it.
        """
        crashes = self._count_crashes(strike.fingerprint)
        return all(
            strike.before >= other.before
            or crashes > self._count_crashes(other.fingerprint)
            for other in self._by_upstream[strike.upstream].values()
        )

    def _count_explained(self, fingerprint: Fingerprint) -> int:
        """Return how many crashes no other request explains better.

        Of the requests that ran at a crashed upstream, the one under which
        most upstreams crashed is the best explanation. So requests that ran
        beside it at some of them do not count as confirmed.
        """
        crashes = self._count_crashes(fingerprint)
        return sum(
            all(
                self._count_crashes(other) <= crashes
                for other in self._by_upstream[upstream]
            )
            for upstream in self._by_request[fingerprint]
        )

    def _count_crashes(self, fingerprint: Fingerprint) -> int:
        """Return how many upstreams crashed while they ran a request."""
        return len(self._by_request.get(fingerprint, ()))

    def _evict_upstream(self, upstream: UpstreamId) -> None:
        for fingerprint in self._by_upstream.pop(upstream):
            of_request = self._by_request.get(fingerprint, {})
            of_request.pop(upstream, None)
            if not of_request:
                self.clear_strikes(fingerprint)


def newest_strikes(
    strikes: Iterable[Strike], max_count: int
) -> tuple[Strike, ...]:
    """Return the strikes that were added last.

    Parameters
    ----------
    strikes
        Strikes in the order of a :class:`Quarantine`, the newest first.
    max_count
        Maximum number of strikes to return.
    """
    return tuple(strike for _, strike in zip(range(max_count), strikes))
