"""Limits when and where items run under which engines have crashed."""

from __future__ import annotations

import datetime as dt
import logging
from collections import Counter
from typing import TYPE_CHECKING, Final, NamedTuple

from bergamotdoor.fleet.quarantine import ITEM_STRIKE_LIMIT
from bergamotdoor.observe.events import Counted
from bergamotdoor.steps.item_request import item_fingerprint

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.jobs.messages import ItemSpec, JobSpec
    from bergamotdoor.types import Fingerprint, ItemId, UpstreamId

#: From this many strikes on, an item is isolated: it runs at an engine that
#: runs no other isolated item.
_ISOLATION_STRIKES: Final = ITEM_STRIKE_LIMIT - 1
#: Delay before an item that must wait for other suspects is checked again. An
#: engine usually generates an event in less time, and the run of another
#: suspect may end with that event.
_RECHECK_MS: Final = 200
_RECHECK_DELAY: Final = dt.timedelta(milliseconds=_RECHECK_MS)
_NO_WAIT: Final = dt.timedelta()

_log = logging.getLogger('bergamotdoor.gateway')


class ItemSuspects:
    """The suspected items that run now, and the limits on starting more.

    An item is a suspect if an engine ended while it ran the item.

    Failure: a dozen items run at the same engine as the one that crashes it,
    and some of them continue together with it elsewhere, twice. Symptom:
    after the third crash they have as many strikes as the item at fault, and
    all of them are in quarantine while their job waits. Items under which two
    engines have ended are isolated: they run at different engines, so that
    the next crash shows which item causes it.

    Failure: items with the same request arrive under many ids, and each
    continues at another engine. Symptom: all engines crash at once, again and
    again. After the first crash only one of these items runs at a time.

    Parameters
    ----------
    context
        Services of the process.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        #: Suspects that run now.
        self._running: dict[ItemId, _Suspect] = {}
        #: How many isolated suspects run at each engine.
        self._isolated_count: Counter[UpstreamId] = Counter()

    def wait_time(
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
            The job and the item.
        upstreams
            The engines that may run it.
        now
            The monotonic time.
        """
        quarantine = self._context.quarantine
        if not quarantine:
            return _NO_WAIT
        fingerprint = item_fingerprint(job, spec)
        remaining = quarantine.remaining_time(
            fingerprint, ITEM_STRIKE_LIMIT, now
        )
        if remaining:
            self._context.metrics.count(Counted.ITEM_QUARANTINED)
            _log.info(
                'gateway: item %s in quarantine for %s', spec.item, remaining
            )
            return remaining
        strikes = quarantine.known_strikes(fingerprint)
        if strikes and self._is_running(fingerprint):
            return _RECHECK_DELAY
        if strikes < _ISOLATION_STRIKES:
            return _NO_WAIT
        return (
            _NO_WAIT
            if self.engines_without_isolated(upstreams)
            else _RECHECK_DELAY
        )

    def is_isolated(self, job: JobSpec, spec: ItemSpec) -> bool:
        """Return whether an item is isolated from other suspects."""
        quarantine = self._context.quarantine
        if not quarantine:
            return False
        fingerprint = item_fingerprint(job, spec)
        return quarantine.known_strikes(fingerprint) >= _ISOLATION_STRIKES

    def engines_without_isolated(
        self, upstreams: tuple[Upstream, ...]
    ) -> tuple[Upstream, ...]:
        """Return those engines that run no isolated suspect."""
        return tuple(
            one for one in upstreams if not self._isolated_count[one.upstream]
        )

    def record_item_start(
        self, job: JobSpec, spec: ItemSpec, upstream: UpstreamId
    ) -> None:
        """Record that an item starts at an engine, if it is a suspect."""
        quarantine = self._context.quarantine
        if not quarantine:
            return
        fingerprint = item_fingerprint(job, spec)
        strikes = quarantine.known_strikes(fingerprint)
        if strikes:
            isolated = strikes >= _ISOLATION_STRIKES
            self._running[spec.item] = _Suspect(fingerprint, upstream, isolated)
            self._isolated_count[upstream] += isolated

    def record_item_end(self, item: ItemId) -> None:
        """Record that the run of an item has ended, suspect or not."""
        suspect = self._running.pop(item, None)
        if suspect is not None:
            self._isolated_count[suspect.upstream] -= suspect.isolated

    def _is_running(self, fingerprint: Fingerprint) -> bool:
        return any(
            suspect.fingerprint == fingerprint
            for suspect in self._running.values()
        )


class _Suspect(NamedTuple):
    """A suspected item that runs at an engine."""

    fingerprint: Fingerprint
    upstream: UpstreamId
    isolated: bool
