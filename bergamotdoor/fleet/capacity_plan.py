"""Decision which engine of a service serves which model.

Load pattern: several trainers share the engines of a service, their steps
differ by a factor of two in work, and the engines differ in speed. With an
even assignment by count the trainer with the most work has the longest steps.

The plan minimizes the largest ratio of demand to capacity over the models. A
plan in force changes only for a clear gain and a few engines at a time, since
each change costs a weight load.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.types import ModelId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping
    from collections.abc import Set as AbstractSet

#: The even assignment stays while the best plan serves the worst-served model
#: better by at most this factor.
EVEN_TOLERANCE: Final = 1.15
#: A plan in force changes if the largest ratio falls to this share of it or
#: less. Measured demands and speeds vary by a tenth.
_CHANGE_SHARE: Final = 0.85
#: The same for the rest of a change that was made in part.
_LEAST_SHARE: Final = 0.98
#: Engines that change their model in one write: at most this part, and at
#: least this number, so that two engines can swap their models. The others
#: serve the steps while these load weights.
_MOVED_PART: Final = 8
_MIN_MOVED: Final = 2
#: Capacities are summed in thousandths of an event per second.
_UNITS: Final = 1000


class CapacityPlan(msgspec.Struct, frozen=True):
    """Assignment of models to engines of a service, as stored."""

    #: The model of each engine, by the engine's address ``IP:PORT``.
    engines: dict[str, ModelId]


class PlannedEngine(msgspec.Struct, frozen=True):
    """Engine as the decision sees it."""

    #: Address of the form ``IP:PORT``.
    address: str
    #: Slots divided by the event interval; 0 for an engine that drains or is
    #: not registered at the moment. Such an engine keeps its model.
    capacity_events_s: float


class PlanInput(msgspec.Struct, frozen=True):
    """What a decision is made from."""

    engines: tuple[PlannedEngine, ...]
    #: Demand of each registered model, in events per second.
    demands_events_s: dict[ModelId, float]
    #: Models whose demand is unknown. Their engines keep their model.
    unknown_models: frozenset[ModelId] = frozenset()


class PlanDecision(msgspec.Struct, frozen=True):
    """New plan and what it changes."""

    plan: CapacityPlan
    #: Addresses of the engines that change their model.
    moved: tuple[str, ...]
    #: Addresses of the engines that the plan did not name before.
    added: tuple[str, ...]
    #: Largest ratio of demand to capacity before and after the change.
    ratio_before: float
    ratio_after: float
    #: Whether more engines are to move, but not in the same write.
    is_partial: bool


def address_key(ip: str, port: int) -> str:
    """Return the address of an engine as a plan names it."""
    return f'{ip}:{port}'


def decide(
    planned: PlanInput,
    plan: CapacityPlan | None,
    even: Mapping[str, ModelId],
    *,
    may_move: bool = True,
    continuing: bool = False,
) -> PlanDecision | None:
    """Return a better plan, or ``None`` if the present assignment stays.

    Parameters
    ----------
    planned
        Engines, and the demand of each model.
    plan
        The plan in force; ``None`` if there is none.
    even
        The even assignment, which is in force without a plan.
    may_move
        Whether engines may change their model now. If not, new engines are
        still added, and a model without an engine still gets one.
    continuing
        Whether the last decision was partial. Its other changes follow, even
        if they gain less than a change must by itself.
    """
    models = planned.demands_events_s
    active = [one for one in planned.engines if one.capacity_events_s > 0]
    if len(models) <= 1 or len(active) < len(models):
        return None
    start = even if plan is None else plan.engines
    assignment = _Assignment(planned, start)
    added = assignment.add_unassigned()
    before = assignment.largest_ratio
    changes: tuple[dict[str, ModelId], ...] = ()
    if may_move or math.isinf(before):
        share = 1 / EVEN_TOLERANCE if plan is None else _CHANGE_SHARE
        changes = _changes(assignment, _LEAST_SHARE if continuing else share)
    moved = _apply(assignment, changes, _max_moved(len(active)))
    if not moved and (plan is None or not added):
        return None
    return PlanDecision(
        CapacityPlan(dict(sorted(assignment.models.items()))),
        moved,
        added,
        before,
        assignment.largest_ratio,
        len(moved) < sum(map(len, changes)),
    )


def _max_moved(engines: int) -> int:
    return max(_MIN_MOVED, engines // _MOVED_PART)


def _changes(
    assignment: _Assignment, share: float
) -> tuple[dict[str, ModelId], ...]:
    """Return the changes to make, none if they gain too little.

    Failure: demands or speeds vary a little from step to step. Symptom:
    engines change their models back and forth, and each change costs a weight
    load. So changes are made only if all of them together lower the largest
    ratio to `share` of what it is.
    """
    best = assignment.copy()
    changes = tuple(best.improve())
    limit = assignment.largest_ratio * share
    return changes if best.largest_ratio <= limit else ()


def _apply(
    assignment: _Assignment,
    changes: Iterable[dict[str, ModelId]],
    max_moved: int,
) -> tuple[str, ...]:
    """Apply the first changes; return the engines that they move."""
    moved: tuple[str, ...] = ()
    for change in changes:
        if len(moved) + len(change) > max_moved:
            break
        assignment.models.update(change)
        moved = (*moved, *change)
    return moved


class _Change(msgspec.Struct, frozen=True):
    """Change of the model of one engine, or of two that swap models."""

    models: dict[str, ModelId]
    #: Model that gives capacity to the one with the largest ratio.
    giver: ModelId
    #: How much it gives.
    capacity: int


class _Assignment:
    """Models of the engines, with the capacity that each model has."""

    def __init__(
        self, planned: PlanInput, models: Mapping[str, ModelId]
    ) -> None:
        self._planned = planned
        self._demands = planned.demands_events_s
        #: Capacity of each engine that runs items. Integers have exact sums,
        #: so a model that loses its last engine has a capacity of zero.
        self._capacities = {
            one.address: max(round(one.capacity_events_s * _UNITS), 1)
            for one in planned.engines
            if one.capacity_events_s > 0
        }
        #: Model of each engine that has one which is still registered.
        self.models = {
            one.address: models[one.address]
            for one in planned.engines
            if models.get(one.address) in self._demands
        }

    def copy(self) -> _Assignment:
        """Return an independent copy."""
        return _Assignment(self._planned, self.models)

    @property
    def largest_ratio(self) -> float:
        """Largest ratio of demand to capacity of all models."""
        sums = self._sums()
        return max(
            _ratio(demand, sums[model])
            for model, demand in self._demands.items()
        )

    def add_unassigned(self) -> tuple[str, ...]:
        """Assign the engines without a model, and return their addresses.

        The fastest is assigned first, to the model with the largest ratio.
        """
        missing = self._capacities.keys() - self.models.keys()
        added = sorted(missing, key=self._speed_order)
        for address in added:
            self.models[address] = self._worst_model(self._sums())
        return tuple(added)

    def improve(self) -> Iterator[dict[str, ModelId]]:
        """Apply and yield changes for as long as one is a gain.

        A change lowers the largest ratio and raises another one, which stays
        below it. So no assignment occurs twice, and the search ends.
        """
        change = self._best_change()
        while change:
            self.models.update(change)
            yield change
            change = self._best_change()

    def _best_change(self) -> dict[str, ModelId]:
        """Return the change after which the ratios are lowest, if any.

        One engine moves to the model with the largest ratio, or is swapped
        for a slower one of this model.
        """
        sums = self._sums()
        worst = self._worst_model(sums)
        largest = _ratio(self._demands[worst], sums[worst])
        lowest = (largest, math.inf)
        best: dict[str, ModelId] = {}
        for change in self._changes_for(worst):
            ratios = (
                _ratio(self._demands[worst], sums[worst] + change.capacity),
                _ratio(
                    self._demands[change.giver],
                    sums[change.giver] - change.capacity,
                ),
            )
            ordered = (max(ratios), min(ratios))
            if ordered < lowest and ordered[0] < largest:
                lowest, best = ordered, change.models
        return best

    def _changes_for(self, worst: ModelId) -> Iterator[_Change]:
        own = self._active_of({worst})
        fixed = {worst, *self._planned.unknown_models}
        for other in self._active_of(self._demands.keys() - fixed):
            giver = self.models[other]
            capacity = self._capacities[other]
            yield _Change({other: worst}, giver, capacity)
            for one in own:
                more = capacity - self._capacities[one]
                if more > 0:
                    yield _Change({other: worst, one: giver}, giver, more)

    def _speed_order(self, address: str) -> tuple[int, str]:
        return -self._capacities[address], address

    def _active_of(self, models: AbstractSet[ModelId]) -> list[str]:
        return [
            address
            for address in self._capacities
            if self.models[address] in models
        ]

    def _worst_model(self, sums: Mapping[ModelId, int]) -> ModelId:
        # Of models without an engine, the one with the most demand is first.
        return max(
            (_ratio(demand, sums[model]), demand, model)
            for model, demand in self._demands.items()
        )[-1]

    def _sums(self) -> dict[ModelId, int]:
        sums = dict.fromkeys(self._demands, 0)
        for address, model in self.models.items():
            sums[model] += self._capacities.get(address, 0)
        return sums


def _ratio(demand_events_s: float, capacity: int) -> float:
    """Return demand divided by capacity; infinite without an engine."""
    return demand_events_s * _UNITS / capacity if capacity else math.inf
