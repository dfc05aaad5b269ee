"""Steps for items under which engines end."""

from __future__ import annotations

import asyncio
import functools
import json
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from features.job_scenes import (
    JOB,
    other_entry,
    owner_of,
    run_headers,
    submit_job,
)
from features.support import logged
from lab.site import Site, play
from lab.upstreams import register
from lab.wire import JobItem, job_body

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lab.upstreams import Engine

#: Events of each item, which take two and a half seconds.
ITEM_EVENTS = 60
LONG_ITEM_EVENTS = 150
#: The item under which engines end by chance.
UNLUCKY_ITEM = 'unlucky'
#: The item that fails, or whose score call ends services.
FAULTY_ITEM = f'{JOB}.0.1'
#: The longest wait until an item is at an engine, and the pause between looks.
MOST_WAIT_S = 5
POLL_S = 0.01
#: Time between two crashes.
CRASH_PAUSE_S = 0.4


class CrashPlan:
    """A site whose engines register again after a crash.

    Parameters
    ----------
    engines
        Number of engines.
    """

    def __init__(self, engines: int) -> None:
        self.engines = engines
        #: Coroutine function that plays the scenario on the started site.
        self.scene: Any = None

    async def __call__(self, site: Site) -> Any:
        await site.start(self.engines, services=0)
        for engine in site.engines.values():
            engine.crashes.started_again = functools.partial(
                register, site.store, engine
            )
        return await self.scene(site)


def item_lengths(groups: int, items: int) -> list[list[int]]:
    return [[ITEM_EVENTS for _ in range(items)] for _ in range(groups)]


@given('a site with {engines:d} engines and a job with one item of a long text')
def long_item(context: Any, engines: int) -> None:
    context.plan = CrashPlan(engines)
    context.body = job_body('/roll/', items_with_long_one('g'), 1, 2)


def items_with_long_one(group: str) -> Iterator[JobItem]:
    yield JobItem(UNLUCKY_ITEM, LONG_ITEM_EVENTS, group)
    for number in range(3):
        yield JobItem(f'{group}.{number}', ITEM_EVENTS, 'other')


@given('a site with {engines:d} engines and a job of 4 items of one prompt')
def items_of_one_prompt(context: Any, engines: int) -> None:
    context.plan = CrashPlan(engines)
    items = [
        JobItem(f'{UNLUCKY_ITEM}{number}', LONG_ITEM_EVENTS, 'g')
        for number in ('', 1, 2, 3)
    ]
    written = json.loads(job_body('/roll/', items, 1, 1))
    for item in written['items']:
        item['path'] = '/roll/same'
        item['headers']['X-Bergamotdoor-Prompt-Prefix'] = 'a1:500,b2:16'
    context.body = json.dumps(written).encode()


async def submit(site: Site, name: str, body: bytes) -> None:
    reply = await site.ask(
        'entry-0', 'POST', f'/roll/{name}', body, Request_Id=name
    )
    assert reply is not None
    assert reply.status == 202, reply


async def end_engines_under_item(site: Site, count: int) -> None:
    """End engines by faults of their own while they run the item."""
    for _ in range(count):
        async with asyncio.timeout(MOST_WAIT_S):
            while not engines_with(site, UNLUCKY_ITEM):
                await asyncio.sleep(POLL_S)
        engine = engines_with(site, UNLUCKY_ITEM)[0]
        engine.crashes.begin(engine)
        await asyncio.sleep(CRASH_PAUSE_S)


def engines_with(site: Site, item: str) -> list[Engine]:
    return [one for one in site.engines.values() if item in one.running]


@when('{count:d} engines end while they run the item')
@when('{count:d} engines end while they run one of the items')
def engines_end_by_chance(context: Any, count: int) -> None:
    async def scene(site: Site) -> None:
        await submit(site, JOB, context.body)
        await end_engines_under_item(site, count)
        await asyncio.sleep(1)
        context.placed = {
            item for one in site.engines.values() for item in one.running
        }
        context.listed = await site.all_results('entry-0', JOB)

    context.plan.scene = scene
    play(context.plan)


@when(
    '{count:d} engines end while they run the item, and then its owner is '
    'killed'
)
def owner_killed(context: Any, count: int) -> None:
    async def scene(site: Site) -> None:
        await submit(site, JOB, context.body)
        await end_engines_under_item(site, count)
        owner = owner_of(site)
        await site.kill(owner)
        context.listed = await site.all_results(other_entry(site, owner), JOB)

    context.plan.scene = scene
    play(context.plan)


@when(
    '{count:d} engines end while they run the item, and it comes again in a '
    'new job'
)
def item_comes_again(context: Any, count: int) -> None:
    async def scene(site: Site) -> None:
        await submit(site, JOB, context.body)
        await end_engines_under_item(site, count)
        await site.ask('entry-0', 'DELETE', f'/-/lots/{JOB}')
        again = job_body('/roll/', items_with_long_one('again'), 1, 2)
        await submit(site, 'j2', again)
        await asyncio.sleep(1)
        context.placed = {
            item for one in site.engines.values() for item in one.running
        }

    context.plan.scene = scene
    play(context.plan)


@then('the item is at an engine again within 1 s')
def item_is_placed(context: Any) -> None:
    assert UNLUCKY_ITEM in context.placed, context.placed


@then('all {count:d} items are at engines within 1 s')
def items_are_placed(context: Any, count: int) -> None:
    assert len(context.placed) == count, context.placed


@then('all items are listed as completed')
def all_completed(context: Any) -> None:
    expected = {item['id'] for item in json.loads(context.body)['items']}
    listed = {one['id']: one['state'] for one in context.listed}
    assert set(listed) == expected, listed
    assert set(listed.values()) == {'completed'}, listed


@given(
    'a site with {engines:d} engines, one of which is gone but still registered'
)
def engine_gone(context: Any, engines: int) -> None:
    context.plan = CrashPlan(engines)


@when('a job of {groups:d} groups of {items:d} items runs for {run_s:d} s')
def runs_past_gone(context: Any, groups: int, items: int, run_s: int) -> None:
    async def scene(site: Site) -> None:
        await site.engines['engine-0'].stop()
        await submit_job(site, item_lengths(groups, items))
        await site.all_results('entry-0', JOB, run_s)
        context.known = [
            tuple(entry._context.quarantine) for entry in site.entries.values()
        ]

    context.plan.scene = scene
    with logged('bergamotdoor.gateway') as lines:
        play(context.plan)
        context.refused = [line for line in lines if 'not sent to' in line]


@then('items were refused a connection, and no entry knows of a strike')
def no_strikes(context: Any) -> None:
    assert context.refused
    assert not any(context.known), context.known


@given(
    'a site with {engines:d} engines and a job in which one item always fails'
)
def failing_item(context: Any, engines: int) -> None:
    context.plan = CrashPlan(engines)


@when(
    'its owner is {ended} after {count:d} failures, where the route allows '
    '{allowed:d}'
)
def owner_ended(context: Any, ended: str, count: int, allowed: int) -> None:
    async def scene(site: Site) -> None:
        site.routes[0]['max_attempts'] = allowed
        site.put_manifest()
        await asyncio.sleep(2.5)
        for engine in site.engines.values():
            engine.always_fail.add(FAULTY_ITEM)
        # The other item is too short for a save of its own.
        await submit_job(site, [[1, ITEM_EVENTS]])
        async with asyncio.timeout(10):
            while count_failures(site) < count:
                await asyncio.sleep(0.01)
        owner = owner_of(site)
        reader = other_entry(site, owner)
        if ended == 'stopped':
            stopping = asyncio.create_task(site.entries.pop(owner).stop())
        else:
            await site.kill(owner)
            stopping = asyncio.create_task(asyncio.sleep(0))
        context.listed = await site.all_results(reader, JOB, 30)
        await stopping
        context.failures = count_failures(site)

    context.plan.scene = scene
    play(context.plan)


def count_failures(site: Site) -> int:
    return sum(one.failures[FAULTY_ITEM] for one in site.engines.values())


@given(
    'a site with {engines:d} engines and a job in which one item can never run'
)
def impossible_item(context: Any, engines: int) -> None:
    context.plan = CrashPlan(engines)


@when('its owners are stopped one after the other, {count:d} in all')
def owners_stopped(context: Any, count: int) -> None:
    async def scene(site: Site) -> None:
        for number in range(count - 1):
            await site.add_entry(f'more-{number}')
        await asyncio.sleep(16)
        for engine in site.engines.values():
            engine.impossible.add(FAULTY_ITEM)
        await submit_job(site, [[LONG_ITEM_EVENTS, 1]])
        for _ in range(count):
            await asyncio.sleep(1)
            await site.entries.pop(owner_of(site)).stop()
        reader = next(iter(site.entries))
        context.listed = await site.all_results(reader, JOB, 30)
        context.runs = len(run_headers(site, FAULTY_ITEM))

    context.plan.scene = scene
    play(context.plan)


@then('the item was run {count:d} time, and is listed as lost')
def item_run_once(context: Any, count: int) -> None:
    check_lost(context)
    assert context.runs == count, context.runs


@then('the item fails {count:d} times, and is listed as lost')
def item_lost(context: Any, count: int) -> None:
    check_lost(context)
    assert context.failures == count, context.failures


@then('the item fails {most:d} times at most, and is listed as lost')
def item_lost_at_most(context: Any, most: int) -> None:
    check_lost(context)
    assert context.failures <= most, context.failures


def check_lost(context: Any) -> None:
    states = {one['id']: one['state'] for one in context.listed}
    assert states.get(FAULTY_ITEM) == 'lost', states


@given('a site whose service ends under the score call of one item')
def crashing_score(context: Any) -> None:
    context.plan = None


@when('its job runs for {run_s:d} s, and callers send calls all the time')
def scored_job(context: Any, run_s: int) -> None:
    async def scene(site: Site) -> None:
        await site.start(engines=3, services=3)
        for service in site.services.values():
            service.crashes.bodies.add(f'score {FAULTY_ITEM}'.encode())
            service.crashes.started_again = functools.partial(
                register, site.store, service
            )
        callers = asyncio.create_task(send_calls(site))
        await submit_job(site, item_lengths(3, 4), score_path='/score/')
        context.listed = await site.all_results('entry-0', JOB, run_s)
        callers.cancel()
        context.ends = sum(one.crashes.count for one in site.services.values())

    play(scene)


async def send_calls(site: Site) -> None:
    """Send a call to the same services every 0.1 s, until cancelled."""
    number = 0
    while True:
        number += 1
        await site.ask(
            'entry-1', 'POST', f'/book/{number}', b'x', Request_Id=str(number)
        )
        await asyncio.sleep(0.1)


@then('at most {most:d} services end under it')
def services_end(context: Any, most: int) -> None:
    assert 1 <= context.ends <= most, context.ends


@then('the texts of all other groups are listed with their scores')
def others_scored(context: Any) -> None:
    listed = {one['id']: one['score'] for one in context.listed}
    expected = {
        f'{JOB}.{group}.{item}' for group in (1, 2) for item in range(4)
    }
    assert set(listed) == expected, sorted(listed)
    assert all(listed.values()), listed
