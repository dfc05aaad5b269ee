"""Steps for the agent processes, in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Any

import msgspec
from behave import given, then, when

from bergamotdoor.agent.daemon import AgentDaemon
from bergamotdoor.fleet.model_assignment import ModelAssignment
from bergamotdoor.types import (
    ModelId,
    WeightVersion,
)
from features.fleet_scenes import publish, start_engine_with_agent, upstreams
from lab.site import Site, at, play

if TYPE_CHECKING:
    from lab.upstreams import Engine


async def wait_for_version(site: Site, engine: Engine, version: int) -> float:
    """Wait until an engine has a version; return the time in seconds."""
    began = site.clock.elapsed()
    while engine.version < version:
        await asyncio.sleep(0.05)
        assert site.clock.elapsed() - began < dt.timedelta(seconds=20)
    return (site.clock.elapsed() - began).total_seconds()


@given('an engine and its agent')
def engine_and_agent(context: Any) -> None:
    context.prepare = start_engine_with_agent


@given('an engine whose agent can no longer reach the store')
def engine_and_disconnected_agent(context: Any) -> None:
    async def prepare(site: Site) -> Engine:
        engine = await start_engine_with_agent(site)
        agent = site.agents['side-0']
        agent._access.direct.address = at(8999)
        site.store.cut_watches()
        return engine

    context.prepare = prepare


@when('version 2 is published')
def publish_new_version(context: Any) -> None:
    async def scene(site: Site) -> None:
        engine = await context.prepare(site)
        publish(site, 2)
        context.took_s = await wait_for_version(site, engine, 2)
        context.engine = engine

    play(scene)


@when('version 2 is published and the first order is delayed')
def delay_first_order(context: Any) -> None:
    async def scene(site: Site) -> None:
        engine = await context.prepare(site)
        engine.late_orders = 1
        publish(site, 2)
        context.took_s = await wait_for_version(site, engine, 2)
        context.engine = engine
        context.orders = len(engine.orders)
        await asyncio.sleep(6)
        context.orders_later = len(engine.orders)

    play(scene)


@when('version 2 is published, the agent restarts and version 3 is published')
def publish_around_restart(context: Any) -> None:
    async def scene(site: Site) -> None:
        engine = await context.prepare(site)
        publish(site, 2)
        await wait_for_version(site, engine, 2)
        await site.agents['side-0'].stop()
        await site.add_agent('side-0', engine)
        publish(site, 3)
        await wait_for_version(site, engine, 3)
        context.engine = engine

    play(scene)


@given('an engine whose agent starts after versions 2 to 5 were published')
def publish_before_start(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(engines=1, services=0, entries=1)
        for version in range(2, 6):
            publish(site, version)
        engine = site.engines['engine-0']
        await site.add_agent('side-0', engine)
        context.took_s = await wait_for_version(site, engine, 5)
        context.engine = engine

    play(scene)


@then(
    'the engine has version {version:d} within {max_s:d} s '
    'after {count:d} order'
)
def check_version(context: Any, version: int, max_s: int, count: int) -> None:
    assert context.took_s <= max_s, context.took_s
    assert context.engine.version == version
    assert len(context.engine.orders) == count, context.engine.orders


@then('the order contains its holder, a fencing token and the count of orders')
def check_order(context: Any) -> None:
    order = context.engine.orders[0]
    assert order['holder'] == 'side-0', order
    assert order['fence'] > 0, order
    assert order['expected'] == 0, order
    assert order['mode'] == 'retain', order


@then('the engine gets no order for 1 s')
def check_order_delay(context: Any) -> None:
    # Beside the delay, this is the load itself, 0.9 s, and the interval at
    # which the agent reads the report of the engine.
    min_s = 1.85
    assert context.took_s > min_s, context.took_s


@then('no older order takes effect later')
def check_no_later_order(context: Any) -> None:
    assert context.orders == context.orders_later == 1


@then('the tokens of the orders increase')
def check_tokens(context: Any) -> None:
    tokens = [order['fence'] for order in context.engine.orders]
    assert len(tokens) == 2, tokens
    assert tokens[0] < tokens[1], tokens


@given('5 registered engines of a service')
def five_engines(context: Any) -> None:
    context.listed = upstreams(5, versions={ModelId('m'): WeightVersion(1)})


@then(
    'their loads begin 1000, 1000, 1950, 1950 and 2900 ms '
    'after a version is published'
)
def check_turns(context: Any) -> None:
    delays = [
        ModelAssignment(context.listed, one.address).turn_delay(ModelId('m'))
        // dt.timedelta(milliseconds=1)
        for one in context.listed
    ]
    assert delays == [1000, 1000, 1950, 1950, 2900], delays


@given('a storage VM that is to be evacuated')
def evacuate_storage_vm(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(engines=0, services=0, entries=0)
        settings = msgspec.structs.replace(
            site.settings('storage-0', 9600), engine=None
        )
        agent = AgentDaemon(settings, site.clock)
        await agent.start()
        await asyncio.sleep(1)
        site.store.put('retirements', 'storage-0', {'duration_s': 10})
        await asyncio.sleep(1)
        context.status = site.store.table.objects['retirements']['storage-0'][
            'status'
        ]
        await agent.stop()

    play(scene)


@then('its evacuation is completed within 1 s')
def check_completed(context: Any) -> None:
    assert context.status == {'state': 'completed'}, context.status


@given('{engines:d} engines that {models:d} models share')
def shared_engines(context: Any, engines: int, models: int) -> None:
    names = [ModelId(f'm{number}') for number in range(models)]
    versions = {name: WeightVersion(1) for name in names}
    context.listed = upstreams(engines, versions=versions)
    context.models = names


@then('each model has {min_count:d} to {max_count:d} engines of its own')
def check_own_engines(context: Any, min_count: int, max_count: int) -> None:
    assignments = [
        ModelAssignment(context.listed, one.address) for one in context.listed
    ]
    assigned = [model for one in assignments for model in one.models()]
    counts = [assigned.count(model) for model in context.models]
    assert min_count <= min(counts), counts
    assert max(counts) <= max_count, counts


@then('the loss of one engine changes the models of {count:d} others at most')
def check_few_changes(context: Any, count: int) -> None:
    before = {
        one.upstream: ModelAssignment(context.listed, one.address).models()
        for one in context.listed
    }
    for lost in context.listed:
        remaining = [one for one in context.listed if one is not lost]
        changed = [
            one
            for one in remaining
            if ModelAssignment(remaining, one.address).models()
            != before[one.upstream]
        ]
        assert len(changed) <= count, changed


@then('the last of them begins to load within {max_s:d} s')
def check_last_turn(context: Any, max_s: int) -> None:
    delays = [
        ModelAssignment(context.listed, one.address).turn_delay(
            context.models[0]
        )
        for one in context.listed
    ]
    assert dt.timedelta() < max(delays) < dt.timedelta(seconds=max_s), delays


@given('a storage VM, a job that ended and one that is open')
def ended_and_open_job(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=1)
        settings = msgspec.structs.replace(
            site.settings('storage-0', 9600), engine=None
        )
        agent = AgentDaemon(settings, site.clock)
        await agent.start()
        for job in ('j1', 'j2'):
            await site.submit('entry-0', job, [[2, 2]])
            await site.all_results('entry-0', job)
        await site.ask('entry-0', 'DELETE', '/-/lots/j1')
        context.kinds = []
        for wait_s in (150, 110):
            await asyncio.sleep(wait_s)
            context.kinds.append(
                {
                    kind: len(objects)
                    for kind, objects in site.store.table.objects.items()
                    if kind.startswith('job')
                }
            )
        await agent.stop()

    play(scene)


@then('both are in the store 150 s later')
def check_both_stored(context: Any) -> None:
    found = context.kinds[0]
    assert found['jobs'] == 2, found
    assert found['job-j1'] > 1, found


@then('260 s later only the open one is in the store, with all its parts')
def check_only_open_stored(context: Any) -> None:
    found = context.kinds[1]
    assert found['jobs'] == 1, found
    assert found['job-j1'] == 0, found
    assert found['job-j2'] == context.kinds[0]['job-j2'], found


@when('version 2 is published, and version 3 {apart_ms:d} ms later')
def publish_two_versions(context: Any, apart_ms: int) -> None:
    async def scene(site: Site) -> None:
        engine = await context.prepare(site)
        publish(site, 2)
        await asyncio.sleep(apart_ms / 1000)
        publish(site, 3)
        context.took_s = await wait_for_version(site, engine, 3)
        context.engine = engine

    play(scene)


@then('the engine has version 3 at most {max_s:f} s after that')
def check_newest_version(context: Any, max_s: float) -> None:
    # The load itself takes 0.9 s.
    assert context.took_s <= max_s, context.took_s
    assert len(context.engine.orders) == 1, context.engine.orders
