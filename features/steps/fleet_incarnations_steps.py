"""Steps for upstreams that restart under the same name."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from bergamotdoor.fleet.fleet import Fleet
from bergamotdoor.fleet.loads import Loads
from bergamotdoor.fleet.upstreams import Upstream, incarnation_id
from bergamotdoor.jobs import Progress, Speeds
from bergamotdoor.types import (
    ItemId,
    ModelId,
    RegistrationId,
    ServiceId,
    WeightVersion,
)
from features.fleet_scenes import publish, start_engine_with_agent, upstream
from features.job_scenes import JOB, lengths_of, submit_job
from lab.site import Site, at, play

if TYPE_CHECKING:
    from lab.upstreams import Engine

NAME = RegistrationId('e0')
MODEL = ModelId('m')
SERVICE = ServiceId('lm')
NOW = dt.timedelta(seconds=50)


def engine_started(
    start_s: int, port: int = 8100, version: int = 1
) -> Upstream:
    start = dt.timedelta(seconds=start_s)
    return upstream(
        0,
        upstream=incarnation_id(NAME, start),
        started=start,
        address=at(port),
        versions={MODEL: WeightVersion(version)},
    )


def used_ports(fleet: Fleet) -> list[int]:
    return [one.address.port for one in fleet.of_service(SERVICE)]


@given('an engine whose load, speed and weights are known')
def known_engine(context: Any) -> None:
    context.loads = Loads()
    context.speeds = Speeds()
    context.fleet = Fleet((context.loads.forget, context.speeds.forget))
    first = engine_started(1)
    context.fleet.put(first)
    context.fleet.record_version(first.upstream, MODEL, WeightVersion(7))
    load = context.loads.of(first.upstream)
    load.begin_request()
    load.record_failure(NOW)
    progress = Progress(ItemId('i'), first.upstream, NOW, 50)
    for event in range(30):
        progress.advance(event, NOW + dt.timedelta(seconds=event / 5))
    context.speeds.add_intervals(progress)
    context.usual_s = context.speeds.interval_s('nobody')


@when('it starts again under its name')
def restart_engine(context: Any) -> None:
    context.restarted = engine_started(2, version=3)
    context.fleet.put(context.restarted)


@then('its load and speed are unknown')
def check_unknown(context: Any) -> None:
    name = context.restarted.upstream
    load = context.loads.of(name)
    assert load.in_flight == 0
    assert not load.is_in_backoff(NOW)
    assert context.speeds.interval_s(name) < context.usual_s
    assert [one.upstream for one in context.fleet] == [name]


@then('it has the weights that it registers')
def check_registered_weights(context: Any) -> None:
    assert context.fleet.version(context.restarted.upstream, MODEL) == 3


@given('an engine that has started again at another address')
def moved_engine(context: Any) -> None:
    context.fleet = Fleet()
    context.fleet.put(engine_started(1, 8100))
    context.fleet.put(engine_started(2, 8200))


@when('the registration of its earlier start arrives late')
def put_late_registration(context: Any) -> None:
    context.fleet.put(engine_started(1, 8100))


@then('requests are sent to the new address')
def check_new_address(context: Any) -> None:
    assert used_ports(context.fleet) == [8200]


@then('this holds as well after its new registration was removed')
def check_after_removal(context: Any) -> None:
    context.fleet.remove(NAME)
    context.fleet.put(engine_started(1, 8100))
    assert not used_ports(context.fleet)
    context.fleet.put(engine_started(2, 8200))
    assert used_ports(context.fleet) == [8200]


@given('an engine whose registration states no start')
def engine_without_start(context: Any) -> None:
    context.fleet = Fleet()
    context.fleet.put(engine_started(0, 8100))


@then('requests are sent to it, and to its next start if it states one')
def check_with_and_without_start(context: Any) -> None:
    assert used_ports(context.fleet) == [8100]
    context.fleet.put(engine_started(2, 8200))
    assert used_ports(context.fleet) == [8200]


@given('an engine whose address is used by another upstream')
def replaced_engine(context: Any) -> None:
    context.fleet = Fleet()
    context.fleet.put(engine_started(1, 8100))
    context.fleet.remove_replaced(engine_started(1).upstream)


@when('its old registration is written again, and then one of a new start')
def put_old_and_new(context: Any) -> None:
    context.fleet.put(engine_started(1, 8100))
    context.ports_before = used_ports(context.fleet)
    context.fleet.put(engine_started(2, 8200))


@then('requests are sent to the new start only')
def check_new_only(context: Any) -> None:
    assert not context.ports_before
    assert used_ports(context.fleet) == [8200]


async def start_again(site: Site, engine: Engine) -> None:
    """Crash an engine; it starts and registers again 0.3 s later."""
    await engine.restart(0.3)
    site.store.put('servers', engine.name, engine.registration())


@given(
    'a site whose first engine starts again {after_s:g} s after a step began'
)
def restart_in_step(context: Any, after_s: float) -> None:
    context.groups = [[30, 30], [30, 30], [30, 30]]

    async def scene(site: Site) -> None:
        await site.start()
        engine = site.engines['engine-0']
        await submit_job(site, context.groups)
        await asyncio.sleep(after_s)
        context.runs_before = len(engine.seen)
        await start_again(site, engine)
        context.results = await site.all_results('entry-1', JOB)
        await asyncio.sleep(1.5)
        runs = len(engine.seen)
        reply = await site.submit('entry-0', 'j2', context.groups)
        assert reply is not None
        await asyncio.sleep(1)
        context.next_runs = len(engine.seen) - runs

    play(scene)


@then("the step's results are complete and name the versions that made them")
def check_results(context: Any) -> None:
    assert context.runs_before, 'the engine had no item'
    lengths = lengths_of(context.groups)
    assert len(context.results) == len(lengths), context.results
    for result in context.results:
        item = result['id']
        events = range(1, lengths[item] + 1)
        text = '\n'.join(f'{item}/{number}' for number in events)
        assert result['text'] == text, result
        assert result['versions'] == [1], result


@then('the engine runs items of the next step')
def check_next_step(context: Any) -> None:
    assert context.next_runs, context.next_runs


async def wait_until(site: Site, holds: Any, timeout_s: float) -> float:
    """Wait until `holds` returns true, and return the time it took."""
    began = site.clock.elapsed()
    while not holds():
        await asyncio.sleep(0.02)
        took_s = (site.clock.elapsed() - began).total_seconds()
        assert took_s < timeout_s, took_s
    return (site.clock.elapsed() - began).total_seconds()


@given('an engine with version 1 and its agent, and version 2 is published')
def published_version(context: Any) -> None:
    context.version = 2


@when('the engine starts again {when_ms:d} ms after it accepted the order')
def restart_at_order(context: Any, when_ms: int) -> None:
    async def scene(site: Site) -> None:
        engine = await start_engine_with_agent(site)
        publish(site, context.version)
        await wait_until(site, lambda: engine.orders, 10)
        await asyncio.sleep(when_ms / 1000)
        await start_again(site, engine)
        context.took_s = await wait_until(
            site, lambda: engine.version == context.version, 10
        )
        context.orders = list(engine.orders)

    play(scene)


@then('the engine has version 2 within {max_s:g} s of its new start')
def check_version(context: Any, max_s: float) -> None:
    assert context.took_s <= max_s, context.took_s
    assert all(order['expected'] == 0 for order in context.orders)


@given('an engine whose first order is delayed until it has started again')
def delayed_order(context: Any) -> None:
    async def scene(site: Site) -> None:
        engine = await start_engine_with_agent(site)
        engine.late_orders = 1
        publish(site, 2)
        await wait_until(site, lambda: not engine.late_orders, 10)
        publish(site, 3)
        await wait_until(site, lambda: engine.version == 3, 10)
        await start_again(site, engine)
        await wait_until(site, lambda: engine.version == 2, 10)
        context.took_s = await wait_until(site, lambda: engine.version == 3, 10)

    play(scene)


@then(
    'the engine goes back to version 2 and has version 3 again within '
    '{max_s:g} s'
)
def check_corrected(context: Any, max_s: float) -> None:
    assert context.took_s <= max_s, context.took_s
