"""Plans which engine of a service serves which model."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.fleet.demand import ToldDemand
from bergamotdoor.objects.plan_store import PlanStore
from bergamotdoor.observe.events import Counted
from bergamotdoor.peers.demand_messages import DemandTold, PacesKnown
from bergamotdoor.peers.messages import NotOwner
from bergamotdoor.steps.planned_service import (
    PlannedService,
    models_of_service,
    planner_order,
)
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.capacity_plan import PlanDecision
    from bergamotdoor.peers.directory import Directory
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.steps.planned_service import PlanState
    from bergamotdoor.tasks import Tasks
    from bergamotdoor.types import ServiceId

#: How long a plan that was read is used to decide whether it should change.
#: Before a write it is read again.
_READ_INTERVAL_S: Final = 30
_READ_INTERVAL: Final = dt.timedelta(seconds=_READ_INTERVAL_S)
#: Least time between two decisions. Each takes some milliseconds.
_DECISION_INTERVAL_S: Final = 2
_DECISION_INTERVAL: Final = dt.timedelta(seconds=_DECISION_INTERVAL_S)

_log = logging.getLogger('bergamotdoor.gateway')


class CapacityPlanner:
    """The planner of the services whose demand is told to this entry.

    Failure: two entries plan, since they know different entries, or one that
    was paused continues. Symptom: the later plan replaces the other one, and
    engines change their models back and forth. A plan is therefore written
    only on condition that the store has the one from which it was computed.

    Parameters
    ----------
    context
        Services of the process.
    directory
        Addresses of the entries.
    tasks
        Background tasks of the process.
    owner
        The jobs of this process. While it stops, it plans no more.
    """

    def __init__(
        self,
        context: Context,
        directory: Directory,
        tasks: Tasks,
        owner: JobOwner,
    ) -> None:
        self._context = context
        self._directory = directory
        self._tasks = tasks
        self._owner = owner
        self._store = PlanStore(context.store)
        self._services: dict[ServiceId, PlannedService] = {}

    def answer(self, message: DemandTold) -> PacesKnown | NotOwner:
        """Record the demand of a model, and return what others measured."""
        models = models_of_service(self._context.fleet, message.service)
        if self._owner.stopping or message.model not in models:
            return NotOwner()
        now = self._context.clock.elapsed()
        service = self._services.setdefault(message.service, PlannedService())
        service.demand.tell(
            message.model,
            ToldDemand(message.demand_events_s, message.intervals_ms, now),
        )
        is_due = service.next_decision_at <= now and not service.planning
        # The engines of a single model need no plan, nor a read of the store.
        if is_due and len(models) > 1:
            service.next_decision_at = now + _DECISION_INTERVAL
            self._tasks.start(self._plan_once(message.service, service))
        return PacesKnown(service.demand.intervals_ms(now, message.model))

    def states(self) -> tuple[PlanState, ...]:
        """Return the plans and demands that this process knows."""
        now = self._context.clock.elapsed()
        return tuple(
            service.state(name, now)
            for name, service in sorted(self._services.items())
        )

    async def _plan_once(
        self, name: ServiceId, service: PlannedService
    ) -> None:
        service.planning = True
        try:
            await self._plan(name, service)
        finally:
            service.planning = False

    async def _plan(self, name: ServiceId, service: PlannedService) -> None:
        """Write a better plan if there is one."""
        now = self._context.clock.elapsed()
        if service.read_due_at <= now:
            await self._read(name, service)
        if self._decide(name, service) is None:
            return
        # Another entry may have written since this one has read.
        await self._read(name, service)
        decision = self._decide(name, service)
        if decision is not None:
            await self._write(name, service, decision)

    async def _read(self, name: ServiceId, service: PlannedService) -> None:
        """Read the plan; it is unknown if the store does not answer."""
        found = await self._store.read(name)
        now = self._context.clock.elapsed()
        if isinstance(found, Outcome):
            service.lose_plan()
        else:
            service.use_plan(found, now)
            service.read_due_at = now + _READ_INTERVAL

    def _decide(
        self, name: ServiceId, service: PlannedService
    ) -> PlanDecision | None:
        if self._owner.stopping:
            return None
        now = self._context.clock.elapsed()
        members = [one for one in self._context.fleet if one.service == name]
        order = planner_order(name, self._directory.with_own)
        is_first = order[:1] == [self._context.settings.node]
        return service.decide(members, now, is_first=is_first)

    async def _write(
        self, name: ServiceId, service: PlannedService, decision: PlanDecision
    ) -> None:
        written = await self._store.write(name, decision.plan, service.revision)
        if isinstance(written, Outcome):
            # If the outcome is unknown, or another entry has written, the
            # next decision begins with a read.
            _log.info(
                'gateway: plan of %s not written: %s', name, written.value
            )
            service.lose_plan()
            return
        service.use_written(written, decision, self._context.clock.elapsed())
        metrics = self._context.metrics
        metrics.count(Counted.PLAN_WRITTEN, name)
        metrics.count(Counted.ENGINE_REASSIGNED, name, len(decision.moved))
        _log.info(
            'gateway: plan of %s written: moved %s, added %s, largest ratio '
            'of demand to capacity %.3f, before %.3f; %s',
            name,
            list(decision.moved),
            list(decision.added),
            decision.ratio_after,
            decision.ratio_before,
            service.describe_demands(),
        )
