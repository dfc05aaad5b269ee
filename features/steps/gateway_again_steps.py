"""Steps for jobs that reach an owner a second time, or late."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from behave import given, then

from bergamotdoor.peers.messages import AdoptJob
from bergamotdoor.types import JobId
from features.job_scenes import (
    JOB,
    SHORT_AND_LONG,
    check_all_whole,
    other_entry,
    owner_of,
    run_headers,
    running_requests,
    submit_job,
    take_over_at,
)
from lab.site import Site, play

#: Items of the first group, which is listed before the others.
_LISTED_ITEMS = (f'{JOB}.0.0', f'{JOB}.0.1')


async def read_first_group(site: Site, entry: str) -> None:
    """Read the first two positions; wait until they are listed."""
    page = await site.results(entry, JOB)
    assert len(page['results']) == len(_LISTED_ITEMS), page


async def read_second_position(site: Site, entry: str) -> Any:
    """Read from the second position without a wait.

    Return the results, or the status if it is not 200.
    """
    reply = await site.ask(entry, 'GET', f'/-/lots/{JOB}?after=1')
    assert reply is not None
    return reply.json['results'] if reply.status == 200 else reply.status


@given('a site whose owner restarts and receives an ended job again')
def ended_again(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, list(SHORT_AND_LONG))
        await asyncio.sleep(0.5)
        owner = owner_of(site)
        ended = await site.ask('entry-0', 'DELETE', f'/-/lots/{JOB}')
        assert ended is not None
        assert ended.status == 200, ended.status
        await site.kill(owner)
        await site.add_entry(owner)
        await asyncio.sleep(3)
        context.again = await site.submit(
            other_entry(site, owner), JOB, list(SHORT_AND_LONG)
        )
        await asyncio.sleep(0.5)
        context.running = running_requests(site)

    play(scene)


@then('the job is accepted and no engine works on its items')
def accepted_and_idle(context: Any) -> None:
    assert context.again.status == 202, context.again.status
    assert not context.running, context.running


@given('a site whose owner restarts and receives a running job again')
def running_again(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, list(SHORT_AND_LONG))
        owner = owner_of(site)
        await read_first_group(site, owner)
        await asyncio.sleep(1)
        await site.kill(owner)
        site.store.list_s = 1.4
        await site.add_entry(owner)
        await asyncio.sleep(0.3)
        second = other_entry(site, owner)
        again = await site.submit(second, JOB, list(SHORT_AND_LONG))
        assert again is not None
        assert again.status == 202, again.status
        await asyncio.sleep(0.1)
        context.pages = [
            await read_second_position(site, entry) for entry in (owner, second)
        ]
        await asyncio.sleep(2)
        context.runs = [len(run_headers(site, item)) for item in _LISTED_ITEMS]

    play(scene)


@given('a site whose only entry receives its job again while it stops')
def stopping_again(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=1)
        await submit_job(site, list(SHORT_AND_LONG))
        await read_first_group(site, 'entry-0')
        await asyncio.sleep(1)
        stopping = asyncio.create_task(site.entries.pop('entry-0').stop())
        await asyncio.sleep(0.1)
        again = await site.submit('entry-0', JOB, list(SHORT_AND_LONG))
        assert again is not None
        assert again.status == 202, again.status
        context.pages = [await read_second_position(site, 'entry-0')]
        await stopping
        context.runs = [len(run_headers(site, item)) for item in _LISTED_ITEMS]

    play(scene)


@then('each entry returns the second result, or 503')
def second_not_denied(context: Any) -> None:
    for page in context.pages:
        assert page == 503 or len(page) == 1, context.pages


@then('no listed item runs a second time')
def no_second_run(context: Any) -> None:
    assert context.runs == [1, 1], context.runs


@given('a site whose second owner gets a list of results {late:g} s late')
def late_list(context: Any, late: float) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[30, 30], [200, 200]])
        await asyncio.sleep(0.5)
        first = owner_of(site)
        second = other_entry(site, first)
        site.store.list_s = late
        takeover = asyncio.create_task(take_over_at(site, second))
        await read_first_group(site, first)
        await takeover
        context.pages = [await read_second_position(site, second)]

    play(scene)


@given('a site whose entry gets a new job after another has listed 2 results')
def late_job(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, list(SHORT_AND_LONG))
        first = owner_of(site)
        run = site.entries[first]._components.owner.get(JobId(JOB))
        assert run is not None
        message = AdoptJob(
            run.stored_job.record, run.stored_job.revision, run.spec
        )
        await read_first_group(site, first)
        second = other_entry(site, first)
        await take_over_at(site, second)
        # A restarted entry does not know the job, like one that was paused.
        await site.kill(first)
        await site.add_entry(first)
        await asyncio.sleep(2)
        service = site.entries[first]._components.peer_service
        await service.handle(message)
        context.pages = [await read_second_position(site, first)]

    play(scene)


@given('a site whose owner has its job in a later term, and an old record')
def late_lookup(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[60, 60]])
        first = owner_of(site)
        components = site.entries[first]._components
        run = components.owner.get(JobId(JOB))
        assert run is not None
        old = run.stored_job
        later = msgspec.structs.replace(old.record, term=3)
        run.stored_job = msgspec.structs.replace(old, record=later)
        await components.finder.adopt(old)
        context.term = run.stored_job.record.term
        context.results = await site.all_results(first, JOB)

    play(scene)


@then('its term stays, and the job is listed whole')
def term_stays(context: Any) -> None:
    assert context.term == 3, context.term
    check_all_whole(context.results, [[60, 60]], 2)
