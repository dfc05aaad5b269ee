"""What a planner knows of one service."""

from __future__ import annotations

import datetime as dt
from collections import Counter
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.fleet.capacity_plan import (
    PlanInput,
    PlannedEngine,
    address_key,
    decide,
)
from bergamotdoor.fleet.demand import ServiceDemand, capacity_events_s
from bergamotdoor.fleet.model_assignment import ModelAssignment
from bergamotdoor.peers.directory import home_order
from bergamotdoor.types import ModelId, ServiceId, ZoneId

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence
    from collections.abc import Set as AbstractSet

    from bergamotdoor.fleet.capacity_plan import PlanDecision
    from bergamotdoor.fleet.fleet import Fleet
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.objects.plan_store import StoredPlan
    from bergamotdoor.peers.directory import EntryRecord
    from bergamotdoor.types import NodeId, Revision, WeightVersion

#: Least time between two plans that move engines: two steps of a trainer, so
#: that the effect of the first one is seen.
_MOVE_INTERVAL_S: Final = 8
MOVE_INTERVAL: Final = dt.timedelta(seconds=_MOVE_INTERVAL_S)
#: How long a plan names an engine that is not registered. An engine that
#: restarts, or whose registration expired while the store was unavailable,
#: registers again within this time.
_ABSENCE_S: Final = 30
ABSENCE: Final = dt.timedelta(seconds=_ABSENCE_S)
#: How long an engine keeps its model after a move, so that noise of the
#: measurements moves no engine back and forth.
_HOLD_TIME_S: Final = 60
HOLD_TIME: Final = dt.timedelta(seconds=_HOLD_TIME_S)


class DemandState(msgspec.Struct, frozen=True):
    """Demand of a model as it was told."""

    events_s: float
    #: How long ago it was told, in seconds.
    age_s: float


class PlanState(msgspec.Struct, frozen=True):
    """Plan of a service as its planner knows it."""

    service: ServiceId
    #: ``None`` if there is no plan or it is not known.
    revision: int | None
    #: Number of engines of each model in the plan.
    engines: dict[str, int]
    #: Demand of each model with recent steps.
    demands: dict[str, DemandState]


class PlannedService:
    """Demands, plan and engines of one service."""

    def __init__(self) -> None:
        self.demand = ServiceDemand()
        #: The plan as last read or written; ``None`` if it is not known.
        self.stored: StoredPlan | None = None
        #: Monotonic time at which the plan is to be read again.
        self.read_due_at = dt.timedelta()
        self.next_decision_at = dt.timedelta()
        #: Whether a decision is in progress, which may wait for the store.
        self.planning = False
        self._last_revision: Revision | None = None
        #: Monotonic time at which the plan was last found changed.
        self._changed_at: dt.timedelta | None = None
        #: Monotonic time at which each engine was last registered.
        self._seen_at: dict[str, dt.timedelta] = {}
        #: Monotonic time of the last move of each engine.
        self._moved_at: dict[str, dt.timedelta] = {}
        #: Whether the plan that was written last moved only some engines.
        self._is_partial = False

    def use_plan(self, stored: StoredPlan, now: dt.timedelta) -> None:
        """Use a plan as the store has it."""
        if stored.revision not in {None, self._last_revision}:
            self._last_revision = stored.revision
            self._changed_at = now
        self.stored = stored

    def lose_plan(self) -> None:
        """Read the plan before the next decision."""
        self.stored = None
        self.read_due_at = dt.timedelta()

    @property
    def revision(self) -> Revision | None:
        """Revision of the known plan; ``None`` if there is none."""
        return None if self.stored is None else self.stored.revision

    def use_written(
        self, stored: StoredPlan, decision: PlanDecision, now: dt.timedelta
    ) -> None:
        """Use a plan that this process has written."""
        self.use_plan(stored, now)
        if decision.moved:
            self._is_partial = decision.is_partial
            self._moved_at.update(dict.fromkeys(decision.moved, now))

    def decide(
        self, members: Sequence[Upstream], now: dt.timedelta, *, is_first: bool
    ) -> PlanDecision | None:
        """Return a better plan, or ``None`` if the present assignment stays.

        Parameters
        ----------
        members
            Registered engines of the service.
        now
            The monotonic time.
        is_first
            Whether this process is the first planner in its order of entries.
        """
        planned = self.plan_input(members, now, is_first=is_first)
        if self.stored is None:
            return None
        if self.stored.plan is None and planned.unknown_models:
            return None
        may_move = self.may_move(now)
        decision = decide(
            planned,
            self.stored.plan,
            self.even_assignment(members),
            may_move=may_move,
            continuing=self._is_partial,
        )
        if may_move and decision is None:
            self._is_partial = False
        return decision

    def may_move(self, now: dt.timedelta) -> bool:
        """Return whether engines may change their models now.

        The last change of the plan must be long enough ago, and the demand
        must be known well enough.

        Failure: engines are moved again before the last move has an effect.
        Symptom: more engines than necessary load weights, and an eighth of
        the engines is no bound.
        """
        changed_at = self._changed_at
        if changed_at is not None and now - changed_at < MOVE_INTERVAL:
            return False
        return self.demand.is_settled(now)

    def plan_input(
        self, members: Sequence[Upstream], now: dt.timedelta, *, is_first: bool
    ) -> PlanInput:
        """Return what a decision is made from.

        Parameters
        ----------
        members
            Registered engines of the service.
        now
            The monotonic time.
        is_first
            Whether this process is the first planner in its order of entries.
            Otherwise it hears only of those models whose owners do not reach
            the first one, and leaves the engines of the others alone.
        """
        self.demand.remove_expired(now)
        models = sorted({model for one in members for model in one.versions})
        self.demand.use_versions(_latest_versions(members), now)
        unknown = self.demand.unknown_models(models, now)
        if not is_first:
            unknown |= frozenset(models) - self.demand.last_told.keys()
        return PlanInput(
            tuple(self._engines(members, now)),
            self.demand.demands_events_s(models),
            unknown,
            self._held(now),
        )

    def even_assignment(
        self, members: Sequence[Upstream]
    ) -> dict[str, ModelId]:
        """Return the assignment that the agents compute without a plan."""
        if not members:
            return {}
        return ModelAssignment(members, members[0].address).by_address()

    def state(self, service: ServiceId, now: dt.timedelta) -> PlanState:
        """Return the state to be shown."""
        self.demand.remove_expired(now)
        plan = None if self.stored is None else self.stored.plan
        return PlanState(
            service,
            self.revision,
            dict(Counter({} if plan is None else plan.engines.values())),
            {
                model: DemandState(
                    told.demand_events_s, (now - told.told_at).total_seconds()
                )
                for model, told in sorted(self.demand.last_told.items())
            },
        )

    def describe_demands(self) -> str:
        """Return the demands of all models, for the log."""
        return ', '.join(
            f'{model}: {told.demand_events_s:.1f} events/s'
            for model, told in sorted(self.demand.last_told.items())
        )

    def _held(self, now: dt.timedelta) -> frozenset[str]:
        """Return the addresses of the engines that moved a short time ago."""
        self._moved_at = {
            address: moved_at
            for address, moved_at in self._moved_at.items()
            if now - moved_at < HOLD_TIME
        }
        return frozenset(self._moved_at)

    def _engines(
        self, members: Sequence[Upstream], now: dt.timedelta
    ) -> Iterator[PlannedEngine]:
        """Yield the registered engines, and those that are gone for a while.

        Failure: an engine restarts, or its registration expired in an outage
        of the store. Symptom: when it is back, it gets another model and
        loads other weights. It keeps its place in the plan instead, without
        capacity.
        """
        intervals_ms = self.demand.intervals_ms(now)
        # Two incarnations may be registered at an address for some seconds.
        by_address = {
            address_key(one.address.ip, one.address.port): one
            for one in sorted(members, key=_started)
        }
        self._seen_at.update(dict.fromkeys(by_address, now))
        for address, engine in sorted(by_address.items()):
            capacity = capacity_events_s(
                engine.upstream, engine.slots, intervals_ms
            )
            yield PlannedEngine(address, 0 if engine.draining else capacity)
        for address in self._absent(by_address.keys(), now):
            yield PlannedEngine(address, 0)

    def _absent(
        self, present: AbstractSet[str], now: dt.timedelta
    ) -> list[str]:
        plan = None if self.stored is None else self.stored.plan
        named = () if plan is None else sorted(plan.engines.keys() - present)
        self._seen_at = {
            address: self._seen_at.get(address, now)
            for address in (*present, *named)
        }
        return [
            address
            for address in named
            if now - self._seen_at[address] <= ABSENCE
        ]


def planner_order(
    service: ServiceId, entries: Mapping[NodeId, EntryRecord]
) -> list[NodeId]:
    """Return the entries that may plan a service, the preferred one first."""
    return home_order(ModelId(service), entries, ZoneId(''))


def models_of_service(fleet: Fleet, service: ServiceId) -> frozenset[ModelId]:
    """Return the models that the engines of a service are registered with."""
    return frozenset(
        model
        for upstream in fleet
        if upstream.service == service
        for model in upstream.versions
    )


def _latest_versions(
    members: Sequence[Upstream],
) -> dict[ModelId, WeightVersion]:
    latest: dict[ModelId, WeightVersion] = {}
    for one in members:
        for model, version in one.versions.items():
            latest[model] = max(version, latest.get(model, version))
    return latest


def _started(upstream: Upstream) -> dt.timedelta:
    return upstream.started
