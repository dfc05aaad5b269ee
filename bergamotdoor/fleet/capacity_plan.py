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
from bisect import bisect_left, insort
from operator import itemgetter
from typing import TYPE_CHECKING, Final, TypeAlias

import msgspec

from bergamotdoor.types import ModelId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping
    from collections.abc import Set as AbstractSet

#: The even assignment stays while the best plan serves the worst-served model
#: better by at most this factor.
EVEN_TOLERANCE: Final = 1.15
#: A plan in force changes if the largest ratio falls to this share of it or
#: less. Demands and speeds that vary by a tenth must not move engines.
_CHANGE_SHARE: Final = 0.85
#: The same for the rest of a change that was made in part. With a gain of 2 %
#: the noise of the measurements alone moves engines back and forth.
_LEAST_SHARE: Final = 0.95
#: Engines that change their model in one write: at most this part, and at
#: least this number, so that two engines can swap their models. The others
#: serve the steps while these load weights.
_MOVED_PART: Final = 8
_MIN_MOVED: Final = 2
#: Changes of one search: at most one for this number of engines, and at least
#: this number. The search runs in the event loop.
_ENGINES_PER_CHANGE: Final = 8
_MIN_CHANGES: Final = 8
#: Capacities are summed in thousandths of an event per second.
_UNITS: Final = 1000

#: Capacities and addresses of engines, slowest first.
_Engines: TypeAlias = list[tuple[int, str]]
#: Capacity that a model gains, the engine that it gets, and the one that it
#: gives in return; empty if it gives none.
_Exchange: TypeAlias = tuple[int, str, str]


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
    #: Addresses of engines that moved a short time ago and keep their model.
    held: frozenset[str] = frozenset()


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
    least_share = 1 / EVEN_TOLERANCE if plan is None else _CHANGE_SHARE
    if continuing:
        least_share = _LEAST_SHARE
    changes = (
        _changes(assignment, least_share)
        if may_move
        else _missing_engines(assignment)
    )
    moved = _apply(
        assignment, changes, max(_MIN_MOVED, len(active) // _MOVED_PART)
    )
    if not moved and (plan is None or not added):
        return None
    return PlanDecision(
        CapacityPlan(dict(sorted(assignment.models.items()))),
        moved,
        added,
        before,
        assignment.largest_ratio,
        may_move and _has_more(assignment, changes, len(moved)),
    )


def _changes(
    assignment: _Assignment, share: float
) -> tuple[dict[str, ModelId], ...]:
    """Return the changes to make, none if they gain too little.

    Failure: demands or speeds vary a little from step to step. Symptom:
    engines change their models back and forth, and each change costs a weight
    load. So changes are made only if all of them together lower the largest
    ratio to `share` of what it is. There is no search if no assignment can
    do so, since it takes tens of milliseconds of many engines.
    """
    limit = assignment.largest_ratio * share
    if limit < assignment.mean_ratio:
        return ()
    best = assignment.copy()
    changes = tuple(best.improve())
    return changes if best.largest_ratio <= limit else ()


def _missing_engines(
    assignment: _Assignment,
) -> tuple[dict[str, ModelId], ...]:
    """Return the changes that give an engine to each model without one."""
    return tuple(assignment.copy().improve(while_missing=True))


def _has_more(
    assignment: _Assignment,
    changes: tuple[dict[str, ModelId], ...],
    moved: int,
) -> bool:
    """Return whether changes remain, or the search was ended by its bound."""
    return (
        moved < sum(map(len, changes)) or len(changes) == assignment.max_changes
    )


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
        assignment.apply(change)
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
        self.models: dict[str, ModelId] = {}
        self._sums: dict[ModelId, int] = dict.fromkeys(self._demands, 0)
        #: Active engines of each model with their capacity, slowest first.
        self._ordered: dict[ModelId, _Engines] = {
            model: [] for model in self._demands
        }
        self.apply(
            {
                one.address: models[one.address]
                for one in planned.engines
                if models.get(one.address) in self._demands
            }
        )

    def copy(self) -> _Assignment:
        """Return an independent copy."""
        return _Assignment(self._planned, self.models)

    @property
    def largest_ratio(self) -> float:
        """Largest ratio of demand to capacity of all models."""
        return self._ratio(self._worst_model())

    @property
    def mean_ratio(self) -> float:
        """Ratio of all demand to all capacity.

        The largest ratio of any assignment is at least as large.
        """
        total = sum(self._capacities.values())
        return _ratio(math.fsum(self._demands.values()), total)

    def apply(self, change: Mapping[str, ModelId]) -> None:
        """Assign models to engines."""
        for address, model in change.items():
            capacity = self._capacities.get(address)
            before = self.models.get(address)
            self.models[address] = model
            if capacity is None:
                continue
            if before is not None:
                self._sums[before] -= capacity
                self._ordered[before].remove((capacity, address))
            self._sums[model] += capacity
            insort(self._ordered[model], (capacity, address))

    def add_unassigned(self) -> tuple[str, ...]:
        """Assign the engines without a model, and return their addresses.

        The fastest is assigned first, to the model with the largest ratio.
        """
        missing = self._capacities.keys() - self.models.keys()
        fastest_first = sorted((-self._capacities[one], one) for one in missing)
        added = tuple(address for _, address in fastest_first)
        for address in added:
            self.apply({address: self._worst_model()})
        return added

    @property
    def max_changes(self) -> int:
        """The most changes of one search."""
        return max(_MIN_CHANGES, len(self._capacities) // _ENGINES_PER_CHANGE)

    def improve(
        self, *, while_missing: bool = False
    ) -> Iterator[dict[str, ModelId]]:
        """Apply and yield changes for as long as one is a gain.

        A change lowers the largest ratio and raises another one, which stays
        below it. So no assignment occurs twice.

        Parameters
        ----------
        while_missing
            Whether to stop as soon as each model has an engine.
        """
        for _ in range(self.max_changes):
            if while_missing and math.isfinite(self.largest_ratio):
                return
            change = self._best_change()
            if not change:
                return
            self.apply(change)
            yield change

    def _best_change(self) -> dict[str, ModelId]:
        """Return the change after which the ratios are lowest, if any.

        One engine moves to the model with the largest ratio, or is swapped
        for a slower one of this model.

        Failure: a model has no engine, and the others are of unknown demand
        or have engines that moved a short time ago. Symptom: its steps are
        not served. In this case such engines move as well.
        """
        worst = self._worst_model()
        planned = self._planned
        best = self._best_of(worst, planned.unknown_models, planned.held)
        if not best and not self._sums[worst]:
            best = self._best_of(worst, frozenset(), frozenset())
        return best

    def _best_of(
        self,
        worst: ModelId,
        unknown: AbstractSet[ModelId],
        held: AbstractSet[str],
    ) -> dict[str, ModelId]:
        lowest = (self._ratio(worst), -math.inf)
        best: dict[str, ModelId] = {}
        givers = self._demands.keys() - {worst, *unknown}
        # No exchange of two models lowers the larger ratio to less than the
        # one of both together, so most models need no search.
        for least, _, giver in self._pairs(worst, givers):
            if least > lowest[0]:
                break
            for change in self._changes_between(worst, giver, held):
                ratios = self._ratios_after(worst, change)
                if ratios < lowest:
                    lowest, best = ratios, change.models
        return best

    def _changes_between(
        self,
        worst: ModelId,
        giver: ModelId,
        held: AbstractSet[str],
    ) -> Iterator[_Change]:
        """Yield the changes that come closest to equal ratios of two models.

        The larger of the two ratios rises with the distance from the capacity
        that makes them equal, on either side of it. So only the closest change
        of each side can be the best one.
        """
        wanted = self._equalizing_capacity(worst, giver)
        own = _without(self._ordered[worst], held)
        others = _without(self._ordered[giver], held)
        slower = [(0, ''), *own] if len(self._ordered[giver]) > 1 else own
        for given, other, returned in _closest(slower, others, wanted):
            models = {other: worst}
            if returned:
                models[returned] = giver
            yield _Change(models, giver, given)

    def _equalizing_capacity(self, worst: ModelId, giver: ModelId) -> float:
        """Return the capacity that makes the ratios equal if it is given."""
        demand, other = self._demands[worst], self._demands[giver]
        if not demand + other:
            return 0
        difference = demand * self._sums[giver] - other * self._sums[worst]
        return difference / (demand + other)

    def _ratios_after(
        self, worst: ModelId, change: _Change
    ) -> tuple[float, float]:
        """Return the larger and the smaller ratio of the two models."""
        giver = change.giver
        ratios = (
            _ratio(self._demands[worst], self._sums[worst] + change.capacity),
            _ratio(self._demands[giver], self._sums[giver] - change.capacity),
        )
        return max(ratios), min(ratios)

    def _pairs(
        self, worst: ModelId, givers: Iterable[ModelId]
    ) -> list[tuple[float, int, ModelId]]:
        """Return the ratio of `worst` together with each giver, sorted.

        Of equal ones, the giver with the most capacity is first.
        """
        return sorted(
            (
                _ratio(
                    self._demands[worst] + self._demands[giver],
                    self._sums[worst] + self._sums[giver],
                ),
                -self._sums[giver],
                giver,
            )
            for giver in givers
        )

    def _ratio(self, model: ModelId) -> float:
        return _ratio(self._demands[model], self._sums[model])

    def _worst_model(self) -> ModelId:
        # Of models without an engine, the one with the most demand is first.
        return max(
            (self._ratio(model), demand, model)
            for model, demand in self._demands.items()
        )[-1]


def _closest(
    slower: _Engines, others: _Engines, wanted: float
) -> list[_Exchange]:
    """Return the exchanges that give closest to `wanted`, below and above."""
    less: list[_Exchange] = []
    more: list[_Exchange] = []
    for capacity, returned in slower:
        at = bisect_left(others, (capacity + wanted, ''))
        for other_capacity, other in others[max(at - 1, 0) : at + 1]:
            given = other_capacity - capacity
            if given > 0:
                side = less if given < wanted else more
                side.append((given, other, returned))
    return [
        *sorted(less, key=itemgetter(0))[-1:],
        *sorted(more, key=itemgetter(0))[:1],
    ]


def _without(engines: _Engines, held: AbstractSet[str]) -> _Engines:
    return [one for one in engines if one[1] not in held] if held else engines


def _ratio(demand_events_s: float, capacity: int) -> float:
    """Return demand divided by capacity; infinite without an engine."""
    return demand_events_s * _UNITS / capacity if capacity else math.inf
