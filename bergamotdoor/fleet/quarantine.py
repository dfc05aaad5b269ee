"""Requests under which upstreams ended, and when they may be sent again.

Load pattern: a request that makes each upstream crash that runs it, among
many that do no harm. It comes again under other ids and at other entries,
and a service of three upstreams is lost to all callers for the seconds that
they take to start. Upstreams also end for other causes, with requests in
progress that had no part in it. So a request is suspected by a chain: one
upstream ended under it, it was sent on with that known, and the next one
ended as well. A request that an upstream has answered is above suspicion.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.types import Fingerprint, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

#: A call rests once so many upstreams ended under it in a chain. A service
#: of three keeps one, and a caller waits for a few hundred milliseconds.
CALL_STRIKES: Final = 2
#: An item rests later: a dozen others run beside it, and those that went on
#: together with the one at fault are told apart by the next end.
ITEM_STRIKES: Final = 3
#: How long it rests after the first such end, and after each that follows.
#: The first lets upstreams come back, so that the request never takes the
#: last ones, and is short as the suspicion may be wrong. From the second on
#: it is all but certain. One more is tried now and then, as new software may
#: have mended the fault, and seldom: each try costs an upstream, or several
#: where the request comes to several entries at once.
_RESTS_S: Final = (5, 120, 600, 1800)
_RESTS: Final = tuple(dt.timedelta(seconds=rest_s) for rest_s in _RESTS_S)
#: Upstreams that a common cause ends are seen to end within this.
_AT_ONCE_MS: Final = 150
_AT_ONCE: Final = dt.timedelta(milliseconds=_AT_ONCE_MS)
_NO_REST: Final = dt.timedelta()
#: Ended upstreams that are remembered; the oldest goes first.
_MOST_ENDED: Final = 256


class Strike(msgspec.Struct, frozen=True):
    """An upstream that ended while it ran a request."""

    fingerprint: Fingerprint
    upstream: UpstreamId
    #: How many were known to have ended under it when it was sent there.
    before: int = 0
    #: Which of the ends under it this is by time, as far as its reporter
    #: knew; those of one moment have one number.
    number: int = 0


class Quarantine:
    """Keeps the strikes that this process knows of."""

    def __init__(self) -> None:
        #: What ran at each upstream that ended; the oldest first.
        self._ended: dict[UpstreamId, dict[Fingerprint, Strike]] = {}
        #: Strikes that still count, by request.
        self._counting: dict[Fingerprint, dict[UpstreamId, Strike]] = {}
        #: When the last strike of a request was learned.
        self._learned: dict[Fingerprint, dt.timedelta] = {}

    def __bool__(self) -> bool:
        """Return whether any request is suspected at all."""
        return bool(self._counting)

    def __iter__(self) -> Iterator[Strike]:
        """Return the strikes that count, those learned last first."""
        for upstream, ran in reversed(self._ended.items()):
            for fingerprint, strike in ran.items():
                if upstream in self._counting.get(fingerprint, ()):
                    yield strike

    def add(self, strike: Strike, now: dt.timedelta) -> bool:
        """Take a strike from here or elsewhere; return whether it is new."""
        ran = self._ended.setdefault(strike.upstream, {})
        if strike.fingerprint in ran:
            return False
        ran[strike.fingerprint] = strike
        counting = self._counting.setdefault(strike.fingerprint, {})
        counting[strike.upstream] = strike
        self._learned[strike.fingerprint] = now
        if len(self._ended) > _MOST_ENDED:
            self._forget(next(iter(self._ended)))
        return True

    def next_strike(
        self,
        fingerprint: Fingerprint,
        upstream: UpstreamId,
        before: int,
        now: dt.timedelta,
    ) -> Strike:
        """Return the strike of an upstream that has just ended.

        Failure: a request comes many times at once, under other ids, and is
        at all upstreams before the first of them ends. Symptom: none was sent
        there knowing of another's end, and all of them end without a chain.
        Ends that come one after the other are counted as well.
        """
        learned_at = self._learned.get(fingerprint)
        strikes = self.strikes(fingerprint)
        at_once = learned_at is not None and now - learned_at < _AT_ONCE
        number = max(strikes, 1) if at_once else strikes + 1
        return Strike(fingerprint, upstream, before, number)

    def completed(self, fingerprint: Fingerprint) -> None:
        """Take that an upstream has answered a request."""
        self._counting.pop(fingerprint, None)
        self._learned.pop(fingerprint, None)

    def strikes(self, fingerprint: Fingerprint) -> int:
        """Return how many upstreams ended under a request in a chain.

        Upstreams that end at the same moment are one link: a common cause
        ended them, since the request was sent to none of them because of
        another's end.

        Failure: several requests end upstreams, and one of them always runs
        beside another with a longer chain. Symptom: it is sent on however
        often an upstream ends under it. The first such end is chance, and
        each further one counts.
        """
        counting = self._counting.get(fingerprint, {})
        links = [
            max(strike.before + 1, strike.number)
            for strike in counting.values()
            if self._is_suspect(strike)
        ]
        beside_others = len(counting) - len(links)
        return max(0, beside_others - 1, *links)

    def rest(
        self, fingerprint: Fingerprint, least: int, now: dt.timedelta
    ) -> dt.timedelta:
        """Return how long a request must not be sent; zero if it may be.

        Parameters
        ----------
        fingerprint
            Of the request.
        least
            From how many strikes on it rests.
        now
            The monotonic time.
        """
        beyond = self.strikes(fingerprint) - least
        if beyond < 0:
            return _NO_REST
        rest = _RESTS[min(beyond, len(_RESTS) - 1)]
        return max(self._learned[fingerprint] + rest - now, _NO_REST)

    def suspected(self) -> Iterator[Fingerprint]:
        """Return the requests under which more than one upstream ended."""
        return (
            fingerprint
            for fingerprint in self._counting
            if self.strikes(fingerprint) > 1
        )

    def _is_suspect(self, strike: Strike) -> bool:
        """Return whether nothing that ran there was suspected more.

        Failure: what ran beside a request that ends upstreams goes on at
        another one together with it, and that ends as well. Symptom: a
        request that did nothing rests. It has the shorter chain.
        """
        ran = self._ended[strike.upstream].values()
        return all(strike.before >= other.before for other in ran)

    def _forget(self, upstream: UpstreamId) -> None:
        for fingerprint in self._ended.pop(upstream):
            counting = self._counting.get(fingerprint, {})
            counting.pop(upstream, None)
            if not counting:
                self.completed(fingerprint)


def newest(strikes: Iterable[Strike], most: int) -> tuple[Strike, ...]:
    """Return so many of the strikes that were learned last."""
    return tuple(strike for _, strike in zip(range(most), strikes))
