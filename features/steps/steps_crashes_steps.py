"""Steps for items under which engines end."""

from __future__ import annotations

import asyncio
import functools
import json
from typing import Any

from behave import given, then, when

from bergamotdoor.jobs.messages import ItemSpec, JobSpec
from bergamotdoor.steps.item_request import item_fingerprint
from bergamotdoor.types import (
    GroupId,
    ItemId,
    JobId,
    ModelId,
    WeightVersion,
)
from features.job_scenes import JOB, other_entry, owner_of, submit_job
from features.support import logged
from lab.site import Site, play
from lab.upstreams import register
from lab.wire import JobItem, job_body

#: Events of each item, which take two and a half seconds.
ITEM_EVENTS = 60
#: The item under which engines end.
CRASHING_ITEM = f'{JOB}.0.1'
#: The path of all items under which engines end, whatever their ids are.
CRASHING_PATH = '/roll/deadly'


class CrashPlan:
    """A site where one item ends each engine that runs it.

    Parameters
    ----------
    engines
        Number of engines.
    """

    def __init__(self, engines: int) -> None:
        self.engines = engines
        #: Coroutine function that plays the scenario on the started site.
        self.scene: Any = None
        #: The item that ends engines; empty if the scene sets other targets.
        self.item = CRASHING_ITEM

    async def __call__(self, site: Site) -> Any:
        await site.start(self.engines, services=0)
        for engine in site.engines.values():
            if self.item:
                engine.crashes.targets.add(f'/roll/{self.item}')
            engine.crashes.started_again = functools.partial(
                register, site.store, engine
            )
        return await self.scene(site)


def item_lengths(groups: int, items: int) -> list[list[int]]:
    return [[ITEM_EVENTS for _ in range(items)] for _ in range(groups)]


def count_ended_engines(site: Site) -> int:
    return sum(one.crashes.count for one in site.engines.values())


@given(
    'a site with {engines:d} engines and a job in which one item ends engines'
)
def crashing_item(context: Any, engines: int) -> None:
    context.plan = CrashPlan(engines)


@when('the job of {groups:d} groups of {items:d} items runs for {run_s:d} s')
def runs_for(context: Any, groups: int, items: int, run_s: int) -> None:
    async def scene(site: Site) -> None:
        await submit_job(site, item_lengths(groups, items))
        context.listed = await site.all_results('entry-0', JOB, run_s)
        context.ends = count_ended_engines(site)

    context.plan.scene = scene
    context.expected = {
        f'{JOB}.{group}.{item}'
        for group in range(1, groups)
        for item in range(items)
    }
    play(context.plan)


@when(
    'the job of {groups:d} groups of {items:d} items runs, and its owner is '
    'killed after {wait_s:d} s'
)
def owner_killed(context: Any, groups: int, items: int, wait_s: int) -> None:
    async def scene(site: Site) -> None:
        await submit_job(site, item_lengths(groups, items))
        await asyncio.sleep(wait_s)
        owner = owner_of(site)
        await site.kill(owner)
        await site.all_results(other_entry(site, owner), JOB, 10)
        context.ends = count_ended_engines(site)

    context.plan.scene = scene
    play(context.plan)


@then('at most {most:d} engines end under the item')
def engines_end(context: Any, most: int) -> None:
    assert 1 <= context.ends <= most, context.ends


@then('every other item is listed as completed, the item not at all')
def others_listed(context: Any) -> None:
    listed = {one['id']: one['state'] for one in context.listed}
    assert set(listed) == context.expected, sorted(listed)
    assert set(listed.values()) == {'completed'}, listed


def crashing_job(name: str) -> bytes:
    """Return the body of a job whose 4 items have the same path and prompt.

    Their ids and bodies differ.
    """
    items = (
        JobItem(f'{name}.{number}', ITEM_EVENTS + number, 'g')
        for number in range(4)
    )
    written = json.loads(job_body('/roll/', items, 1, 1))
    for item in written['items']:
        item['path'] = CRASHING_PATH
        item['headers']['X-Bergamotdoor-Prompt-Prefix'] = 'a1:500,b2:16'
    return json.dumps(written).encode()


@given(
    'a site with {engines:d} engines and two jobs of one prompt that ends'
    ' engines'
)
def crashing_prompt(context: Any, engines: int) -> None:
    context.plan = CrashPlan(engines)


@when('they run for {run_s:d} s beside a job of {groups:d} groups of 5 items')
def runs_beside(context: Any, run_s: int, groups: int) -> None:
    async def scene(site: Site) -> None:
        for engine in site.engines.values():
            engine.crashes.targets.add(CRASHING_PATH)
        began_s = asyncio.get_running_loop().time()
        for name in ('d1', 'd2'):
            reply = await site.ask(
                'entry-0',
                'POST',
                f'/roll/{name}',
                crashing_job(name),
                Request_Id=name,
            )
            assert reply is not None
            assert reply.status == 202, reply
            if name == 'd1':
                await submit_job(site, item_lengths(groups, 5))
        context.listed = await site.all_results('entry-0', JOB, run_s)
        spent_s = asyncio.get_running_loop().time() - began_s
        await asyncio.sleep(max(run_s - spent_s, 0))
        context.ends = count_ended_engines(site)

    context.plan.scene = scene
    context.plan.item = ''
    context.expected = {
        f'{JOB}.{group}.{item}' for group in range(groups) for item in range(5)
    }
    play(context.plan)


@given(
    'a site with {engines:d} engines, one of which is gone but still registered'
)
def engine_gone(context: Any, engines: int) -> None:
    context.plan = CrashPlan(engines)
    context.plan.item = ''


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
    context.plan.item = ''


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
            engine.always_fail.add(CRASHING_ITEM)
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
    return sum(one.failures[CRASHING_ITEM] for one in site.engines.values())


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
    assert states.get(CRASHING_ITEM) == 'lost', states


def item_spec(
    name: str, path: str = '/p', prompt: str = '', body: bytes = b''
) -> ItemSpec:
    headers = (('x-Bergamotdoor-prompt-prefix', prompt),) if prompt else ()
    return ItemSpec(ItemId(name), path, headers, body, GroupId('g'))


@then('items of one path and prompt are one request, others are not')
def one_request(_: Any) -> None:
    job = JobSpec(
        JobId('j'), 'host', '/', ModelId('m'), WeightVersion(1), items=()
    )
    first = item_fingerprint(job, item_spec('1', prompt='a:5,b:1', body=b'1'))
    assert first == item_fingerprint(job, item_spec('2', prompt='a:5,b:1'))
    assert first != item_fingerprint(job, item_spec('1', prompt='a:5,c:1'))
    assert first != item_fingerprint(job, item_spec('1', '/q', 'a:5,b:1'))
    bare = item_fingerprint(job, item_spec('1', body=b'1'))
    assert bare == item_fingerprint(job, item_spec('2', body=b'1'))
    assert bare != item_fingerprint(job, item_spec('1', body=b'2'))


@given('a site whose service ends under the score call of one item')
def crashing_score(context: Any) -> None:
    context.plan = None


@when('its job runs for {run_s:d} s, and callers send calls all the time')
def scored_job(context: Any, run_s: int) -> None:
    async def scene(site: Site) -> None:
        await site.start(engines=3, services=3)
        for service in site.services.values():
            service.crashes.bodies.add(f'score {CRASHING_ITEM}'.encode())
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
