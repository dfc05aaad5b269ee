"""Steps for bergamotdoor.samples."""

from __future__ import annotations

import datetime as dt
import random
from collections import Counter
from typing import Any

from behave import given, then, when

from bergamotdoor.samples import actions, events, provenance
from bergamotdoor.samples.assembly import StepAssembly
from bergamotdoor.samples.freshness import Freshness, Publications
from bergamotdoor.samples.parts import pack, unpack
from bergamotdoor.samples.plan import SampleGroup, StepPlan
from bergamotdoor.samples.rules import AssemblyRules
from bergamotdoor.types import (
    GroupId,
    RequestId,
    SampleId,
    ServiceId,
    StepId,
    TrainerId,
    UpstreamId,
    WeightVersion,
)
from bergamotdoor.verdict import Failure, Reason, Verdict
from bergamotdoor.wire.messages import VersionSpan

HOME = UpstreamId('engine-1')
TICK = 0.25


class Bench:
    """An assembly, its time, and the actions that it asked for."""

    def __init__(self, groups: int, samples: int, slots: int = 1000) -> None:
        self.now = float()
        self.plan = StepPlan(
            TrainerId('roster'),
            StepId(1),
            ServiceId('kreol-lm'),
            tuple(
                SampleGroup(GroupId(f'g{number}'), samples, 64, prompt='x')
                for number in range(groups)
            ),
        )
        rules = AssemblyRules(
            namespace='7.1',
            slots=slots,
            began=dt.timedelta(),
            deadline=dt.timedelta(minutes=32),
        )
        self.version = 1
        freshness = Freshness(1, WeightVersion(1), Publications())
        self.assembly = StepAssembly(
            self.plan, rules, freshness, random.Random(1)
        )
        self.asked: list[Any] = []
        self.begun: dict[str, float] = {}
        self.take(events.HeldReported())

    def take(self, event: Any) -> list[Any]:
        now = dt.timedelta(seconds=self.now)
        asked = self.assembly.handle(event, now)
        for action in asked:
            if isinstance(action, actions.Dispatch):
                self.begun[action.request] = self.now
        self.asked.extend(asked)
        return asked

    def wait(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += TICK
            self.take(events.Tick())

    def dispatches(self) -> list[actions.Dispatch]:
        return self.of(actions.Dispatch)

    def of(self, kind: type[Any]) -> list[Any]:
        return [action for action in self.asked if isinstance(action, kind)]

    def finish(self, request: str, home: UpstreamId = HOME) -> list[Any]:
        return self.take(
            events.RunFinished(
                RequestId(request),
                home,
                f'text of {request}',
                (VersionSpan(WeightVersion(self.version), 10),),
                10,
            )
        )

    def refuse(self, request: str, retry_after_ms: int = 2000) -> None:
        failure = Failure(
            Verdict.NOT_RUN, Reason.OVERLOADED, 'full', retry_after_ms
        )
        self.take(events.RunFailed(RequestId(request), failure))


def spans_of(text: str) -> tuple[VersionSpan, ...]:
    pairs = (pair.split(':') for pair in text.split())
    return tuple(
        VersionSpan(WeightVersion(int(version)), int(tokens))
        for version, tokens in pairs
    )


@given("the assembly's answers with these spans and token counts")
def answers(context: Any) -> None:
    context.lines = [
        (spans_of(row['spans']), int(row['tokens']), row['problem'])
        for row in context.table
    ]


@then("each is taken or refused as the assembly's table says")
def judged(context: Any) -> None:
    for spans, tokens, problem in context.lines:
        found = provenance.span_problem(spans, tokens)
        name = found.name if found else ''
        assert name == problem, (spans, found)


@given('the assembly of a step of {groups:d} groups of {samples:d} samples')
def a_step(context: Any, groups: int, samples: int) -> None:
    context.bench = Bench(groups, samples)


@when('all but one sample of the assembly finish and one runs 9 times as long')
def one_left(context: Any) -> None:
    bench = context.bench
    bench.wait(1)
    requests = [action.request for action in bench.dispatches()]
    context.straggler = requests[0]
    for request in requests[1:]:
        bench.finish(request)
    bench.wait(8.5)


@then('the assembly asks where the straggler is and runs it elsewhere')
def elsewhere(context: Any) -> None:
    bench = context.bench
    # Late from 2 s on, and asked for every 5 s at most.
    assert len(bench.of(actions.LocateRuns)) == 2
    held = events.HeldRun(HOME, context.straggler)
    bench.take(events.RunsLocated((held,)))
    bench.wait(TICK)
    context.second = bench.dispatches()[-1]
    assert context.second.hedge
    assert context.second.avoid == {HOME}, context.second


@then("the second run's answer counts, the first is cancelled")
def second_counts(context: Any) -> None:
    asked = context.bench.finish(context.second.request)
    assert asked[0] == actions.CancelRun(context.straggler), asked
    late = context.bench.finish(context.straggler)
    assert late == [actions.ForgetRun(context.straggler, HOME)], late


@then('the assembly commits {count:d} samples, each once')
def commits(context: Any, count: int) -> None:
    commit = context.bench.of(actions.CommitBatch)[0]
    names = [sample.sample for sample in commit.samples]
    assert len(set(names)) == len(names) == count, names


@when("the assembly's engines are prompt on 85% but engine-0 on nothing")
def one_lags(context: Any) -> None:
    bench = context.bench
    bench.wait(1)
    homes = {
        action.request: UpstreamId(f'engine-{number % 5}')
        for number, action in enumerate(bench.dispatches())
    }
    held = tuple(events.HeldRun(home, run) for run, home in homes.items())
    for number, (prompt, upstream) in enumerate(homes.items()):
        if upstream != 'engine-0' and number % 7:
            bench.finish(prompt, upstream)
    bench.wait(3)
    bench.take(events.RunsLocated(held))
    bench.wait(1)
    context.homes = {
        request.partition('#')[0]: home for request, home in homes.items()
    }


@then('the assembly runs only samples of engine-0 a second time')
def only_lagging(context: Any) -> None:
    hedges = [one for one in context.bench.dispatches() if one.hedge]
    homes = {context.homes[one.spec.sample] for one in hedges}
    assert homes == {'engine-0'}, homes
    assert all('engine-0' in one.avoid for one in hedges)


@then('a sample that the assembly gets back may run on engine-0 again')
def better_than_none(context: Any) -> None:
    bench = context.bench
    run = next(
        run
        for run in bench.assembly.state.table.running()
        if bench.assembly.state.table.slots[run.sample].may_hedge(
            dt.timedelta(seconds=bench.now)
        )
    )
    bench.refuse(run.request)
    bench.wait(4)
    again = [one for one in bench.dispatches() if one.spec.sample == run.sample]
    assert len(again) == 2, again
    assert not again[-1].avoid, again


@when("the assembly's samples took 8 to 1 s and then become too old")
def took(context: Any) -> None:
    bench = context.bench
    runs = list(reversed(bench.dispatches()))
    for run in runs:
        bench.wait(1)
        bench.finish(run.request)
    context.lengths = [action.spec.sample for action in reversed(runs)]
    context.first = len(bench.dispatches())
    bench.take(events.VersionPublished(WeightVersion(9)))


@then('the assembly runs them again in the order of their lengths')
def longest_first(context: Any) -> None:
    again = context.bench.dispatches()[context.first :]
    assert [action.spec.sample for action in again] == context.lengths


@when("half of the assembly's samples finish and the rest runs on and on")
def half(context: Any) -> None:
    bench = context.bench
    bench.wait(1)
    requests = [action.request for action in bench.dispatches()]
    for request in requests[::2]:
        bench.finish(request)
    bench.wait(60)
    bench.take(events.RunsLocated())
    bench.wait(600)


@then('the assembly runs at most {count:d} samples a second time')
def bounded(context: Any, count: int) -> None:
    hedges = [one for one in context.bench.dispatches() if one.hedge]
    assert 1 <= len(hedges) <= count, len(hedges)


@when("engines refuse the assembly's runs and ask for 2000 ms")
def refuse_all(context: Any) -> None:
    bench = context.bench
    for action in bench.dispatches():
        bench.refuse(action.request)
    context.first = len(bench.dispatches())
    bench.wait(5)


@then('no run of the assembly begins before 2 s and all begin within 3 s')
def paced(context: Any) -> None:
    again = context.bench.dispatches()[context.first :]
    assert len(again) >= 4, again
    begun = [context.bench.begun[action.request] for action in again[:4]]
    assert min(begun) >= 2, begun
    assert max(begun) <= 3 + TICK, begun


@when('engines refuse all but 4 runs of the assembly, which then hang')
def refuse_some(context: Any) -> None:
    bench = context.bench
    bench.wait(1)
    for action in bench.dispatches()[4:]:
        bench.refuse(action.request)
    context.first = len(bench.dispatches())
    bench.wait(30)


@then('every sample of the assembly has begun a run within 30 s')
def all_begun(context: Any) -> None:
    again = context.bench.dispatches()[context.first :]
    samples = {action.spec.sample for action in again}
    assert len(samples) >= 4, samples


@when('half of the assembly finishes on version 1 and version 3 is published')
def half_old(context: Any) -> None:
    bench = context.bench
    bench.wait(1)
    for action in bench.dispatches()[:4]:
        bench.finish(action.request)
    context.first = len(bench.dispatches())
    bench.take(events.VersionPublished(WeightVersion(3)))


@then('the assembly cancels 4 runs and begins 8 runs on version 3')
def replaced(context: Any) -> None:
    again = context.bench.dispatches()[context.first :]
    assert len(context.bench.of(actions.CancelRun)) == 4
    assert len({action.spec.sample for action in again}) == 8
    assert {action.version_floor for action in again} == {3}, again


def finish_all(bench: Bench) -> None:
    for run in list(bench.assembly.state.table.running()):
        bench.finish(run.request)


@when("the assembly's batch is committed and 10 versions are published")
def refreshed(context: Any) -> None:
    bench = context.bench
    bench.wait(1)
    finish_all(bench)
    bench.take(events.CommitDone(1))
    for _ in range(10):
        bench.version += 2
        bench.take(events.VersionPublished(WeightVersion(bench.version)))
        finish_all(bench)


@then('the assembly ran each sample 3 times')
def thrice(context: Any) -> None:
    times = Counter(action.spec.sample for action in context.bench.dispatches())
    assert set(times.values()) == {3}, times


@given("the assembly's view of versions with a bound of {bound:d}")
def a_view(context: Any, bound: int) -> None:
    context.publications = Publications()
    context.freshness = Freshness(bound, WeightVersion(0), context.publications)


@when('versions were published every {seconds:d} s up to {current:d}')
def were_published(context: Any, seconds: int, current: int) -> None:
    for version in range(1, current + 1):
        context.published_at = dt.timedelta(seconds=seconds * version)
        context.freshness.publish(WeightVersion(version))
        context.publications.note(WeightVersion(version), context.published_at)


@then('a run with {left:d} s to go prefers version {floor:d} {since:d} s later')
def prefers(context: Any, left: int, floor: int, since: int) -> None:
    until = context.published_at + dt.timedelta(seconds=since + left)
    found = context.freshness.floor(until)
    assert found == floor, found


@given("the assembly's batch of 300 samples of 4 KB and one of 900 KB")
def a_batch(context: Any) -> None:
    sizes = [900_000 if number == 150 else 4_000 for number in range(301)]
    context.batch = tuple(
        events.BatchSample(
            SampleId(f's{number}'),
            GroupId('g'),
            'x' * size,
            (VersionSpan(WeightVersion(1), 5),),
        )
        for number, size in enumerate(sizes)
    )


@then('each of its parts has at most {most:d} bytes, and all unpack alike')
def parts(context: Any, most: int) -> None:
    packed = pack(context.batch)
    sizes = [len(part) for part in packed.parts]
    assert max(sizes) <= most, sizes
    assert len(sizes) <= 6, sizes
    assert unpack(packed.parts) == context.batch
