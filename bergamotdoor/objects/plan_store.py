"""Capacity plans in the platform's store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.fleet.capacity_plan import CapacityPlan
from bergamotdoor.objects.reader import ObjectReader
from bergamotdoor.stored import Conflict, Outcome, StoredObject, reading
from bergamotdoor.types import Revision, ServiceId

if TYPE_CHECKING:
    from bergamotdoor.objects.client import ObjectClient

PLAN_KIND: Final = 'plans'

_log = logging.getLogger('bergamotdoor.objects')


class StoredPlan(msgspec.Struct, frozen=True):
    """Plan of a service as the store has it."""

    #: ``None`` if there is no plan, or an unreadable object in its place.
    plan: CapacityPlan | None = None
    #: ``None`` if there is no object.
    revision: Revision | None = None


class PlanStore:
    """Reads and writes the plans of all services.

    Parameters
    ----------
    store
        Client of the store that holds the plans.
    """

    def __init__(self, store: ObjectClient) -> None:
        self._store = store
        self._reader = ObjectReader(_log, 'objects')

    async def read_all(self) -> dict[ServiceId, CapacityPlan] | Outcome:
        """Return the readable plans, which may be some seconds old."""
        listing = await self._store.listing(PLAN_KIND, stale=True)
        if isinstance(listing, Outcome):
            return listing
        found = {
            ServiceId(stored.name): self._reader.read(stored, parse_plan)
            for stored in listing.objects
        }
        return {name: plan for name, plan in found.items() if plan is not None}

    async def read(self, service: ServiceId) -> StoredPlan | Outcome:
        """Return the current plan of a service, or why it is not known."""
        stored = await self._store.get(PLAN_KIND, service)
        if stored is Outcome.ABSENT:
            return StoredPlan()
        if isinstance(stored, Outcome):
            return stored
        return self._decode(stored)

    async def write(
        self, service: ServiceId, plan: CapacityPlan, revision: Revision | None
    ) -> StoredPlan | Outcome:
        """Write a plan if the stored one is still at a revision.

        Parameters
        ----------
        service
            Service of the plan.
        plan
            The plan.
        revision
            Revision of the plan to be replaced; ``None`` if there is none.

        Returns
        -------
        StoredPlan or Outcome
            The plan as stored. It is UNCLEAR if the write may have taken
            effect, and NOT_DONE if it had no effect, for example because
            another process has written a plan.
        """
        spec = msgspec.json.encode(plan)
        if revision is None:
            written = await self._store.create(PLAN_KIND, service, spec)
        else:
            written = await self._store.replace(
                PLAN_KIND, service, spec, revision
            )
        if isinstance(written, StoredObject):
            return self._decode(written)
        return Outcome.NOT_DONE if isinstance(written, Conflict) else written

    def _decode(self, stored: StoredObject) -> StoredPlan:
        plan = self._reader.read(stored, parse_plan)
        return StoredPlan(plan, stored.revision)


def parse_plan(stored: StoredObject) -> CapacityPlan:
    """Decode a plan.

    Raises
    ------
    UnreadableError
        If the object is not a plan.
    """
    with reading('plan'):
        return msgspec.json.decode(stored.spec, type=CapacityPlan)
