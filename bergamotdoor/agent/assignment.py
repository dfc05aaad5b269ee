"""Which models the engine on this VM serves, from registrations and plans."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.fleet.model_assignment import ModelAssignment
from bergamotdoor.objects.plan_store import PlanStore
from bergamotdoor.objects.reader import ObjectReader
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.engines import parse_upstream
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.fleet.capacity_plan import CapacityPlan
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.settings.document import Address
    from bergamotdoor.types import ServiceId

#: How long the listings of engines and plans are cached. Engines are seldom
#: added or removed, and a stale listing costs a tenth of a call.
_CACHE_TIME_S: Final = 5
_CACHE_TIME: Final = dt.timedelta(seconds=_CACHE_TIME_S)
#: Time until plans are listed again if none has been listed yet.
_RETRY_TIME_S: Final = 1
_RETRY_TIME: Final = dt.timedelta(seconds=_RETRY_TIME_S)
#: How long an agent that starts waits for the first listing of plans. A
#: deployment whose store does not have the kind is served as well.
_MAX_PLAN_WAIT_S: Final = 10
_MAX_PLAN_WAIT: Final = dt.timedelta(seconds=_MAX_PLAN_WAIT_S)

_log = logging.getLogger('bergamotdoor.agent')


class AssignmentView:
    """View of the assignment of models to the engines of a service.

    Parameters
    ----------
    store
        The store of the registered engines and the plans.
    address
        The address of the engine on this VM.
    clock
        The clock for the age of the listings.
    """

    def __init__(
        self, store: ObjectClient, address: Address, clock: Clock
    ) -> None:
        self.current = ModelAssignment((), address)
        self._store = store
        self._plan_store = PlanStore(store)
        self._address = address
        self._clock = clock
        self._reader = ObjectReader(_log, 'agent')
        self._valid_until = dt.timedelta()
        #: The plans that were listed last, by service; ``None`` if no listing
        #: has succeeded.
        self._plans: dict[ServiceId, CapacityPlan] | None = None
        #: Monotonic time since which plans could not be listed at all.
        self._without_plans_since: dt.timedelta | None = None

    async def refresh(self) -> None:
        """List engines and plans unless that was done a short time ago.

        Without an answer of the store the assignment stays as it is.
        """
        now = self._clock.elapsed()
        if now < self._valid_until:
            return
        listing = await self._store.listing(names.UPSTREAM_KIND, stale=True)
        if isinstance(listing, Outcome):
            return
        found = (
            self._reader.read(stored, parse_upstream)
            for stored in listing.objects
        )
        engines = [upstream for upstream in found if upstream is not None]
        if ModelAssignment(engines, self._address).is_shared:
            await self._refresh_plans()
            if self._waits_for_plans(now):
                self._valid_until = now + _RETRY_TIME
                return
        self._use(ModelAssignment(engines, self._address, self._plans))
        self._valid_until = now + _CACHE_TIME

    async def _refresh_plans(self) -> None:
        """List the plans; the known ones are kept if the listing fails.

        Failure: the store is unavailable for some seconds, and all engines
        return to the even assignment. Symptom: many of them load weights
        then, and again once the store is back.
        """
        plans = await self._plan_store.read_all()
        if not isinstance(plans, Outcome):
            self._plans = plans

    def _waits_for_plans(self, now: dt.timedelta) -> bool:
        """Return whether to keep the assignment until plans are listed.

        Failure: agents start while plans cannot be listed, and use the even
        assignment. Symptom: engines load weights of other models, and again
        once the plan is known.
        """
        if self._plans is not None:
            return False
        if self._without_plans_since is None:
            self._without_plans_since = now
        return now - self._without_plans_since < _MAX_PLAN_WAIT

    def _use(self, assignment: ModelAssignment) -> None:
        before, after = self.current.models(), assignment.models()
        if before != after:
            _log.info(
                'agent: the engine loads versions of %s, before of %s',
                ', '.join(sorted(after)) or 'no model',
                ', '.join(sorted(before)) or 'no model',
            )
        self.current = assignment
