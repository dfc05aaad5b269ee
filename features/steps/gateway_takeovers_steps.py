"""Steps for jobs whose owner changes, on whole sites in virtual time."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given, then

from bergamotdoor.peers.directory import EntryRecord
from bergamotdoor.peers.messages import AdoptJob
from bergamotdoor.stored import Outcome
from bergamotdoor.types import JobId
from features.job_scenes import JOB, handed_in, other, owner_of, starts
from lab.site import Site, at, play
from lab.store import Store, StoreMode

_GROUPS = [[2, 2], [200, 200]]
#: Items of the first group, which is listed first.
_LISTED = (f'{JOB}.0.0', f'{JOB}.0.1')


def at_work(site: Site) -> list[str]:
    """Return the requests that engines work on."""
    return [
        request
        for engine in site.engines.values()
        for request in engine.running
    ]


async def first_group_read(site: Site, entry: str) -> None:
    """Wait until the first two positions were read."""
    page = await site.results(entry, JOB)
    assert len(page['results']) == len(_LISTED), page


async def second_position(site: Site, entry: str) -> Any:
    """Ask for the second position without a wait."""
    reply = await site.ask(entry, 'GET', f'/-/lots/{JOB}?after=1')
    assert reply is not None
    return reply.json['results'] if reply.status == 200 else reply.status


@given('a site whose owner starts again and gets an ended job once more')
def ended_again(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, _GROUPS)
        await asyncio.sleep(0.5)
        owner = owner_of(site)
        ended = await site.ask('entry-0', 'DELETE', f'/-/lots/{JOB}')
        assert ended is not None
        assert ended.status == 200, ended.status
        await site.kill(owner)
        await site.add_entry(owner)
        await asyncio.sleep(3)
        context.again = await site.submit(other(site, owner), JOB, _GROUPS)
        await asyncio.sleep(0.5)
        context.running = at_work(site)

    play(scene)


@then('the job is taken and no engine works on its items')
def taken_and_idle(context: Any) -> None:
    assert context.again.status == 202, context.again.status
    assert not context.running, context.running


@given('a site whose owner starts again and gets a running job once more')
def running_again(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, _GROUPS)
        owner = owner_of(site)
        await first_group_read(site, owner)
        await asyncio.sleep(1)
        await site.kill(owner)
        site.store.list_s = 1.4
        await site.add_entry(owner)
        await asyncio.sleep(0.3)
        second = other(site, owner)
        again = await site.submit(second, JOB, _GROUPS)
        assert again is not None
        assert again.status == 202, again.status
        await asyncio.sleep(0.1)
        context.pages = [
            await second_position(site, entry) for entry in (owner, second)
        ]
        await asyncio.sleep(2)
        context.runs = [len(starts(site, item)) for item in _LISTED]

    play(scene)


@given('a site whose only entry gets its job once more while it stops')
def stopping_again(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=1)
        await handed_in(site, _GROUPS)
        await first_group_read(site, 'entry-0')
        await asyncio.sleep(1)
        stopping = asyncio.create_task(site.entries.pop('entry-0').stop())
        await asyncio.sleep(0.1)
        again = await site.submit('entry-0', JOB, _GROUPS)
        assert again is not None
        assert again.status == 202, again.status
        context.pages = [await second_position(site, 'entry-0')]
        await stopping
        context.runs = [len(starts(site, item)) for item in _LISTED]

    play(scene)


@then('the second position is shown or not known, at every entry')
def not_hidden(context: Any) -> None:
    for page in context.pages:
        assert page == 503 or len(page) == 1, context.pages


@then('no listed item runs a second time')
def no_second_run(context: Any) -> None:
    assert context.runs == [1, 1], context.runs


async def taken_over_by(site: Site, entry: str) -> None:
    """Do what an entry does when the owner does not answer."""
    finder = site.entries[entry]._parts.finder
    record = await finder.record(JobId(JOB))
    assert not isinstance(record, Outcome)
    await finder.take_over(JobId(JOB), record)
    assert owner_of(site) == entry


async def end_at(site: Site, entry: str) -> None:
    """End the job; it must be confirmed."""
    reply = await site.ask(entry, 'DELETE', f'/-/lots/{JOB}')
    assert reply is not None
    assert reply.status == 200, reply.status


@given('a site whose job has a second owner and is ended at a third entry')
def ended_elsewhere(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await handed_in(site, _GROUPS)
        await asyncio.sleep(0.5)
        first = owner_of(site)
        second, third = (name for name in sorted(site.ports) if name != first)
        await site.kill(first)
        await site.results(second, JOB)
        assert owner_of(site) == second
        await site.add_entry(first)
        await asyncio.sleep(0.3)
        assert at_work(site)
        await end_at(site, third)
        await asyncio.sleep(0.5)
        context.running = at_work(site)

    play(scene)


@given('a site whose job is ended at an owner that was taken over')
def ended_at_first(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, _GROUPS)
        await asyncio.sleep(0.5)
        first = owner_of(site)
        await taken_over_by(site, other(site, first))
        await asyncio.sleep(0.2)
        await end_at(site, first)
        await asyncio.sleep(0.5)
        context.running = at_work(site)

    play(scene)


@given('a site whose owner gets its job back before it knew of the loss')
def got_back(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, _GROUPS)
        await asyncio.sleep(0.5)
        first = owner_of(site)
        second = other(site, first)
        await taken_over_by(site, second)
        stopping = asyncio.create_task(site.entries.pop(second).stop())
        await asyncio.sleep(0.2)
        assert owner_of(site) == first
        context.running = []
        for _ in range(5):
            await asyncio.sleep(0.5)
            context.running.append(len(at_work(site)))
        await stopping

    play(scene)


@then('its items run on while nobody reads')
def run_on(context: Any) -> None:
    assert all(context.running), context.running


@given('a site whose next owner starts again and is cut off from its store')
def started_cut_off(context: Any) -> None:
    context.groups = [[2, 2], [4, 4]]

    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await site.submit('entry-0', 'j0', [[1]])
        owner = str(site.store.table.specs('jobs')['j0']['owner'])
        await site.kill(owner)
        store = site.store.address
        # Nothing listens where this entry looks for the store.
        site.store.address = at(8999)
        started = await site.add_entry(owner)
        site.store.address = store
        await asyncio.sleep(0.5)
        second = other(site, owner)
        again = await site.submit(second, JOB, context.groups)
        assert again is not None
        assert again.status == 202, again.status
        context.results = await site.all_results(second, JOB, 8)
        await asyncio.sleep(5)
        started._access.direct.address = store
        await asyncio.sleep(5)
        context.late = await site.all_results(second, JOB, 8)

    play(scene)


@then('every item of the job is listed whole at another entry in time')
def whole_in_time(context: Any) -> None:
    assert len(context.results) == 4, context.results


@then('none is listed as lost once the owner reaches the store')
def none_lost(context: Any) -> None:
    states = [result['state'] for result in context.late]
    assert len(states) == 4, states
    assert set(states) == {'completed'}, states


@given('a site whose second owner gets a list of results {late:g} s late')
def late_list(context: Any, late: float) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, [[30, 30], [200, 200]])
        await asyncio.sleep(0.5)
        first = owner_of(site)
        second = other(site, first)
        site.store.list_late_s = late
        taking = asyncio.create_task(taken_over_by(site, second))
        await first_group_read(site, first)
        await taking
        context.pages = [await second_position(site, second)]

    play(scene)


@given('a site whose entry gets a new job after another has listed 2 results')
def late_job(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, _GROUPS)
        first = owner_of(site)
        run = site.entries[first]._parts.owner.get(JobId(JOB))
        assert run is not None
        message = AdoptJob(run.found.record, run.found.revision, run.spec)
        await first_group_read(site, first)
        second = other(site, first)
        await taken_over_by(site, second)
        # Started anew it has not heard of the job, as one that stood still.
        await site.kill(first)
        await site.add_entry(first)
        await asyncio.sleep(2)
        service = site.entries[first]._parts.peer_service
        await service.handle(message)
        context.pages = [await second_position(site, first)]

    play(scene)


async def cut_off(site: Site, entry: str, silent: Store) -> None:
    """Have neither the store nor other entries answer an entry's calls."""
    silent.mode = StoreMode.SILENT
    await silent.start()
    access = site.entries[entry]._access
    access.direct.address = silent.address
    access.directory.entries = {
        name: EntryRecord(silent.address) for name in access.directory.entries
    }


@given('a site whose owner is cut off both ways and asked to stop')
def cut_and_stopped(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await handed_in(site, [[200, 200]])
        await asyncio.sleep(0.5)
        first = owner_of(site)
        silent = Store(at(8998), site.clock)
        await cut_off(site, first, silent)
        began = site.clock.elapsed()
        stopping = asyncio.create_task(site.entries.pop(first).stop())
        reading = asyncio.create_task(site.all_results(other(site, first), JOB))
        await asyncio.sleep(0.1)
        while not at_work(site):
            await asyncio.sleep(0.1)
        context.took_s = (site.clock.elapsed() - began).total_seconds()
        reading.cancel()
        await stopping
        await silent.stop()

    play(scene)


@then('another entry has its items at work within {most_s:g} s')
def at_work_within(context: Any, most_s: float) -> None:
    assert context.took_s <= most_s, context.took_s


@given(
    'a site whose job is ended while its next owner takes {load:g} s to load it'
)
def ended_in_load(context: Any, load: float) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await handed_in(site, _GROUPS)
        await asyncio.sleep(0.7)
        first = owner_of(site)
        second, third = (name for name in sorted(site.ports) if name != first)
        await site.kill(first)
        site.store.list_s = load
        reading = asyncio.create_task(site.results(second, JOB))
        await asyncio.sleep(0.1)
        assert owner_of(site) == second
        await end_at(site, third)
        await reading
        await asyncio.sleep(0.5)
        context.running = at_work(site)

    play(scene)
