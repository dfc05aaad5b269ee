"""Steps for bergamotdoor.jobs.forecast and the planner of open steps."""

from __future__ import annotations

import asyncio
import datetime as dt
import json
from typing import Any

import hypothesis
from behave import given, then, when
from hypothesis import strategies as st

from bergamotdoor.cli.ctl import Seen, status_lines
from bergamotdoor.jobs import RunEnd
from bergamotdoor.jobs.forecast import StepPlan, plan_steps
from bergamotdoor.jobs.open_work import (
    DEFAULT_EVENTS,
    OpenItem,
    OpenJob,
    estimate_remaining,
    mean_hint,
    usual_interval_s,
)
from bergamotdoor.types import GroupId, ItemId, JobId, UpstreamId
from features.steps.gateway_inspection_steps import read_page
from features.steps.jobs_progress_steps import WHERE, ms, queue_of, start_next
from features.support import logged
from lab.site import Site, at, play
from lab.wire import JobItem, job_body

#: Time within which a step of a site is due.
DUE_S = 7.5
#: Event interval in the inputs of the forecast.
EVENT_S = 0.1


def job_of(
    name: str,
    due_s: float,
    groups: list[list[int]],
    engines: str = 'a',
    target: int = 99,
    resubmitted: tuple[str, ...] = (),
) -> OpenJob:
    """Return a job with the events that the items of each group lack."""
    items = tuple(
        OpenItem(
            ItemId(f'{name}.{group}.{number}'),
            GroupId(f'g{group}'),
            events,
            EVENT_S,
        )
        for group, members in enumerate(groups)
        for number, events in enumerate(members)
    )
    return OpenJob(
        JobId(name),
        dt.timedelta(seconds=due_s),
        frozenset(map(UpstreamId, engines)),
        items,
        EVENT_S,
        EVENT_S,
        frozenset(map(GroupId, resubmitted)),
        max(target - len(resubmitted), 0),
    )


def uniform(items: int, events: int) -> list[int]:
    return [events for _ in range(items)]


def plan_of(*jobs: OpenJob, slots: int = 2) -> StepPlan:
    """Return the plan for jobs at engines that have `slots` slots each."""
    return plan_steps(jobs, {UpstreamId(name): slots for name in 'abc'})


def kept(plan: StepPlan, job: str) -> list[str]:
    return sorted(plan.forecasts[JobId(job)].kept)


def started(plan: StepPlan) -> list[str]:
    """Return the items of all jobs in the order in which they start."""
    ranks: dict[str, int] = {
        item: rank
        for places in plan.ranks.values()
        for item, rank in places.items()
    }
    assert sorted(ranks.values()) == list(range(len(ranks))), ranks
    return sorted(ranks, key=lambda item: ranks[item])


async def submit(site: Site, job: str, groups: list[list[int]]) -> None:
    """Submit a job whose hints are correct."""
    items = [
        JobItem(f'{job}.{group}.{number}', length, f'g{group}', hint=length)
        for group, members in enumerate(groups)
        for number, length in enumerate(members)
    ]
    body = job_body('/roll/', items, 1, len(groups))
    reply = await site.ask(
        'entry-0', 'POST', f'/roll/{job}', body, Request_Id=job
    )
    assert reply is not None and reply.status == 202, reply


async def start_shared(site: Site, **parts: int) -> None:
    """Start a site whose engines are registered with two models."""
    await site.start(**parts)
    for name, engine in site.engines.items():
        registered = engine.registration()
        registered['models'].append({'name': 'other', 'version': 1})
        site.store.put('servers', name, registered)
    await asyncio.sleep(1)


def start_of(site: Site, item: str) -> float:
    """Return when an item first reached an engine, in seconds."""
    return min(
        seen.at_s
        for engine in site.engines.values()
        for seen in engine.seen
        if seen.request == item
    )


@given('a site that runs a step of 64 items of 10 events')
@given('a site without work')
def site_groups(context: Any) -> None:
    working = 'without' not in context.scenario.steps[0].name
    context.first = [uniform(8, 10) for _ in range(8)] if working else []


@when(
    'a step with an item of {events:d} events is submitted half a second later'
)
@when('a step with an item of {events:d} events is submitted')
def long_item(context: Any, events: int) -> None:
    async def scene(site: Site) -> None:
        await start_shared(site)
        clock = asyncio.get_running_loop()
        if context.first:
            await submit(site, 'short', context.first)
            await asyncio.sleep(0.5)
        at_s = clock.time()
        await submit(site, 'long', [[events]])
        await asyncio.sleep(DUE_S)
        context.waited_s = start_of(site, 'long.0.0') - at_s
        context.listed = [
            len((await site.results('entry-0', job))['results'])
            for job in ('short', 'long')
            if context.first
        ]

    play(scene)


@then('the long item starts within {most_s:f} s')
def starts_soon(context: Any, most_s: float) -> None:
    assert context.waited_s <= most_s, context.waited_s


@then('the long item starts within {most_s:f} s and both steps are on time')
def both_on_time(context: Any, most_s: float) -> None:
    starts_soon(context, most_s)
    assert context.listed == [64, 1], context.listed


def groups_on_time(steps: int) -> int:
    """Return how many groups of these steps are listed when they are due."""
    # The items of a step together need 6.25 s of all eight slots.
    groups = [[20, 25, 30, 50] for _ in range(10)]

    async def scene(site: Site) -> int:
        await start_shared(site)
        jobs = [f'j{number}' for number in range(steps)]
        for job in jobs:
            await submit(site, job, groups)
        await asyncio.sleep(DUE_S)
        pages = [await site.results('entry-0', name) for name in jobs]
        return sum(len(page['results']) // 4 for page in pages)

    found: int = play(scene)
    return found


@given('a site that completes 10 of 10 groups on time')
def fits(_: Any) -> None:
    assert groups_on_time(1) == 10


@when('twice as many groups are submitted together')
def twice(context: Any) -> None:
    context.complete = groups_on_time(2)


@then('at least {least:d} of them are complete on time')
def least_complete(context: Any, least: int) -> None:
    assert context.complete >= least, context.complete


@given('a site whose route states no due time')
def no_due_time(context: Any) -> None:
    async def scene(site: Site) -> None:
        site.routes[0].pop('due_ms')
        await site.start(engines=1, entries=1)
        await submit(site, 'j', [[10], [10], [10], [10], [40], [40]])
        await asyncio.sleep(1)
        context.state = json.loads(await read_page(site, '/state'))
        context.waited_s = start_of(site, 'j.4.0') - start_of(site, 'j.3.0')

    play(scene)


@then('the long items of a job start first and it has no forecast')
def order_kept(context: Any) -> None:
    assert context.state['gateway']['jobs'][0]['forecast_s'] is None
    assert context.waited_s < 0, context.waited_s


@given('a site whose engines have the version before that of a job')
def about_to_load(context: Any) -> None:
    async def scene(site: Site) -> None:
        await start_shared(site, entries=1)
        await site.submit('entry-0', 'j', [[10], [20]], least=2)
        await asyncio.sleep(0.5)
        state = json.loads(await read_page(site, '/state'))
        context.job = state['gateway']['jobs'][0]

    play(scene)


@then('all groups of the job are kept and it has a forecast')
def kept_before_load(context: Any) -> None:
    assert context.job['kept_groups'] == 2, context.job
    assert context.job['forecast_s'] is not None, context.job


@given('a site whose step has groups that cannot end on time')
def operator_sees(context: Any) -> None:
    async def scene(site: Site) -> None:
        await start_shared(site, entries=1)
        # The seven groups fit into the slots, but not behind the late ones.
        on_time = [[150] for _ in range(7)]
        await submit(site, 'j', [[250], [240], [10], *on_time])
        await asyncio.sleep(0.8)
        context.pages = [
            await read_page(site, path) for path in ('/state', '/metrics')
        ]

    with logged('bergamotdoor.gateway') as told:
        play(scene)
        context.lines = told


@then('its state, ctl, a log line and counters show them once')
def seen_once(context: Any) -> None:
    state, metrics = context.pages
    seen = Seen(at(1), state.encode())
    lines = [line for line in status_lines((seen,)) if '  j: ' in line]
    assert '7 groups kept, 2 deferred, forecast 10.' in lines[0], lines
    told = [line for line in context.lines if 'groups kept' in line]
    assert 'job j: 8 of 10 groups kept, forecast' in told[0], told
    assert len(told) == 1, told
    for name, count in (('groups_deferred', 2), ('steps_forecast_late', 1)):
        line = f'bergamotdoor_{name}_total{{service=""}} {count}'
        assert line in metrics.split('\n'), metrics


@given('jobs of 12 groups of which half fit, on 2 slots')
def half_fits(context: Any) -> None:
    groups = [uniform(2, 10) for _ in range(6)]
    jobs = (job_of('x', 6, groups), job_of('y', 6, groups))
    context.plan = plan_of(*jobs)
    assert context.plan == plan_of(*jobs)


@then('the items of kept groups start first, the others group by group')
def group_by_group(context: Any) -> None:
    in_order = [item.rpartition('.')[0] for item in started(context.plan)]
    first = {
        f'{job}.{one[1:]}' for job in 'xy' for one in kept(context.plan, job)
    }
    assert len(first) == 6, first
    assert set(in_order[:12]) == first, in_order
    assert in_order[12::2] == in_order[13::2], in_order


@given('an overdue job beside a new one that fits')
def overdue(context: Any) -> None:
    old = job_of('old', -1, [[30], [10], [20]])
    context.plan = plan_of(old, job_of('new', 5, [[40, 40], [10, 5]]))


@then('all groups of the new one are kept and all others are deferred')
def only_new(context: Any) -> None:
    assert kept(context.plan, 'new') == ['g0', 'g1'], context.plan
    assert not kept(context.plan, 'old'), context.plan


@then('the overdue groups start in the order of their work')
def by_work(context: Any) -> None:
    assert started(context.plan)[4:] == ['old.1.0', 'old.2.0', 'old.0.0']


@given('a job whose target is 3 of 5 groups, with the longest resubmitted')
def beyond_target(context: Any) -> None:
    groups = [[40], [30], [20], [10], [35]]
    job = job_of('j', 4.5, groups, target=3, resubmitted=('g0',))
    context.plan = plan_of(job, slots=2)


@then('the resubmitted group and the 2 shortest are kept')
def needed_kept(context: Any) -> None:
    assert kept(context.plan, 'j') == ['g0', 'g2', 'g3'], context.plan


@given('a job with an item that takes longer than the time until it is due')
def too_long(context: Any) -> None:
    context.plan = plan_of(job_of('j', 5, [[51], [10], [49]]))


@then('only the group of that item is deferred, and the forecast is late')
def one_deferred(context: Any) -> None:
    forecast = context.plan.forecasts['j']
    assert forecast.deferred == {'g0'} and forecast.is_late, forecast
    assert started(context.plan)[-1] == 'j.0.0'


@given('such a job whose other groups fit behind that item')
def late_fits(context: Any) -> None:
    context.plan = plan_of(job_of('j', 5, [[10], [51], [9]]))


@then('all of its groups are kept, and the long item starts first')
def late_kept(context: Any) -> None:
    forecast = context.plan.forecasts['j']
    assert not forecast.deferred and forecast.is_late, forecast
    assert started(context.plan)[0] == 'j.1.0'


@given('jobs on engines of their own, of which one has too much work')
def own_engines(context: Any) -> None:
    full = job_of('full', 3, [uniform(2, 20) for _ in range(4)], engines='a')
    context.plan = plan_of(full, job_of('x', 4, [[30, 30]], engines='b'))


@then('only groups of that one are deferred')
def others_kept(context: Any) -> None:
    assert kept(context.plan, 'x') == ['g0'], context.plan
    assert len(kept(context.plan, 'full')) == 1, context.plan


@then('hints of 10, 0 and 30 events give 20, and no hint gives the default')
def mean_of_hints(_: Any) -> None:
    assert mean_hint([10, 0, 30]) == 20
    assert mean_hint([0, 0]) == DEFAULT_EVENTS


@then('an item that has outgrown its hint is expected to go on')
def outgrown(_: Any) -> None:
    assert estimate_remaining(20, 15, 0) == 5
    assert estimate_remaining(20, 30, 0) == 15
    assert estimate_remaining(20, 30, 34) == 4


@then('engines of 0 and 100 ms an event together take some time')
def no_interval(_: Any) -> None:
    interval_ms = 1000 * usual_interval_s([(4, 0), (4, 0.1)])
    assert 0 < round(interval_ms) < 100, interval_ms
    assert not usual_interval_s([])


@given('a queue whose last item moves to another engine')
def last_moves(context: Any) -> None:
    context.queue = queue_of([1, 1, 1])
    for _ in range(3):
        start_next(context.queue, ms(0))
    for item, end in zip('012', ('REFUSED', 'REFUSED', 'MOVED'), strict=True):
        context.queue.requeue_item(ItemId(item), RunEnd[end], WHERE, ms(0))


@when('the order of its items is set')
def set_order(context: Any) -> None:
    context.queue.set_order({'0': 7, '1': 3, '2': 9})


@then('the moved item is first and the others follow in that order')
def moved_first(context: Any) -> None:
    in_order = [start_next(context.queue, ms(0)) for _ in range(3)]
    assert in_order == ['2', '1', '0'], in_order


_GROUPS = st.lists(st.lists(st.integers(0, 60), min_size=1, max_size=3))
_JOBS = st.lists(
    st.tuples(
        st.integers(-1, 8),
        _GROUPS,
        st.sampled_from(['a', 'b', 'ab', 'bc', '']),
        st.integers(0, 5),
        st.sampled_from([(), ('g0',)]),
    ),
    max_size=5,
)


@then('this holds for any jobs, and the same input gives the same plan')
def invariants(_: Any) -> None:
    @hypothesis.settings(
        derandomize=True, max_examples=400, deadline=None, database=None
    )
    @hypothesis.given(_JOBS, st.integers(1, 4))
    def check(drawn: list[Any], slots: int) -> None:
        jobs = [job_of(str(number), *one) for number, one in enumerate(drawn)]
        plan = plan_of(*jobs, slots=slots)
        assert plan == plan_of(*reversed(jobs), slots=slots)
        items = [one.item for job in jobs for one in job.items]
        assert sorted(started(plan)) == sorted(items)
        more = plan_of(*jobs, slots=slots + 1)
        assert count_kept(more) >= count_kept(plan), (plan, more)

    check()


def count_kept(plan: StepPlan) -> int:
    return sum(len(one.kept) for one in plan.forecasts.values())
