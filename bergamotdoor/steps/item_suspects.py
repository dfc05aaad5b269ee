"""Limits when and where items run under which engines have crashed."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.fleet.quarantine import ITEM_STRIKE_LIMIT
from bergamotdoor.observe.events import Counted
from bergamotdoor.steps.item_request import item_fingerprint

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.jobs.messages import ItemSpec, JobSpec
    from bergamotdoor.types import ItemId, UpstreamId

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
    """Limits on starting suspected items.

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
        #: The engines of the isolated suspects that run now.
        self._isolated: dict[ItemId, UpstreamId] = {}

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
        if strikes and self._context.request_runs.is_running(fingerprint):
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
        occupied = set(self._isolated.values())
        return tuple(one for one in upstreams if one.upstream not in occupied)

    def record_item_start(
        self, job: JobSpec, spec: ItemSpec, upstream: UpstreamId
    ) -> None:
        """Record that an item starts at an engine, if it is isolated."""
        if self.is_isolated(job, spec):
            self._isolated[spec.item] = upstream

    def record_item_end(self, item: ItemId) -> None:
        """Record that the run of an item has ended, isolated or not."""
        self._isolated.pop(item, None)
