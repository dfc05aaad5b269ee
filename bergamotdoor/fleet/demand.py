"""Demand of the models of a service: measured by owners, told to a planner.

Load pattern: trainers submit a step every few seconds, and a trainer that
falls behind submits fewer. Its steps require as much as before, so the demand
of a model is what a step requires, and not how often steps are submitted.
"""

from __future__ import annotations

import datetime as dt
import math
import statistics
from collections import defaultdict, deque
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.types import ModelId, UpstreamId, WeightVersion

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

#: The demand is the largest one of the steps of this time, which are at least
#: two steps of a trainer that is behind schedule.
_STEP_WINDOW_S: Final = 15
STEP_WINDOW: Final = dt.timedelta(seconds=_STEP_WINDOW_S)
#: How long a planner hears demands before it compares the models: two steps of
#: a trainer.
_SETTLING_TIME_S: Final = 8
SETTLING_TIME: Final = dt.timedelta(seconds=_SETTLING_TIME_S)
#: A model without a step for this time has no demand.
_DEMAND_LIFETIME_S: Final = 30
DEMAND_LIFETIME: Final = dt.timedelta(seconds=_DEMAND_LIFETIME_S)
#: How long an owner tells an interval after the last measurement, and how long
#: the planner keeps it. Both together are at most 30 s.
INTERVAL_LIFETIME: Final = STEP_WINDOW
#: Least time between two messages about a model.
_TELLING_INTERVAL_S: Final = 2
TELLING_INTERVAL: Final = dt.timedelta(seconds=_TELLING_INTERVAL_S)
#: Assumed length of an item if no item of its step has a length hint. Only the
#: ratio of the demands of models matters.
_DEFAULT_TOKENS: Final = 1000
#: Assumed event interval if no engine has been measured.
_DEFAULT_INTERVAL_MS: Final = 40
_MS_PER_S: Final = 1000
#: An interval is ignored under this share of the median of all engines. The
#: fastest engines of a service take about half the time of the others.
_LEAST_INTERVAL_SHARE: Final = 0.25
#: The most messages about a model that are kept.
_MAX_TOLD: Final = 16


def step_tokens(hints: Iterable[int]) -> float:
    """Return the expected number of tokens of a step.

    Parameters
    ----------
    hints
        Length hint of each item, in tokens; 0 if the item has none. Such an
        item counts with the mean of the others.
    """
    lengths = tuple(hints)
    known = [hint for hint in lengths if hint > 0]
    mean = sum(known) / len(known) if known else _DEFAULT_TOKENS
    return mean * len(lengths)


class _Step(msgspec.Struct, frozen=True):
    """Monotonic time of a step, and its demand."""

    at: dt.timedelta
    demand_events_s: float


class StepDemands:
    """What the recent steps of this process's models require."""

    def __init__(self) -> None:
        #: Recent steps of each model.
        self._steps: dict[ModelId, list[_Step]] = {}
        self._told_at: dict[ModelId, dt.timedelta] = {}

    def add(
        self, model: ModelId, demand_events_s: float, now: dt.timedelta
    ) -> None:
        """Add a step of a model that was submitted now."""
        recent = [
            step
            for step in self._steps.get(model, ())
            if now - step.at <= STEP_WINDOW
        ]
        self._steps[model] = [*recent, _Step(now, demand_events_s)]

    def pop_due(self, model: ModelId, now: dt.timedelta) -> float | None:
        """Return the demand of a model if it is to be told now.

        It is told at most once in ``TELLING_INTERVAL``.
        """
        told_at = self._told_at.get(model)
        if told_at is not None and now - told_at < TELLING_INTERVAL:
            return None
        self._told_at[model] = now
        return max(step.demand_events_s for step in self._steps[model])


class ToldDemand(msgspec.Struct, frozen=True):
    """Demand of a model and the event intervals that its owner measured."""

    demand_events_s: float
    intervals_ms: dict[UpstreamId, float]
    #: Monotonic time at which it was told.
    told_at: dt.timedelta


class ServiceDemand:
    """Demands of the models of one service, as owners have told them."""

    def __init__(self) -> None:
        self._told: dict[ModelId, deque[ToldDemand]] = {}
        #: Monotonic time at which it was last told of each model that its
        #: demand is not known.
        self._undue_at: dict[ModelId, dt.timedelta] = {}
        self._versions: dict[ModelId, WeightVersion] = {}
        #: Monotonic time at which the version of each model last rose.
        self._rose_at: dict[ModelId, dt.timedelta] = {}
        #: Monotonic time since which demands are heard without a gap.
        self._heard_since = dt.timedelta()

    @property
    def last_told(self) -> dict[ModelId, ToldDemand]:
        """What was told last of each model with recent steps."""
        return {model: told[-1] for model, told in self._told.items()}

    def tell(self, model: ModelId, told: ToldDemand) -> None:
        """Record what the owner of a model's jobs tells.

        A demand of 0 states that the steps of a model have no due time, so
        that its demand is not known. Other figures that are not finite and
        positive are ignored.
        """
        self.remove_expired(told.told_at)
        if told.demand_events_s == 0:
            self._undue_at[model] = told.told_at
        if not _is_positive(told.demand_events_s):
            return
        if not self._told:
            self._heard_since = told.told_at
        valid = {
            upstream: interval_ms
            for upstream, interval_ms in told.intervals_ms.items()
            if _is_positive(interval_ms)
        }
        self._told.setdefault(model, deque(maxlen=_MAX_TOLD)).append(
            msgspec.structs.replace(told, intervals_ms=valid)
        )

    def remove_expired(self, now: dt.timedelta) -> None:
        """Remove what was told too long ago to count."""
        for model, told in tuple(self._told.items()):
            while told and now - told[0].told_at > DEMAND_LIFETIME:
                told.popleft()
            if not told:
                self._told.pop(model)

    def use_versions(
        self, versions: Mapping[ModelId, WeightVersion], now: dt.timedelta
    ) -> None:
        """Record the latest version of each model in the registrations."""
        for model, version in versions.items():
            if version > self._versions.get(model, version):
                self._rose_at[model] = now
            self._versions[model] = version

    def is_settled(self, now: dt.timedelta) -> bool:
        """Return whether enough was heard to compare the models.

        Failure: a plan is made from the first figures that are heard.
        Symptom: engines change their models because of a single step that
        was larger than usual.
        """
        heard_for = now - self._heard_since
        return bool(self._told) and heard_for >= SETTLING_TIME

    def unknown_models(
        self, models: Iterable[ModelId], now: dt.timedelta
    ) -> frozenset[ModelId]:
        """Return the models of which this process cannot know the demand.

        Failure: at the first steps of a day, or after a change of the
        planner, the demand of one model is told before that of the others.
        Symptom: all engines but one are given to that model. A model counts
        as one without demand only after the time in which any step of it
        would have been told.

        Failure: the owner of a model cannot reach this process, or the steps
        of a model have no due time. Symptom: its engines are given to other
        models while its trainer is at work. A trainer publishes versions, so
        a model that is not told is unknown while its version rises.
        """
        undue = {
            model
            for model, told_at in self._undue_at.items()
            if now - told_at <= DEMAND_LIFETIME
        }
        if now - self._heard_since <= DEMAND_LIFETIME:
            return frozenset(models) - (self._told.keys() - undue)
        trained = {
            model
            for model, rose_at in self._rose_at.items()
            if now - rose_at <= DEMAND_LIFETIME
        }
        return frozenset(models) & (undue | (trained - self._told.keys()))

    def demands_events_s(
        self, models: Iterable[ModelId]
    ) -> dict[ModelId, float]:
        """Return the demand of each model, 0 if it has no recent steps.

        It is the mean of what was told: steps differ from each other, and
        their expected lengths from the true ones.
        """
        return {
            model: statistics.fmean(
                told.demand_events_s for told in self._told[model]
            )
            if model in self._told
            else float(0)
            for model in models
        }

    def intervals_ms(
        self, now: dt.timedelta, without: ModelId | None = None
    ) -> dict[UpstreamId, float]:
        """Return the median of the recent event intervals of each engine.

        Failure: an owner was paused, and measures the events that arrive
        together as intervals near zero. Symptom: the engine counts as many
        times faster than the others, and its model gets no further engine.
        Intervals that are far below those of the other engines are ignored.

        Parameters
        ----------
        now
            The monotonic time.
        without
            Model whose owner's measurements are left out.
        """
        measured: defaultdict[UpstreamId, list[float]] = defaultdict(list)
        for told in self._recent(now, without):
            for upstream, interval_ms in told.intervals_ms.items():
                measured[upstream].append(interval_ms)
        if not measured:
            return {}
        least_ms = _LEAST_INTERVAL_SHARE * statistics.median(
            map(statistics.median, measured.values())
        )
        credible = {
            engine: [one for one in intervals if one >= least_ms]
            for engine, intervals in measured.items()
        }
        return {
            engine: statistics.median(intervals)
            for engine, intervals in credible.items()
            if intervals
        }

    def _recent(
        self, now: dt.timedelta, without: ModelId | None
    ) -> Iterator[ToldDemand]:
        for model, history in self._told.items():
            if model != without:
                yield from (
                    told
                    for told in history
                    if now - told.told_at <= INTERVAL_LIFETIME
                )


def capacity_events_s(
    upstream: UpstreamId, slots: int, intervals_ms: Mapping[UpstreamId, float]
) -> float:
    """Return how many events per second an engine generates.

    An engine that has not been measured counts with the median interval, and
    all of them with the same one if there is no measurement.
    """
    ordered = sorted(intervals_ms.values())
    median = ordered[len(ordered) // 2] if ordered else _DEFAULT_INTERVAL_MS
    return slots * _MS_PER_S / intervals_ms.get(upstream, median)


def _is_positive(figure: float) -> bool:
    return math.isfinite(figure) and figure > 0
