"""Steps for upstreams that start again under their name."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from bergamotdoor.fleet.fleet import Fleet
from bergamotdoor.fleet.loads import Loads
from bergamotdoor.fleet.upstreams import Upstream, incarnation
from bergamotdoor.jobs import Progress, Speeds
from bergamotdoor.types import (
    ItemId,
    ModelId,
    RegistrationId,
    ServiceId,
    WeightVersion,
)
from features.fleet_scenes import publish, upstream, with_agent
from features.job_scenes import JOB, handed_in, lengths_of
from lab.site import Site, at, play

if TYPE_CHECKING:
    from lab.upstreams import Engine

NAME = RegistrationId('e0')
MODEL = ModelId('m')
SERVICE = ServiceId('lm')
NOW = dt.timedelta(seconds=50)


def started(second: int, port: int = 8100, version: int = 1) -> Upstream:
    start = dt.timedelta(seconds=second)
    return upstream(
        0,
        upstream=incarnation(NAME, start),
        started=start,
        address=at(port),
        versions={MODEL: WeightVersion(version)},
    )


def in_use(fleet: Fleet) -> list[int]:
    return [one.address.port for one in fleet.of_service(SERVICE)]


@given('an engine of which load, pace and weights are known')
def known(context: Any) -> None:
    context.loads = Loads()
    context.speeds = Speeds()
    context.fleet = Fleet((context.loads.forget, context.speeds.forget))
    first = started(1)
    context.fleet.put(first)
    context.fleet.saw(first.upstream, MODEL, WeightVersion(7))
    load = context.loads.of(first.upstream)
    load.enter()
    load.failed(NOW)
    progress = Progress(ItemId('i'), first.upstream, NOW, 50)
    for event in range(30):
        progress.advance(event, NOW + dt.timedelta(seconds=event / 5))
    context.speeds.learn(progress)
    context.usual_s = context.speeds.interval_s('nobody')


@when('it starts again under its name')
def starts_again(context: Any) -> None:
    context.second = started(2, version=3)
    context.fleet.put(context.second)


@then('it is an engine of which nothing is known')
def nothing_known(context: Any) -> None:
    name = context.second.upstream
    load = context.loads.of(name)
    assert load.in_flight == 0
    assert not load.resting(NOW)
    assert context.speeds.interval_s(name) < context.usual_s
    assert [one.upstream for one in context.fleet] == [name]


@then('it has the weights that it registers')
def registers(context: Any) -> None:
    assert context.fleet.version(context.second.upstream, MODEL) == 3


@given('an engine that has started again at another address')
def moved(context: Any) -> None:
    context.fleet = Fleet()
    context.fleet.put(started(1, 8100))
    context.fleet.put(started(2, 8200))


@when('the entry of its earlier start comes late')
def late(context: Any) -> None:
    context.fleet.put(started(1, 8100))


@then('requests go to the new address')
def new_address(context: Any) -> None:
    assert in_use(context.fleet) == [8200]


@then('that holds as well after its new entry was removed')
def removed(context: Any) -> None:
    context.fleet.remove(NAME)
    context.fleet.put(started(1, 8100))
    assert not in_use(context.fleet)
    context.fleet.put(started(2, 8200))
    assert in_use(context.fleet) == [8200]


@given('an engine whose entry tells no start')
def untold(context: Any) -> None:
    context.fleet = Fleet()
    context.fleet.put(started(0, 8100))


@then('requests go to it, and to its next start that does tell')
def both(context: Any) -> None:
    assert in_use(context.fleet) == [8100]
    context.fleet.put(started(2, 8200))
    assert in_use(context.fleet) == [8200]


@given('an engine that was replaced at its address')
def replaced(context: Any) -> None:
    context.fleet = Fleet()
    context.fleet.put(started(1, 8100))
    context.fleet.replaced(started(1).upstream)


@when('its old entry is written again, and then one of a new start')
def written_again(context: Any) -> None:
    context.fleet.put(started(1, 8100))
    context.before = in_use(context.fleet)
    context.fleet.put(started(2, 8200))


@then('requests go to the new start only')
def new_only(context: Any) -> None:
    assert not context.before
    assert in_use(context.fleet) == [8200]


async def start_again(site: Site, engine: Engine) -> None:
    """Crash an engine; it comes back under its name and registers."""
    await engine.restart(0.3)
    site.store.put('servers', engine.name, engine.registration())


@given(
    'a site whose first engine starts again {after_s:g} s after a step began'
)
def again_in_step(context: Any, after_s: float) -> None:
    context.groups = [[30, 30], [30, 30], [30, 30]]

    async def scene(site: Site) -> None:
        await site.start()
        engine = site.engines['engine-0']
        await handed_in(site, context.groups)
        await asyncio.sleep(after_s)
        context.before = len(engine.seen)
        await start_again(site, engine)
        context.results = await site.all_results('entry-1', JOB)
        await asyncio.sleep(1.5)
        seen = len(engine.seen)
        reply = await site.submit('entry-0', 'j2', context.groups)
        assert reply is not None
        await asyncio.sleep(1)
        context.next_runs = len(engine.seen) - seen

    play(scene)


@then("the step's results are whole and of the versions that made them")
def whole(context: Any) -> None:
    assert context.before, 'the engine had no item'
    lengths = lengths_of(context.groups)
    assert len(context.results) == len(lengths), context.results
    for result in context.results:
        item = result['id']
        events = range(1, lengths[item] + 1)
        text = '\n'.join(f'{item}/{number}' for number in events)
        assert result['text'] == text, result
        assert result['versions'] == [1], result


@then('the engine runs items of the next step')
def runs_next(context: Any) -> None:
    assert context.next_runs, context.next_runs


async def until(site: Site, holds: Any, most_s: float) -> float:
    began = site.clock.elapsed()
    while not holds():
        await asyncio.sleep(0.02)
        took_s = (site.clock.elapsed() - began).total_seconds()
        assert took_s < most_s, took_s
    return (site.clock.elapsed() - began).total_seconds()


@given('an engine with version 1 and its agent, and version 2 is published')
def published(context: Any) -> None:
    context.version = 2


@when('the engine starts again {when_ms:d} ms after it took the order')
def again_at_order(context: Any, when_ms: int) -> None:
    async def scene(site: Site) -> None:
        engine = await with_agent(site)
        publish(site, context.version)
        await until(site, lambda: engine.orders, 10)
        await asyncio.sleep(when_ms / 1000)
        await start_again(site, engine)
        context.took_s = await until(
            site, lambda: engine.version == context.version, 10
        )
        context.orders = list(engine.orders)

    play(scene)


@then('the engine has version 2 within {most_s:g} s of its new start')
def has_version(context: Any, most_s: float) -> None:
    assert context.took_s <= most_s, context.took_s
    assert all(order['expected'] == 0 for order in context.orders)


@given('an engine whose first order waits until it has started again')
def old_order(context: Any) -> None:
    async def scene(site: Site) -> None:
        engine = await with_agent(site)
        engine.late_orders = 1
        publish(site, 2)
        await until(site, lambda: not engine.late_orders, 10)
        publish(site, 3)
        await until(site, lambda: engine.version == 3, 10)
        await start_again(site, engine)
        await until(site, lambda: engine.version == 2, 10)
        context.took_s = await until(site, lambda: engine.version == 3, 10)

    play(scene)


@then(
    'the engine goes back to version 2 and has version 3 again within '
    '{most_s:g} s'
)
def back(context: Any, most_s: float) -> None:
    assert context.took_s <= most_s, context.took_s
