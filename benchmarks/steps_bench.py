"""How fast a step of 512 samples is whole, how stale, and at what cost.

Five engines in virtual time, lengths heavy-tailed; each row is the mean of
five seeds. The cost of a decision is wall time.
"""

from __future__ import annotations

import datetime as dt
import functools
import pathlib
import random
import statistics
import sys
import time
from typing import Final

import msgspec
from absl import app, flags

from benchmarks._steps_engines import SLOTS, EngineFleet, Timeline
from bergamotdoor.samples import actions, events
from bergamotdoor.samples.assembly import StepAssembly
from bergamotdoor.samples.freshness import Freshness, Publications
from bergamotdoor.samples.plan import SampleGroup, StepPlan
from bergamotdoor.samples.provenance import staleness
from bergamotdoor.samples.rules import AssemblyRules
from bergamotdoor.types import (
    GroupId,
    ServiceId,
    StepId,
    TrainerId,
    WeightVersion,
)
from bergamotdoor.verdict import Failure, Reason, Verdict

SEED = flags.DEFINE_integer('seed', 1, 'Seeds lengths and jitter.')
JSON = flags.DEFINE_string('json', '', 'Where to write the figures.')

ENGINES: Final = 5
GROUPS: Final = 64
SAMPLES_EACH: Final = 8
TRAINERS: Final = 9
SEEDS: Final = 5
TICK_S: Final = 0.25
STORE_S: Final = 0.02
LOCATE_S: Final = 0.05
SWAP_GAP_S: Final = 5
MOST_S: Final = 3600
FULL: Final = Failure(Verdict.NOT_RUN, Reason.OVERLOADED, 'full', 500)


_FIGURE: Final = '  {:20}{:10.1f}'
_LINE: Final = '{:52}{:>9}{:>9}{:>8}{:>7}{:>5}'


class Case(msgspec.Struct, frozen=True):
    """One situation and what is done about it."""

    name: str
    hedging: bool = True
    prefer_fresh: bool = True
    slow: float = 1
    hung: bool = False
    #: Seconds from one publication to the next; 0 publishes none.
    publish_s: float = 0
    #: How much later than the others the last engine swaps.
    lag_s: float = 0
    bound: int = 1


class Outcome(msgspec.Struct, frozen=True):
    """What one step came to."""

    whole_s: float
    runs: int
    mean_staleness: float
    max_staleness: int


class Row(msgspec.Struct, frozen=True):
    """The mean over all seeds."""

    case: str
    whole_s: float
    slowest_s: float
    extra_runs: float
    mean_staleness: float
    max_staleness: int


class Cost(msgspec.Struct, frozen=True):
    """What a decision costs while nine trainers' steps run."""

    events: int
    mean_us: float
    p99_us: float
    max_us: float
    total_ms_per_step: float


class Report(msgspec.Struct, frozen=True):
    """All figures of one run."""

    rows: list[Row]
    cost: Cost


class Trial:
    """One step in virtual time.

    Parameters
    ----------
    case
        The situation.
    timeline, fleet
        Time and engines, which trials may share.
    trainer
        Whose step.
    seed
        Seeds the jitter.
    """

    def __init__(
        self,
        case: Case,
        timeline: Timeline,
        fleet: EngineFleet,
        trainer: str,
        seed: int,
    ) -> None:
        self.outcome: Outcome | None = None
        self.costs_ns: list[int] = []
        self._case = case
        self._timeline = timeline
        self._fleet = fleet
        self._publications = Publications()
        self._version = 1
        self._assembly = StepAssembly(
            a_plan(trainer, seed),
            AssemblyRules(
                namespace='1.1',
                slots=SLOTS * ENGINES,
                began=dt.timedelta(),
                deadline=dt.timedelta(minutes=32),
            ),
            Freshness(case.bound, WeightVersion(1), self._publications),
            random.Random(seed),
        )

    def start(self) -> None:
        """Begin the step."""
        self._publications.note(WeightVersion(1), dt.timedelta())
        self.take(events.HeldReported())
        self._timeline.at(TICK_S, self._tick)
        if self._case.publish_s:
            self._timeline.at(self._case.publish_s / 2, self._publish)

    def take(self, event: events.Event) -> None:
        """Let the assembly decide, and carry its actions out."""
        if self.outcome is not None:
            return
        now = dt.timedelta(seconds=self._timeline.now)
        began = time.perf_counter_ns()
        asked = self._assembly.handle(event, now)
        self.costs_ns.append(time.perf_counter_ns() - began)
        for action in asked:
            self._carry_out(action)

    @functools.singledispatchmethod
    def _carry_out(self, action: actions.Action) -> None:
        """Ignore what has no effect here."""

    @_carry_out.register
    def _dispatch(self, action: actions.Dispatch) -> None:
        if not self._fleet.begin(action, self.take):
            failed = events.RunFailed(action.request, FULL)
            self._timeline.at(STORE_S, functools.partial(self.take, failed))

    @_carry_out.register
    def _cancel(self, action: actions.CancelRun) -> None:
        self._fleet.cancel(action.request)

    @_carry_out.register
    def _locate(self, action: actions.LocateRuns) -> None:
        if self._case.hedging:
            self._timeline.at(LOCATE_S, self._located)

    @_carry_out.register
    def _commit(self, action: actions.CommitBatch) -> None:
        ages = [
            staleness(WeightVersion(self._version), sample.spans)
            for sample in action.samples
        ]
        self.outcome = Outcome(
            self._timeline.now,
            self._fleet.runs,
            statistics.mean(ages),
            max(ages),
        )

    def _located(self) -> None:
        held = tuple(
            events.HeldRun(engine.upstream, request)
            for engine in self._fleet.engines.values()
            for request in engine.running
        )
        self.take(events.RunsLocated(held))

    def _tick(self) -> None:
        self.take(events.Tick())
        if self.outcome is None and self._timeline.now < MOST_S:
            self._timeline.at(TICK_S, self._tick)

    def _publish(self) -> None:
        """Publish, and have the engines swap one after the other."""
        if self.outcome is not None:
            return
        self._version += 1
        version = WeightVersion(self._version)
        now = dt.timedelta(seconds=self._timeline.now)
        self._publications.note(version, now)
        self.take(events.VersionPublished(version))
        for number, name in enumerate(self._fleet.engines, start=1):
            late = self._case.lag_s if number == ENGINES else 0
            swap = functools.partial(self._fleet.swap, name, version)
            self._timeline.at(number * SWAP_GAP_S + late, swap)
        self._timeline.at(self._case.publish_s, self._publish)


def a_plan(trainer: str, seed: int) -> StepPlan:
    """Return a step of 512 samples."""
    return StepPlan(
        TrainerId(trainer),
        StepId(seed),
        ServiceId('kreol-lm'),
        tuple(
            SampleGroup(GroupId(f'g{number}'), SAMPLES_EACH, 8192, prompt='x')
            for number in range(GROUPS)
        ),
    )


def run_case(case: Case, seed: int) -> Outcome:
    """Run one step of one case to its end."""
    timeline = Timeline()
    fleet = EngineFleet(timeline, ENGINES, prefer_fresh=case.prefer_fresh)
    first = fleet.engines['engine-0']
    first.slowness = case.slow
    first.hung = case.hung
    trial = Trial(case, timeline, fleet, 'roster', seed)
    trial.start()
    while trial.outcome is None and timeline.now < MOST_S:
        timeline.step()
    return trial.outcome or Outcome(MOST_S, fleet.runs, 0, 0)


def a_row(case: Case, seed: int) -> Row:
    """Run a case with all seeds."""
    outcomes = [run_case(case, seed + offset) for offset in range(SEEDS)]
    whole = [outcome.whole_s for outcome in outcomes]
    runs = statistics.mean(outcome.runs for outcome in outcomes)
    return Row(
        case.name,
        statistics.mean(whole),
        max(whole),
        runs - GROUPS * SAMPLES_EACH,
        statistics.mean(outcome.mean_staleness for outcome in outcomes),
        max(outcome.max_staleness for outcome in outcomes),
    )


def a_cost(seed: int) -> Cost:
    """Measure decisions while nine trainers share the engines."""
    timeline = Timeline()
    fleet = EngineFleet(timeline, ENGINES, prefer_fresh=True)
    case = Case('nine trainers')
    trials = [
        Trial(case, timeline, fleet, f'trainer-{number}', seed)
        for number in range(TRAINERS)
    ]
    for started in trials:
        started.start()
    while any(trial.outcome is None for trial in trials):
        timeline.step()
    costs_us = sorted(
        cost_ns / 1000 for trial in trials for cost_ns in trial.costs_ns
    )
    return Cost(
        len(costs_us),
        statistics.mean(costs_us),
        costs_us[len(costs_us) * 99 // 100],
        costs_us[-1],
        sum(costs_us) / 1000 / TRAINERS,
    )


CASES: Final = (
    Case('quiet, no second runs', hedging=False),
    Case('quiet, second runs'),
    Case('one engine 8x slow, no second runs', hedging=False, slow=8),
    Case('one engine 8x slow, second runs', slow=8),
    Case('one engine hung, no second runs', hedging=False, hung=True),
    Case('one engine hung, second runs', hung=True),
    Case(
        'new weights each 150 s, any engine', prefer_fresh=False, publish_s=150
    ),
    Case('new weights each 150 s, fresh engines', publish_s=150),
    Case(
        'new weights each 150 s, one 40 s late, any engine',
        prefer_fresh=False,
        publish_s=150,
        lag_s=40,
    ),
    Case(
        'new weights each 150 s, one 40 s late, fresh engines',
        publish_s=150,
        lag_s=40,
    ),
    Case(
        'bound 2, each 90 s, any engine',
        prefer_fresh=False,
        publish_s=90,
        bound=2,
    ),
    Case('bound 2, each 90 s, fresh engines', publish_s=90, bound=2),
)


def main(_: list[str]) -> None:
    """Run all cases, print the table, write the JSON."""
    rows = [a_row(case, SEED.value) for case in CASES]
    cost = a_cost(SEED.value)
    print(_LINE.format('case', 'whole s', 'slowest', 'extra', 'stale', 'max'))
    for row in rows:
        print(
            _LINE.format(
                row.case,
                round(row.whole_s, 1),
                round(row.slowest_s, 1),
                round(row.extra_runs, 1),
                round(row.mean_staleness, 2),
                row.max_staleness,
            )
        )
    print(f'one decision, {TRAINERS} x 512 samples:')
    for name, figure in msgspec.structs.asdict(cost).items():
        print(_FIGURE.format(name, figure))
    if JSON.value:
        body = msgspec.json.encode(Report(rows, cost))
        pathlib.Path(JSON.value).write_bytes(body)


if __name__ == '__main__':
    sys.exit(app.run(main))
