"""Steps for bergamotdoor.fleet.capacity_plan and bergamotdoor.fleet.demand."""

from __future__ import annotations

import asyncio
import datetime as dt
import json
import math
import random
from itertools import repeat
from typing import Any
from unittest import mock

import hypothesis
import msgspec
from behave import given, then, when

from bergamotdoor.agent.assignment import AssignmentView
from bergamotdoor.fleet.capacity_plan import (
    CapacityPlan,
    PlanDecision,
    PlanInput,
    PlannedEngine,
    decide,
)
from bergamotdoor.fleet.demand import (
    ServiceDemand,
    StepDemands,
    ToldDemand,
    step_tokens,
)
from bergamotdoor.fleet.model_assignment import ModelAssignment
from bergamotdoor.objects.plan_store import StoredPlan
from bergamotdoor.steps.planned_service import PlannedService
from bergamotdoor.stored import Listing, Outcome, StoredObject
from bergamotdoor.types import ModelId, Revision, ServiceId, UpstreamId
from features.fleet_scenes import upstreams
from lab.site import Site, at, play
from lab.upstreams import Engine

draws = hypothesis.strategies
MODELS = [ModelId(f'm{number}') for number in range(4)]
SLOWER_EVENTS_S = 100
PLAN_MODULE = 'bergamotdoor.fleet.capacity_plan'


def engines(count: int, fast: int = 0) -> tuple[PlannedEngine, ...]:
    """Return engines; the fast ones are the first."""
    return tuple(
        PlannedEngine(f'e{number:02}', SLOWER_EVENTS_S * (1 + (number < fast)))
        for number in range(count)
    )


def even_of(planned: PlanInput) -> dict[str, ModelId]:
    """Return the assignment that agents compute without a plan."""
    models = sorted(planned.demands_events_s)
    count = len(planned.engines)
    return {
        engine.address: model
        for number, model in enumerate(models)
        for engine in planned.engines[
            number * count // len(models) : (number + 1) * count // len(models)
        ]
    }


def largest_ratio(planned: PlanInput, models: dict[str, ModelId]) -> float:
    """Return the largest ratio of demand to capacity of an assignment."""
    ratios = []
    for model, demand in planned.demands_events_s.items():
        capacity = sum(
            one.capacity_events_s
            for one in planned.engines
            if models.get(one.address) == model
        )
        ratios.append(demand / capacity if capacity else math.inf)
    return max(ratios)


def decisions(
    planned: PlanInput, plan: CapacityPlan | None
) -> list[PlanDecision]:
    """Return the decisions from a plan on until none changes."""
    made: list[PlanDecision] = []
    even = even_of(planned)
    decision = decide(planned, plan, even)
    while decision is not None:
        made.append(decision)
        assert len(made) < 200, made[-3:]
        decision = decide(
            planned, decision.plan, even, continuing=decision.is_partial
        )
    return made


@given('{count:d} engines, of which {fast:d} take half the time for an event')
def some_engines(context: Any, count: int, fast: int) -> None:
    context.planned = PlanInput(engines(count, fast), {})


@given('models that demand {listed} events per second')
@given('a model that demands {listed} events per second')
def demands(context: Any, listed: str) -> None:
    figures = [float(one) for one in listed.replace(' and', ',').split(',')]
    context.planned = msgspec.structs.replace(
        context.planned,
        demands_events_s=dict(zip(MODELS, figures, strict=False)),
    )


@given('the demand of the last {count:d} models is unknown')
def unknown_demand(context: Any, count: int) -> None:
    context.planned = msgspec.structs.replace(
        context.planned, unknown_models=frozenset(MODELS[-count:])
    )


@when('plans are made until none changes')
def make_plans(context: Any) -> None:
    context.made = decisions(context.planned, None)
    context.plan = context.made[-1].plan if context.made else None


@then('there is no plan')
def check_no_plan(context: Any) -> None:
    assert not decisions(context.planned, None)


@then(
    'the largest ratio is under that of the even assignment by {percent:d} % '
    'or more'
)
def check_ratio(context: Any, percent: int) -> None:
    before = largest_ratio(context.planned, even_of(context.planned))
    after = largest_ratio(context.planned, context.plan.engines)
    assert after <= before * (1 - percent / 100), (before, after)


@then('each plan moves {count:d} engines at most')
def check_moves(context: Any, count: int) -> None:
    moved = [one.moved for one in context.made]
    assert max(map(len, moved)) <= count, moved
    before = even_of(context.planned)
    for one in context.made:
        changed = {
            name
            for name, model in one.plan.engines.items()
            if before[name] != model
        }
        assert changed == set(one.moved), (changed, one.moved)
        before = one.plan.engines


@then('each model has an engine')
def check_engines(context: Any) -> None:
    assert math.isfinite(largest_ratio(context.planned, context.plan.engines))


@then('the model without demand has {count:d} engine')
def check_idle_model(context: Any, count: int) -> None:
    found = list(context.plan.engines.values())
    assert found.count(MODELS[3]) == count, found


@then('{last_s:d} s with {percent:d} % of noise change nothing')
def check_noise(context: Any, last_s: int, percent: int) -> None:
    for seed in range(2):
        check_noise_of(context, last_s, percent / 100, random.Random(seed))


def check_noise_of(
    context: Any, last_s: int, share: float, rng: random.Random
) -> None:
    """Check that no decision changes the plan, of one a second."""
    planned = context.planned
    models = even_of(planned)
    members = upstreams(len(models), versions=dict.fromkeys(MODELS, 1))
    renamed = {
        one.address: f'127.0.0.1:{member.address.port}'
        for one, member in zip(planned.engines, members, strict=True)
    }
    service = PlannedService()
    plan = None
    if context.plan is not None:
        models = context.plan.engines
        plan = CapacityPlan({renamed[at]: models[at] for at in models})
    service.use_plan(StoredPlan(plan, None), seconds(0))
    steps = StepDemands()
    for now in map(seconds, range(last_s)):
        model = MODELS[now.seconds % 4]
        noise = 1 + rng.uniform(-share, share)
        steps.add(model, planned.demands_events_s[model] * noise, now)
        measured = {
            member.upstream: 4000
            / one.capacity_events_s
            * (1 + rng.uniform(-share, share))
            for one, member in zip(planned.engines, members, strict=True)
            if models[one.address] == model
        }
        service.demand.tell(
            model, ToldDemand(steps.pop_due(model, now) or 0, measured, now)
        )
        decision = service.decide(members, now, is_first=True)
        assert decision is None, (now, decision)


def replace_engines(context: Any, changed: dict[str, PlannedEngine]) -> None:
    context.planned = msgspec.structs.replace(
        context.planned,
        engines=tuple(
            changed.get(one.address, one) for one in context.planned.engines
        ),
    )


@when('one engine is replaced by another one shortly after the last plan')
def replace_one_engine(context: Any) -> None:
    replace_engines(context, {'e21': PlannedEngine('new', SLOWER_EVENTS_S)})


@then('the next plan names the new engine and moves no other')
def check_added(context: Any) -> None:
    decision = decide(
        context.planned,
        context.plan,
        even_of(context.planned),
        may_move=False,
    )
    assert decision is not None
    assert decision.added == ('new',), decision
    assert not decision.moved, decision
    remaining = dict(context.plan.engines)
    remaining.pop('e21')
    named = dict(decision.plan.engines)
    named.pop('new')
    assert named == remaining, (named, remaining)


@when('the only engine of a model is gone shortly after the last plan')
def lose_only_engine(context: Any) -> None:
    context.planned = msgspec.structs.replace(
        context.planned,
        engines=tuple(
            one
            for one in context.planned.engines
            if context.plan.engines[one.address] != MODELS[3]
        ),
    )


@then('each model has an engine after the next plan')
def check_engine_again(context: Any) -> None:
    decision = decide(
        context.planned,
        context.plan,
        even_of(context.planned),
        may_move=False,
    )
    assert decision is not None
    found = largest_ratio(context.planned, decision.plan.engines)
    assert math.isfinite(found), decision


@when('all engines of the model with most engines but one drain')
def drain_engines(context: Any) -> None:
    of_model = list(context.plan.engines.values())
    context.model = max(MODELS, key=of_model.count)
    names = [
        name
        for name, model in context.plan.engines.items()
        if model == context.model
    ]
    context.draining = names[1:]
    assert context.draining, context.plan
    replace_engines(
        context, {name: PlannedEngine(name, 0) for name in context.draining}
    )


@then('the next plans leave these as they are and give the model another')
def check_draining(context: Any) -> None:
    last = decisions(context.planned, context.plan)[-1].plan.engines
    assert {last[name] for name in context.draining} == {context.model}
    active = [name for name in last if name not in context.draining]
    found = [name for name in active if last[name] == context.model]
    assert len(found) >= 2, last


@then('the first model gets an engine of another one if it has none')
def check_unknown_givers(context: Any) -> None:
    start = {
        address: MODELS[1] if model == MODELS[0] else model
        for address, model in even_of(context.planned).items()
    }
    decision = decide(context.planned, CapacityPlan(start), start)
    assert decision is not None
    assert MODELS[0] in decision.plan.engines.values(), decision


@then('only one engine moves to a model without one while none may move')
def check_missing_only(context: Any) -> None:
    start = {
        address: MODELS[1] if model == MODELS[0] else model
        for address, model in even_of(context.planned).items()
    }
    decision = decide(
        context.planned, CapacityPlan(start), start, may_move=False
    )
    assert decision is not None
    assert len(decision.moved) == 1, decision
    assert not decision.is_partial, decision


@then('engines are held for {held_s:d} s after their move')
def check_held(context: Any, held_s: int) -> None:
    members = upstreams(22, versions=dict.fromkeys(MODELS, 1))
    service = PlannedService()
    service.use_plan(StoredPlan(), seconds(0))
    moved: dict[str, dt.timedelta] = {}
    again = 0
    for now in map(seconds, range(300)):
        # The demands change places while their plan is still being made.
        demands = (
            [20, 20, 300, 20] if now.seconds % 40 < 20 else [300, 20, 20, 20]
        )
        for model, demand in zip(MODELS, demands, strict=True):
            for _ in range(16):
                service.demand.tell(model, ToldDemand(demand, {}, now))
        decision = service.decide(members, now, is_first=True)
        if decision is None:
            continue
        stored = StoredPlan(decision.plan, Revision(now.seconds + 1))
        service.use_written(stored, decision, now)
        for address in decision.moved:
            again += address in moved
            before = moved.pop(address, seconds(-held_s))
            assert now - before >= seconds(held_s), (now, before)
            moved[address] = now
    assert again, moved


@then('the rest of a change is made only for a gain of {percent:d} %')
def check_least_gain(context: Any, percent: int) -> None:
    planned = PlanInput(engines(40), {MODELS[0]: 104, MODELS[1]: 96})
    even = even_of(planned)
    decision = decide(planned, CapacityPlan(even), even, continuing=True)
    assert decision is None, decision
    more = PlanInput(engines(40), {MODELS[0]: 112, MODELS[1]: 88})
    decision = decide(more, CapacityPlan(even), even, continuing=True)
    assert decision is not None
    assert decision.ratio_after <= decision.ratio_before * (1 - percent / 100)


def uneven_plan(count: int) -> tuple[PlanInput, CapacityPlan]:
    """Return engines of any speed, and a plan that serves a model badly."""
    rng = random.Random(1)
    models = [ModelId(f'm{number}') for number in range(9)]
    planned = PlanInput(
        tuple(
            PlannedEngine(f'e{number:03}', rng.uniform(80, 240))
            for number in range(count)
        ),
        {model: rng.uniform(50, 250) for model in models},
    )
    return planned, CapacityPlan(even_of(planned))


@then('a plan of {count:d} engines and 9 models compares few exchanges')
def check_comparisons(context: Any, count: int) -> None:
    planned, plan = uneven_plan(count)
    compared: list[float] = []

    def counted(demand_events_s: float, capacity: int) -> float:
        # Every pair of engines would be compared in each of 87 changes
        # otherwise.
        assert len(compared) < 20_000
        compared.append(demand_events_s)
        return demand_events_s * 1000 / capacity

    with mock.patch(f'{PLAN_MODULE}._ratio', counted):
        decision = decide(planned, plan, plan.engines)
    assert decision is not None
    assert decision.ratio_after < decision.ratio_before * 0.85, decision


@then('there is no search where no assignment can gain enough')
def check_no_search(_: Any) -> None:
    planned = PlanInput(engines(22), {MODELS[0]: 110, MODELS[1]: 100})
    even = even_of(planned)
    with mock.patch(
        f'{PLAN_MODULE}._Assignment.improve', side_effect=AssertionError
    ):
        assert decide(planned, None, even) is None
        assert decide(planned, CapacityPlan(even), even) is None


def unknown_at(
    service: PlannedService, now: dt.timedelta, version: int
) -> frozenset[ModelId]:
    """Return the unknown models after m0 was told; m1 has a version."""
    members = upstreams(4, versions={MODELS[0]: 1, MODELS[1]: version})
    service.demand.tell(MODELS[0], ToldDemand(5, {}, now))
    return service.plan_input(members, now, is_first=True).unknown_models


@then(
    'a model that is not told is unknown for {last_s:d} s after its version '
    'rose'
)
def check_risen(_: Any, last_s: int) -> None:
    service = PlannedService()
    unknown_at(service, seconds(0), 1)
    for number in range(1, 21):
        found = unknown_at(service, seconds(4 * number), number)
        assert found == {MODELS[1]}, (number, found)
    assert unknown_at(service, seconds(80 + last_s), 20) == {MODELS[1]}
    assert not unknown_at(service, seconds(81 + last_s), 20)


@then('a model is unknown for {last_s:d} s after it is told with a demand of 0')
def check_undue(_: Any, last_s: int) -> None:
    service = PlannedService()
    for number in range(11):
        unknown_at(service, seconds(4 * number), 1)
    service.demand.tell(MODELS[1], ToldDemand(0, {}, seconds(40)))
    assert unknown_at(service, seconds(40 + last_s), 1) == {MODELS[1]}
    assert not unknown_at(service, seconds(41 + last_s), 1)


@then(
    'in {count:d} cases the same input gives the same plan, every model has '
    'an engine, few engines move and the plans end'
)
def check_properties(_: Any, count: int) -> None:
    capacities = draws.floats(1, 400)
    members = draws.lists(capacities, min_size=1, max_size=14)
    demanded = draws.lists(
        draws.one_of(draws.just(float(0)), draws.floats(0.1, 1000)),
        min_size=1,
        max_size=4,
    )
    starts = draws.lists(draws.integers(0, 5), max_size=14)

    @hypothesis.settings(
        derandomize=True, max_examples=count, deadline=None, database=None
    )
    @hypothesis.given(members, demanded, draws.none() | starts)
    def check(
        capacity: list[float], demand: list[float], start: list[int] | None
    ) -> None:
        planned = PlanInput(
            tuple(
                PlannedEngine(f'e{number:02}', one)
                for number, one in enumerate(capacity)
            ),
            dict(zip(MODELS, demand, strict=False)),
        )
        check_plans(planned, start)

    check()


def check_plans(planned: PlanInput, start: list[int] | None) -> None:
    """Check the plans from an earlier one on, which may name any model."""
    plan = None
    if start is not None:
        plan = CapacityPlan(
            {f'e{at:02}': ModelId(f'm{one}') for at, one in enumerate(start)}
        )
    made = decisions(planned, plan)
    assert made == decisions(planned, plan)
    before = math.inf
    for one in made:
        assert len(one.moved) <= max(2, len(planned.engines) // 8), one
        assert one.ratio_after <= min(one.ratio_before, before), one
        before = one.ratio_after
        assert one.plan.engines.keys() == {
            engine.address for engine in planned.engines
        }
    if made:
        assert math.isfinite(largest_ratio(planned, made[-1].plan.engines))


def seconds(count: float) -> dt.timedelta:
    return dt.timedelta(seconds=count)


@given('steps of 10 and 20 events per second, 14 s apart')
def two_steps(context: Any) -> None:
    context.steps = StepDemands()
    context.steps.add(MODELS[0], 10, seconds(0))
    assert context.steps.pop_due(MODELS[0], seconds(0)) == 10
    context.steps.add(MODELS[0], 20, seconds(14))


@then('the second demand is told as 20, and one 2 s later of 5 as 20')
def check_told(context: Any) -> None:
    assert context.steps.pop_due(MODELS[0], seconds(14)) == 20
    context.steps.add(MODELS[0], 5, seconds(15))
    assert context.steps.pop_due(MODELS[0], seconds(15)) is None
    assert context.steps.pop_due(MODELS[0], seconds(16)) == 20


@then('a step of 5 after 20 s more is told as 5')
def check_told_later(context: Any) -> None:
    context.steps.add(MODELS[0], 5, seconds(36))
    assert context.steps.pop_due(MODELS[0], seconds(36)) == 5


@then('items of 100, 300, no and no tokens count as 800')
def check_tokens(_: Any) -> None:
    assert step_tokens([100, 300, 0, 0]) == 800
    assert step_tokens([0, 0]) == 2 * step_tokens([0])
    assert step_tokens([0]) > 0


@given('the owner of a model tells a demand of 5 and an interval of 40 ms')
def tell_demand(context: Any) -> None:
    context.demand = ServiceDemand()
    told = ToldDemand(5, {UpstreamId('e'): 40}, seconds(100))
    context.demand.tell(MODELS[0], told)


@then('the owner of another model hears of it for 15 s, and its own does not')
def check_heard(context: Any) -> None:
    heard = context.demand.intervals_ms
    assert heard(seconds(115), MODELS[1]) == {UpstreamId('e'): 40}
    assert not heard(seconds(115), MODELS[0])
    assert not heard(seconds(116), MODELS[1])


@then('the demand is settled after 8 s')
def check_settled(context: Any) -> None:
    assert not context.demand.is_settled(seconds(107))
    assert context.demand.is_settled(seconds(108))
    assert not ServiceDemand().is_settled(seconds(1000))


@then('the model has a demand for 30 s')
def check_lifetime(context: Any) -> None:
    context.demand.remove_expired(seconds(130))
    assert context.demand.demands_events_s(MODELS[:2]) == {'m0': 5, 'm1': 0}
    context.demand.remove_expired(seconds(131))
    assert context.demand.demands_events_s(MODELS[:1]) == {'m0': 0}


@then('other models are unknown for 30 s from the first demand on')
def check_unknown(context: Any) -> None:
    tell_demand(context)
    unknown = context.demand.unknown_models
    assert unknown(MODELS[:2], seconds(130)) == {MODELS[1]}
    assert not unknown(MODELS[:2], seconds(131))


@then('figures that are not positive are ignored')
def check_figures(context: Any) -> None:
    bad = ToldDemand(math.nan, {}, seconds(101))
    context.demand.tell(MODELS[1], bad)
    assert MODELS[1] not in context.demand.last_told
    listed = {UpstreamId('a'): float(0), UpstreamId('b'): math.inf}
    context.demand.tell(MODELS[1], ToldDemand(1, listed, seconds(101)))
    assert not context.demand.last_told[MODELS[1]].intervals_ms


def assignments(context: Any, **plan: str) -> list[ModelAssignment]:
    """Return the assignment at each engine; the plan names them e0 to e5."""
    keys = [f'{one.address.ip}:{one.address.port}' for one in context.listed]
    engine_models = {
        keys[int(name[1:])]: ModelId(model) for name, model in plan.items()
    }
    plans = {ServiceId('lm'): CapacityPlan(engine_models)}
    return [
        ModelAssignment(context.listed, one.address, plans)
        for one in context.listed
    ]


def named(found: list[ModelAssignment]) -> list[str]:
    return [','.join(sorted(one.models())) for one in found]


@then('an engine that the plan names with a model loads that model')
def check_followed(context: Any) -> None:
    found = assignments(
        context, e0='m1', e1='m1', e2='m0', e3='m0', e4='m1', e5='m1'
    )
    assert named(found) == ['m1', 'm1', 'm0', 'm0', 'm1', 'm1']


@then('engines without a place in the plan are assigned evenly')
def check_unnamed(context: Any) -> None:
    found = assignments(context, e0='m1')
    assert named(found) == ['m1', 'm0', 'm0', 'm1', 'm1', 'm1']


@then('a model in the plan that is no longer registered has no effect')
def check_gone_model(context: Any) -> None:
    found = assignments(context, e0='gone', e5='m0')
    assert named(found) == ['m0', 'm0', 'm0', 'm1', 'm1', 'm0']
    few = [upstreams(1, versions={MODELS[0]: 1, MODELS[1]: 1})[0]]
    context.listed = few
    assert named(assignments(context, e0='m0')) == ['m0,m1']


@then('turns count the engines of the same model in the plan')
def check_plan_turns(context: Any) -> None:
    context.listed = upstreams(6, versions={MODELS[0]: 1, MODELS[1]: 1})
    found = assignments(
        context, e0='m1', e1='m1', e2='m0', e3='m0', e4='m1', e5='m1'
    )
    delays = [
        one.turn_delay(MODELS[1]) // dt.timedelta(milliseconds=1)
        for one in found
    ]
    assert delays == [1000, 1000, 0, 0, 1950, 1950], delays


@then('an engine that drains is planned without capacity')
def check_drained_capacity(_: Any) -> None:
    members = upstreams(2, versions=dict.fromkeys(MODELS[:2], 1))
    members[1] = msgspec.structs.replace(members[1], draining=True)
    planned = PlannedService().plan_input(members, seconds(0), is_first=True)
    assert [one.capacity_events_s for one in planned.engines] == [100, 0]


@then('plans that move engines are written at least 8 s apart until none is')
def check_pace(_: Any) -> None:
    members = upstreams(22, versions=dict.fromkeys(MODELS, 1))
    service = PlannedService()
    service.use_plan(StoredPlan(), seconds(0))
    written: list[dt.timedelta] = []
    for now in map(seconds, range(200)):
        for model, demand in zip(MODELS, (300, 20, 20, 20), strict=True):
            service.demand.tell(model, ToldDemand(demand, {}, now))
        decision = service.decide(members, now, is_first=True)
        if decision is not None:
            written.append(now)
            stored = StoredPlan(decision.plan, Revision(len(written)))
            service.use_written(stored, decision, now)
            assert len(decision.moved) <= 2, decision
    gaps = [
        later - earlier
        for earlier, later in zip(written, written[1:], strict=False)
    ]
    assert len(gaps) > 2, written
    assert min(gaps) >= seconds(8), written
    assert written[-1] < seconds(150), written


class PlansUnavailable:
    """Store whose plans can be listed once only."""

    def __init__(self, registrations: Listing, plans: Listing) -> None:
        self.answers = {
            'servers': [registrations, registrations],
            'plans': [plans],
        }

    async def listing(self, kind: str, **_: Any) -> Listing | Outcome:
        """Return the next answer, or that there is none."""
        answers = self.answers[kind]
        return answers.pop() if answers else Outcome.NOT_DONE


@then('an agent that cannot list the plans again keeps those that it has')
def check_kept_plans(_: Any) -> None:
    async def scene(site: Site) -> None:
        registration = {
            **Engine('e', 'lm', at(8100), site.clock).registration(),
            'models': [{'name': 'm0'}, {'name': 'm1'}],
        }
        other = {**registration, 'address': '127.0.0.1:8101'}
        store: Any = PlansUnavailable(
            listing_of(e=registration, f=other),
            listing_of(lm={'engines': {'127.0.0.1:8100': 'm1'}}),
        )
        view = AssignmentView(store, at(8100), site.clock)
        for _ in range(2):
            await view.refresh()
            assert view.current.models() == {'m1'}
            await asyncio.sleep(5)
        assert not store.answers['servers']

    play(scene)


class PlansLater(PlansUnavailable):
    """Store whose plans can be listed from some attempt on."""

    def __init__(self, registrations: Listing, plans: Listing) -> None:
        super().__init__(registrations, plans)
        self.failures = 0

    async def listing(self, kind: str, **_: Any) -> Listing | Outcome:
        """Return the listing, or that there is none."""
        if kind == 'plans' and self.failures:
            self.failures -= 1
            return Outcome.NOT_DONE
        return self.answers[kind][0]


async def models_in_time(
    site: Site, failures: int, last_s: int
) -> list[set[ModelId]]:
    """Return the models of an agent that starts, second by second."""
    registration = {
        **Engine('e', 'lm', at(8100), site.clock).registration(),
        'models': [{'name': 'm0'}, {'name': 'm1'}],
    }
    store: Any = PlansLater(
        listing_of(
            e=registration, f={**registration, 'address': '127.0.0.1:8101'}
        ),
        listing_of(lm={'engines': {'127.0.0.1:8100': 'm1'}}),
    )
    store.failures = failures
    view = AssignmentView(store, at(8100), site.clock)
    found = []
    for _ in range(last_s):
        await view.refresh()
        found.append(set(view.current.models()))
        await asyncio.sleep(1)
    return found


@then('an agent that cannot list plans has no model until it can')
def check_plans_awaited(_: Any) -> None:
    async def scene(site: Site) -> None:
        found = await models_in_time(site, 3, 6)
        expected = [*repeat(set(), 3), *repeat({'m1'}, 3)]
        assert found == expected, found

    play(scene)


@then('it uses the even assignment after {wait_s:d} s without a listing')
def check_plans_missing(_: Any, wait_s: int) -> None:
    async def scene(site: Site) -> None:
        found = await models_in_time(site, 1000, wait_s + 2)
        expected = [*repeat(set(), wait_s), *repeat({'m0'}, 2)]
        assert found == expected, found

    play(scene)


@then('a demand is in the state for {last_s:d} s')
def check_shown_demands(_: Any, last_s: int) -> None:
    service = PlannedService()
    service.demand.tell(MODELS[0], ToldDemand(5, {}, seconds(0)))
    assert service.state(ServiceId('lm'), seconds(last_s)).demands
    assert not service.state(ServiceId('lm'), seconds(last_s + 1)).demands


def heard_intervals(*told: dict[str, float]) -> dict[UpstreamId, float]:
    """Return the intervals of engines of which owners told."""
    demand = ServiceDemand()
    for number, intervals_ms in enumerate(told):
        listed = {UpstreamId(one): ms for one, ms in intervals_ms.items()}
        demand.tell(MODELS[number % 4], ToldDemand(5, listed, seconds(0)))
    return demand.intervals_ms(seconds(1))


@then('an interval under a quarter of the median of all engines is ignored')
def check_least_interval(_: Any) -> None:
    found = heard_intervals({'a': 40, 'b': 44, 'c': 11, 'd': 0.01, 'e': 40})
    assert found == {'a': 40, 'b': 44, 'c': 11, 'e': 40}, found
    found = heard_intervals({'a': 40, 'b': 44, 'c': 40}, {'a': 0.01})
    assert found == {'a': 40, 'b': 44, 'c': 40}, found


@then('the interval of an engine is the median of what was told')
def check_median_interval(_: Any) -> None:
    found = heard_intervals({'a': 40}, {'a': 400}, {'a': 44})
    assert found == {'a': 44}, found
    assert not heard_intervals()


def listing_of(**specs: Any) -> Listing:
    """Return objects by their names."""
    return Listing(
        tuple(
            StoredObject(name, Revision(1), json.dumps(spec).encode())
            for name, spec in specs.items()
        ),
        Revision(1),
    )
