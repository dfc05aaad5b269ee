"""Steps for the planner of a service, in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
import json
from typing import TYPE_CHECKING, Any
from unittest import mock

import msgspec
from behave import given, then, when

from bergamotdoor.cli.ctl import Seen, status_lines
from bergamotdoor.entry.views import ManifestView
from bergamotdoor.http.messages import HttpResponse
from bergamotdoor.peers.demand_messages import DemandTold, PacesKnown
from bergamotdoor.steps.planned_service import planner_order
from bergamotdoor.types import ModelId, ServiceId, UpstreamId
from features.support import logged
from lab.client import Call
from lab.site import Site, at, play
from lab.store import StoreMode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bergamotdoor.calls.manifest import Route
    from bergamotdoor.jobs.messages import JobSpec

SERVICE = ServiceId('lm')
MODELS = ('a', 'b')


async def start_site(
    site: Site, entries: int, engines: int, models: tuple[str, ...]
) -> None:
    """Start entries and engines that are registered with several models."""
    await site.start(engines=engines, services=0, entries=entries)
    for name, engine in site.engines.items():
        register(site, name, engine.registration(), models)
    await asyncio.sleep(2)


def register(
    site: Site, name: str, registration: dict[str, Any], models: Any
) -> None:
    listed = [{'name': model, 'version': 1} for model in models]
    site.store.put('servers', name, {**registration, 'models': listed})


@given(
    'a site of {entries:d} entries and {engines:d} engines that 2 models share'
)
def shared_site(context: Any, entries: int, engines: int) -> None:
    context.models = MODELS if entries > 2 else ('m', 'other')
    context.preparations = []

    async def prepare(site: Site) -> None:
        await start_site(site, entries, engines, context.models)
        for preparation in context.preparations:
            preparation(site)

    context.prepare = prepare


@given('an unreadable object in place of the plan')
def unreadable_plan(context: Any) -> None:
    context.preparations.append(
        lambda site: site.store.put('plans', SERVICE, {'engines': 5})
    )


@given('a plan in force that gives each model 2 engines')
def even_plan(context: Any) -> None:
    def put(site: Site) -> None:
        names = [f'127.0.0.1:{8100 + number}' for number in range(4)]
        models = dict(zip(names, 'aabb', strict=True))
        site.store.put('plans', SERVICE, {'engines': models})

    context.preparations.append(put)


def planner_of(site: Site, rank: int = 0) -> str:
    """Return the name of an entry by its rank in the planners' order."""
    directory = next(iter(site.entries.values()))._access.directory
    return planner_order(SERVICE, directory.with_own)[rank]


async def tell(
    site: Site, demands: dict[str, float], last_s: int, *ranks: int
) -> None:
    """Tell demands to planners every 4 s, as the owners of models do."""
    for _ in range(last_s // 4):
        for rank in ranks or (0,):
            entry = site.entries[planner_of(site, rank)]
            for model, demand in demands.items():
                message = DemandTold(SERVICE, ModelId(model), demand, {})
                reply = await entry._components.peer_service.handle(message)
                assert isinstance(reply, PacesKnown), reply
        await asyncio.sleep(4)


def collect(context: Any, site: Site) -> None:
    context.plans = site.store.table.specs('plans')
    context.calls = [one for one in site.store.calls if '/plans' in one]
    #: Writes that took effect, those of the scene included.
    context.written = list(site.store.table.since('plans', 0))


def play_with(context: Any, act: Any) -> None:
    async def scene(site: Site) -> None:
        await context.prepare(site)
        await act(site)
        collect(context, site)

    play(scene)


@when('model b demands {times:d} times as much as model a for {last_s:d} s')
def tell_for_a_time(context: Any, times: int, last_s: int) -> None:
    async def act(site: Site) -> None:
        for name, engine in site.engines.items():
            await site.add_agent(f'side-{name}', engine)
        site.store.put('versions', 'b', {'model': 'b', 'version': 1})
        with logged('bergamotdoor') as lines:
            await tell(site, {'a': 10, 'b': 10 * times}, last_s)
            await asyncio.sleep(6)
            context.log = list(lines)
        port = site.ports[planner_of(site)] + 3
        pages = [
            await site.client.send(at(port), Call('GET', path, idempotent=True))
            for path in ('/state', '/metrics')
        ]
        context.pages = [page.body.decode() for page in pages if page]

    play_with(context, act)


@then('the plan gives model b {count:d} engines')
@then('the plan gives model b {count:d} engines after the store is back')
def check_plan(context: Any, count: int) -> None:
    engines = list(context.plans[SERVICE]['engines'].values())
    assert engines.count('b') == count, context.plans
    assert len(engines) == 4, context.plans


@then('the agent of the engine that the plan moved loads model b')
def check_agents(context: Any) -> None:
    found = [one for one in context.log if 'the engine loads' in one]
    changes = [one for one in found if 'before of no model' not in one]
    assert changes == ['agent: the engine loads versions of b, before of a']


@then('the state, the metrics and the log show the plan')
def check_shown(context: Any) -> None:
    state, metrics = context.pages
    plan = json.loads(state)['gateway']['plans'][0]
    assert plan['engines'] == {'a': 1, 'b': 3}, plan
    assert plan['demands']['b']['events_s'] == 30, plan
    assert 'bergamotdoor_plans_written_total{service="lm"} 1' in metrics
    assert 'bergamotdoor_engines_reassigned_total{service="lm"} 1' in metrics
    found = [one for one in context.log if 'plan of lm written' in one]
    assert len(found) == 1, context.log
    lines = '\n'.join(status_lines((Seen(at(1), state.encode()),)))
    assert 'plan of lm: engines a 1, b 3, revision' in lines, lines
    assert 'b: 30.0 events/s' in lines, lines


@then('fewer than {count:d} calls to the store were made for plans')
def check_calls(context: Any, count: int) -> None:
    # Beside the stale listings of the agents.
    found = [one for one in context.calls if 'stale' not in one]
    assert len(found) < count, found


@then('there is no plan in the store')
def check_no_plan_stored(context: Any) -> None:
    assert not context.plans, context.plans
    assert not context.written, context.written


@given('a site of 2 entries whose engines serve one model')
def site_of_one_model(context: Any) -> None:
    async def prepare(site: Site) -> None:
        await start_site(site, 2, 2, ('m',))
        for name, engine in site.engines.items():
            await site.add_agent(f'side-{name}', engine)

    context.prepare = prepare


@when('jobs run there')
def run_jobs(context: Any) -> None:
    async def act(site: Site) -> None:
        site.store.put('versions', 'm', {'model': 'm', 'version': 1})
        for number in range(4):
            await site.submit('entry-0', f'j{number}', [[2, 2]])
            await site.all_results('entry-0', f'j{number}')
        await asyncio.sleep(6)
        context.told = known_demands(site)

    play_with(context, act)


def known_demands(site: Site) -> dict[str, dict[str, float]]:
    """Return the demands that each entry knows, by entry and model."""
    return {
        name: {
            model: demand.events_s
            for state in entry._components.planner.states()
            for model, demand in state.demands.items()
        }
        for name, entry in site.entries.items()
    }


@then('no demand is told and no call to the store is made for plans')
def check_nothing_told(context: Any) -> None:
    assert not any(context.told.values()), context.told
    assert not context.calls, context.calls


@when('a trainer of model m submits steps of 8 items of 20 events, 4 s apart')
def submit_steps(context: Any) -> None:
    async def act(site: Site) -> None:
        planner = site.entries[planner_of(site)]
        upstream = next(iter(planner._context.fleet)).upstream
        told = DemandTold(SERVICE, ModelId('other'), 1, {upstream: 90})
        await planner._components.peer_service.handle(told)
        for number in range(3):
            await submit_step(site, planner_of(site), f'j{number}')
        context.told = known_demands(site)[planner_of(site)]
        context.intervals = [
            entry._context.speeds._learned_s.get(UpstreamId(upstream))
            for entry in site.entries.values()
        ]

    play_with(context, act)


@when('a trainer of model m submits a step without a due time')
def submit_undue_step(context: Any) -> None:
    batch_route = ManifestView.batch_route

    def undue_route(view: ManifestView, spec: JobSpec) -> Route | None:
        route = batch_route(view, spec)
        return route and msgspec.structs.replace(
            route, due_after=dt.timedelta()
        )

    async def act(site: Site) -> None:
        with mock.patch.object(ManifestView, 'batch_route', undue_route):
            await submit_step(site, planner_of(site, 1), 'j')
        planner = site.entries[planner_of(site)]._components.planner
        context.undue = set(planner._services[SERVICE].demand._undue_at)

    play_with(context, act)


@then('the planner knows that the demand of model m is not known')
def check_undue_told(context: Any) -> None:
    assert context.undue == {'m'}, context.undue


async def submit_step(site: Site, entry: str, job: str) -> None:
    lengths = [[20, 20, 20, 20], [20, 20, 20, 20]]
    await site.submit(entry, job, lengths)
    await site.all_results(entry, job)
    await asyncio.sleep(3)


@then('the planner knows a demand of {events_s:f} events per second')
def check_demand(context: Any, events_s: float) -> None:
    found = context.told['m']
    # Without hints an item counts as 1000 tokens, 58 in an event.
    assert abs(found - events_s) < 1 / 10, (found, events_s)


@then('the owner has learned the interval that another owner measured')
def check_learned(context: Any) -> None:
    assert context.intervals.count(90 / 1000), context.intervals


@when('the planner is killed and a trainer of model m submits a step')
def kill_planner(context: Any) -> None:
    async def act(site: Site) -> None:
        first = planner_of(site)
        context.second = planner_of(site, 1)
        await site.kill(first)
        await submit_step(site, context.second, 'j')
        context.told = known_demands(site)

    play_with(context, act)


@given(
    'a site of {entries:d} entries and {engines:d} engines of models m and '
    'other'
)
def larger_site(context: Any, entries: int, engines: int) -> None:
    async def prepare(site: Site) -> None:
        await start_site(site, entries, engines, ('m', 'other'))

    context.prepare = prepare


@when(
    'the first {count:d} planners are killed and a trainer of model m submits '
    '{steps:d} steps'
)
def kill_planners(context: Any, count: int, steps: int) -> None:
    async def act(site: Site) -> None:
        order = [planner_of(site, rank) for rank in range(count + 1)]
        for name in order[:count]:
            await site.kill(name)
        context.second = order[count]
        for number in range(steps):
            await submit_step(site, context.second, f'j{number}')
        context.told = known_demands(site)

    play_with(context, act)


@when('the demand of that model is told')
def tell_single(context: Any) -> None:
    async def act(site: Site) -> None:
        await tell(site, {'m': 10}, 12)

    play_with(context, act)


@then('no call to the store was made for plans')
def check_no_calls(context: Any) -> None:
    assert not context.calls, context.calls


@when(
    'the planner is of the previous release and a trainer of model m submits '
    'a step'
)
def previous_release(context: Any) -> None:
    async def act(site: Site) -> None:
        first = planner_of(site)
        context.second = planner_of(site, 1)
        handle = site.entries[first].other_entries

        async def reject_demand(request: Any) -> HttpResponse:
            body = await request.read_body(1_000_000)
            if b'DemandTold' in body:
                return HttpResponse(status=400)
            request.body = pieces(body)
            return await handle(request)

        server = site.entries[first]._servers._internal[1]
        server._handler = reject_demand
        await submit_step(site, context.second, 'j')
        context.told = known_demands(site)

    play_with(context, act)


async def pieces(body: bytes) -> AsyncIterator[bytes]:
    yield body


@then('the remaining entry knows its demand')
def check_remaining(context: Any) -> None:
    assert context.told[context.second].get('m'), context.told


@when('two entries are told the same demands for {last_s:d} s')
def tell_two(context: Any, last_s: int) -> None:
    async def act(site: Site) -> None:
        await tell(site, {'a': 10, 'b': 30}, last_s, 0, 1)

    play_with(context, act)


@then('the plan was written once')
def check_written_once(context: Any) -> None:
    assert len(context.written) == 1, context.written


@when('a planner decides from a plan that is replaced before it writes')
def write_late(context: Any) -> None:
    async def act(site: Site) -> None:
        planner = site.entries[planner_of(site)]._components.planner
        write = planner._store.write
        context.other = {'engines': {'127.0.0.1:8100': 'b'}}

        async def write_later(*args: Any) -> Any:
            site.store.put('plans', SERVICE, context.other)
            setattr(planner._store, 'write', write)  # noqa: B010
            context.outcome = await write(*args)
            context.kept = site.store.table.specs('plans')[SERVICE]
            return context.outcome

        setattr(planner._store, 'write', write_later)  # noqa: B010
        await tell(site, {'a': 10, 'b': 30}, 32)

    play_with(context, act)


@then('the plan of the other entry stays')
def check_kept(context: Any) -> None:
    assert context.kept == context.other, context.kept


@when('model b demands 3 times as much as model a while the store is down')
def tell_without_store(context: Any) -> None:
    async def act(site: Site) -> None:
        await tell(site, {'a': 10, 'b': 30}, 4)
        site.store.mode = StoreMode.BUSY
        await tell(site, {'a': 10, 'b': 30}, 40)
        assert not site.store.table.specs('plans')
        site.store.mode = StoreMode.UP
        await tell(site, {'a': 10, 'b': 30}, 16)

    play_with(context, act)


@when('the answer to the first write of a plan is lost')
def lose_answer(context: Any) -> None:
    async def act(site: Site) -> None:
        planner = site.entries[planner_of(site)]._components.planner
        write = planner._store.write

        async def write_without_answer(*args: Any) -> Any:
            site.store.write_faults.unanswered = 2
            setattr(planner._store, 'write', write)  # noqa: B010
            return await write(*args)

        setattr(planner._store, 'write', write_without_answer)  # noqa: B010
        await tell(site, {'a': 10, 'b': 30}, 60)

    play_with(context, act)


@when('only the demand of model b is told to another entry for {last_s:d} s')
def tell_fallback(context: Any, last_s: int) -> None:
    async def act(site: Site) -> None:
        await tell(site, {'b': 30}, last_s, 1)

    play_with(context, act)


@then('the plan was not changed')
def check_not_written(context: Any) -> None:
    assert len(context.written) == 1, (context.written, context.plans)


@then('the plan names the new engine, and the other one as before')
def check_restarted(context: Any) -> None:
    engines = context.plans[SERVICE]['engines']
    assert engines['127.0.0.1:8100'] == 'a', engines
    assert engines['127.0.0.1:8104'] == 'a', engines


@when('an engine is gone for {gone_s:d} s while the demands are 1 to 1')
def restart_engine(context: Any, gone_s: int) -> None:
    async def act(site: Site) -> None:
        await tell(site, {'a': 10, 'b': 10}, 20)
        site.store.remove('servers', 'engine-0')
        await site.add_engine('engine-4')
        added = site.engines['engine-4'].registration()
        register(site, 'engine-4', added, MODELS)
        await tell(site, {'a': 10, 'b': 10}, gone_s)
        engine = site.engines['engine-0']
        engine.born_ms += 1
        register(site, 'engine-0', engine.registration(), MODELS)
        await tell(site, {'a': 10, 'b': 10}, 20)

    play_with(context, act)
