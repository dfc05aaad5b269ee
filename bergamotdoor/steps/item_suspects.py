"""Items under which engines ended: when they run again, and where."""

from __future__ import annotations

import datetime as dt
import logging
from collections import Counter
from typing import TYPE_CHECKING, Final, NamedTuple

from bergamotdoor.fleet.quarantine import ITEM_STRIKES
from bergamotdoor.observe.events import Counted
from bergamotdoor.steps.item_request import item_fingerprint

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.jobs.messages import ItemSpec, JobSpec
    from bergamotdoor.types import Fingerprint, ItemId, UpstreamId

#: Items from so many strikes on run apart from each other.
_APART_STRIKES: Final = ITEM_STRIKES - 1
#: How soon an item is looked at again that found no engine for itself: a
#: usual event is made in less, and another suspect may end with it.
_AGAIN_MS: Final = 200
_AGAIN: Final = dt.timedelta(milliseconds=_AGAIN_MS)
_NO_TIME: Final = dt.timedelta()

_log = logging.getLogger('bergamotdoor.gateway')


class ItemSuspects:
    """What the items that are suspected may do.

    Failure: a dozen items run beside the one that ends engines, and some go
    on together with it, twice. Symptom: by the third end these are as much
    suspected as it is, and all of them rest while their step waits. Items
    under which two engines have ended run at different engines, so the next
    end tells which of them it was.

    Failure: items that ask for the same come under many ids, and each goes on
    at another engine. Symptom: all engines end at once, again and again. From
    the first end on, one of them runs at a time.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        #: Suspects that run now, what they ask for, and how many are at each
        #: engine that run apart.
        self._running: dict[ItemId, _Suspect] = {}
        self._apart: Counter[UpstreamId] = Counter()

    def held(
        self,
        job: JobSpec,
        spec: ItemSpec,
        upstreams: tuple[Upstream, ...],
        now: dt.timedelta,
    ) -> dt.timedelta:
        """Return how long an item must wait; zero if it may run.

        Parameters
        ----------
        job, spec
            The item.
        upstreams
            The engines that take it.
        now
            The monotonic time.
        """
        quarantine = self._context.quarantine
        if not quarantine:
            return _NO_TIME
        found = item_fingerprint(job, spec)
        rest = quarantine.rest(found, ITEM_STRIKES, now)
        if rest:
            self._context.metrics.count(Counted.ITEM_QUARANTINED)
            _log.info('gateway: item %s in quarantine for %s', spec.item, rest)
            return rest
        strikes = quarantine.strikes(found)
        if strikes and self._runs(found):
            return _AGAIN
        if strikes < _APART_STRIKES:
            return _NO_TIME
        return _NO_TIME if self.without_others(upstreams) else _AGAIN

    def runs_apart(self, job: JobSpec, spec: ItemSpec) -> bool:
        """Return whether an item has to run apart from other suspects."""
        quarantine = self._context.quarantine
        if not quarantine:
            return False
        found = item_fingerprint(job, spec)
        return quarantine.strikes(found) >= _APART_STRIKES

    def without_others(
        self, upstreams: tuple[Upstream, ...]
    ) -> tuple[Upstream, ...]:
        """Return the engines where no suspect runs apart."""
        return tuple(one for one in upstreams if not self._apart[one.upstream])

    def enter(self, job: JobSpec, spec: ItemSpec, upstream: UpstreamId) -> None:
        """Take that an item begins at an engine; others than suspects too."""
        quarantine = self._context.quarantine
        if not quarantine:
            return
        found = item_fingerprint(job, spec)
        strikes = quarantine.strikes(found)
        if strikes:
            apart = strikes >= _APART_STRIKES
            self._running[spec.item] = _Suspect(found, upstream, apart)
            self._apart[upstream] += apart

    def leave(self, item: ItemId) -> None:
        """Take that an item's run has ended, a suspect's or another's."""
        suspect = self._running.pop(item, None)
        if suspect is not None:
            self._apart[suspect.upstream] -= suspect.apart

    def _runs(self, fingerprint: Fingerprint) -> bool:
        return any(
            suspect.fingerprint == fingerprint
            for suspect in self._running.values()
        )


class _Suspect(NamedTuple):
    """A suspected item that runs."""

    fingerprint: Fingerprint
    upstream: UpstreamId
    apart: bool
