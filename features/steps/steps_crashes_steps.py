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
from features.job_scenes import JOB, handed_in, other, owner_of
from lab.site import Site, play
from lab.upstreams import register
from lab.wire import JobItem, job_body

#: In events: two and a half seconds.
LENGTH = 60
ITEM = f'{JOB}.0.1'
DEADLY = '/roll/deadly'


class ItemPlan:
    """A site where one item ends each engine that runs it."""

    def __init__(self, engines: int) -> None:
        self.engines = engines
        self.act: Any = None
        #: Which item ends engines, if one does by its path.
        self.item = ITEM

    async def __call__(self, site: Site) -> Any:
        await site.start(self.engines, services=0)
        for engine in site.engines.values():
            if self.item:
                engine.crashes.targets.add(f'/roll/{self.item}')
            engine.crashes.started_again = functools.partial(
                register, site.store, engine
            )
        return await self.act(site)


def lengths(groups: int, items: int) -> list[list[int]]:
    return [[LENGTH for _ in range(items)] for _ in range(groups)]


def engines_ended(site: Site) -> int:
    return sum(one.crashes.count for one in site.engines.values())


@given(
    'a site with {engines:d} engines and a job in which one item ends engines'
)
def crashing_item(context: Any, engines: int) -> None:
    context.plan = ItemPlan(engines)


@when('the job of {groups:d} groups of {items:d} items runs for {run_s:d} s')
def runs_for(context: Any, groups: int, items: int, run_s: int) -> None:
    async def act(site: Site) -> None:
        await handed_in(site, lengths(groups, items))
        context.listed = await site.all_results('entry-0', JOB, run_s)
        context.ends = engines_ended(site)

    context.plan.act = act
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
    async def act(site: Site) -> None:
        await handed_in(site, lengths(groups, items))
        await asyncio.sleep(wait_s)
        owner = owner_of(site)
        await site.kill(owner)
        await site.all_results(other(site, owner), JOB, 10)
        context.ends = engines_ended(site)

    context.plan.act = act
    play(context.plan)


@then('at most {most:d} engines end under the item')
def engines_end(context: Any, most: int) -> None:
    assert 1 <= context.ends <= most, context.ends


@then('every other item is listed as completed, the item not at all')
def others_listed(context: Any) -> None:
    listed = {one['id']: one['state'] for one in context.listed}
    assert set(listed) == context.expected, sorted(listed)
    assert set(listed.values()) == {'completed'}, listed


def deadly_job(name: str) -> bytes:
    """Return a job of one prompt, whose items differ in ids and bodies."""
    items = (JobItem(f'{name}.{one}', LENGTH + one, 'g') for one in range(4))
    written = json.loads(job_body('/roll/', items, 1, 1))
    for item in written['items']:
        item['path'] = DEADLY
        item['headers']['X-Bergamotdoor-Prompt-Prefix'] = 'a1:500,b2:16'
    return json.dumps(written).encode()


@given(
    'a site with {engines:d} engines and two jobs of one prompt that ends'
    ' engines'
)
def deadly_prompt(context: Any, engines: int) -> None:
    context.plan = ItemPlan(engines)


@when('they run for {run_s:d} s beside a job of {groups:d} groups of 5 items')
def runs_beside(context: Any, run_s: int, groups: int) -> None:
    async def act(site: Site) -> None:
        for engine in site.engines.values():
            engine.crashes.targets.add(DEADLY)
        began_s = asyncio.get_running_loop().time()
        for name in ('d1', 'd2'):
            reply = await site.ask(
                'entry-0',
                'POST',
                f'/roll/{name}',
                deadly_job(name),
                Request_Id=name,
            )
            assert reply is not None
            assert reply.status == 202, reply
            if name == 'd1':
                await handed_in(site, lengths(groups, 5))
        context.listed = await site.all_results('entry-0', JOB, run_s)
        spent_s = asyncio.get_running_loop().time() - began_s
        await asyncio.sleep(max(run_s - spent_s, 0))
        context.ends = engines_ended(site)

    context.plan.act = act
    context.plan.item = ''
    context.expected = {
        f'{JOB}.{group}.{item}' for group in range(groups) for item in range(5)
    }
    play(context.plan)


def item(
    name: str, path: str = '/p', prompt: str = '', body: bytes = b''
) -> ItemSpec:
    headers = (('x-Bergamotdoor-prompt-prefix', prompt),) if prompt else ()
    return ItemSpec(ItemId(name), path, headers, body, GroupId('g'))


@then('items of one path and prompt are one request, others are not')
def one_request(_: Any) -> None:
    job = JobSpec(
        JobId('j'), 'host', '/', ModelId('m'), WeightVersion(1), items=()
    )
    first = item_fingerprint(job, item('1', prompt='a:5,b:1', body=b'1'))
    assert first == item_fingerprint(job, item('2', prompt='a:5,b:1'))
    assert first != item_fingerprint(job, item('1', prompt='a:5,c:1'))
    assert first != item_fingerprint(job, item('1', '/q', 'a:5,b:1'))
    bare = item_fingerprint(job, item('1', body=b'1'))
    assert bare == item_fingerprint(job, item('2', body=b'1'))
    assert bare != item_fingerprint(job, item('1', body=b'2'))


@given('a site whose service ends under the score call of one item')
def crashing_score(context: Any) -> None:
    context.plan = None


@when('its job runs for {run_s:d} s, and callers come all the time')
def scored_job(context: Any, run_s: int) -> None:
    async def scene(site: Site) -> None:
        await site.start(engines=3, services=3)
        for service in site.services.values():
            service.crashes.bodies.add(f'score {ITEM}'.encode())
            service.crashes.started_again = functools.partial(
                register, site.store, service
            )
        callers = asyncio.create_task(call_often(site))
        await handed_in(site, lengths(3, 4), score_path='/score/')
        context.listed = await site.all_results('entry-0', JOB, run_s)
        callers.cancel()
        context.ends = sum(one.crashes.count for one in site.services.values())

    play(scene)


async def call_often(site: Site) -> None:
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
