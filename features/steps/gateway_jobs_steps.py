"""Steps for batch jobs on whole sites in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any, cast

from behave import given, then

from bergamotdoor.stored import Outcome
from bergamotdoor.types import JobId
from bergamotdoor.utils import hrw_order
from features.job_scenes import (
    JOB,
    handed_in,
    lengths_of,
    other,
    owner_of,
    parsed,
    starts,
)
from lab.site import Site, at, play
from lab.store import StoreMode
from lab.upstreams import UpstreamMode


def whole(result: dict[str, Any], length: int) -> bool:
    item = result['id']
    expected = [f'{item}/{number}' for number in range(1, length + 1)]
    return bool(result['text'].split('\n') == expected)


async def listed_at_both(context: Any, site: Site) -> None:
    context.listed = [
        await site.all_results(entry, JOB) for entry in sorted(site.entries)
    ]


@given('a site that runs a job of groups {groups}')
def a_job(context: Any, groups: str) -> None:
    context.groups = parsed(groups)

    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, context.groups)
        context.first_page = await site.results('entry-1', JOB)
        await listed_at_both(context, site)
        item = f'{JOB}.0.0'
        body = await site.ask('entry-1', 'GET', f'/-/items/{JOB}?id={item}')
        assert body is not None
        context.body_status = body.status
        again = await site.submit('entry-1', JOB, context.groups)
        assert again is not None
        context.again_status = again.status
        await asyncio.sleep(1)
        context.runs = Counter(
            seen.request
            for engine in site.engines.values()
            for seen in engine.seen
        )

    play(scene)


@then('both entries list the same {count:d} results, whole and by version 1')
def same_results(context: Any, count: int) -> None:
    first, second = context.listed
    assert first == second
    assert len(first) == count, first
    lengths = lengths_of(context.groups)
    assert all(whole(result, lengths[result['id']]) for result in first)
    assert all(result['versions'] == [1] for result in first), first


@then('the bodies of listed items are gone')
def bodies_gone(context: Any) -> None:
    assert context.body_status == 404, context.body_status


@then('the job submitted again is accepted and runs nothing twice')
def again(context: Any) -> None:
    assert context.again_status == 202, context.again_status
    assert set(context.runs.values()) == {1}, context.runs


@then('the first page holds both items of the second group only')
def first_page(context: Any) -> None:
    found = {result['id'] for result in context.first_page['results']}
    assert found == {f'{JOB}.1.0', f'{JOB}.1.1'}, found


@given('a site whose store refuses calls when a job comes')
def store_away(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        site.store.mode = StoreMode.BUSY
        began = site.clock.elapsed()
        refused = await site.submit('entry-0', JOB, [[2, 2]])
        assert refused is not None
        context.refused = refused
        context.took = site.clock.elapsed() - began
        await asyncio.sleep(1)
        context.ran = sum(len(one.seen) for one in site.engines.values())
        site.store.mode = StoreMode.UP
        await handed_in(site, [[2, 2]])
        context.results = await site.all_results('entry-1', JOB)

    play(scene)


@then('the job is refused within 1 s and nothing of it ran')
def refused(context: Any) -> None:
    assert context.refused.status == 503, context.refused.status
    assert float(context.refused.headers.first('retry-after')) > 0
    assert context.took.total_seconds() < 1, context.took
    assert not context.ran


@then('the job is accepted and runs when the store is back')
def back(context: Any) -> None:
    assert len(context.results) == 2, context.results


@given('a site whose store loses the answers when a job comes')
def lost_answers(context: Any) -> None:
    context.groups = [[2, 2], [3]]

    async def scene(site: Site) -> None:
        await site.start()
        site.store.lose_answers = 2
        await handed_in(site, context.groups)
        await listed_at_both(context, site)

    play(scene)


@then('the job is accepted and every item is listed once')
def accepted_once(context: Any) -> None:
    first, second = context.listed
    assert first == second
    assert sorted(one['id'] for one in first) == sorted(
        lengths_of(context.groups)
    )


@given(
    'a site whose owner is killed {after:f} s after a job of groups {groups}'
)
def owner_killed(context: Any, after: float, groups: str) -> None:
    context.groups = parsed(groups)

    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, context.groups)
        await asyncio.sleep(after)
        owner = owner_of(site)
        await site.kill(owner)
        context.results = await site.all_results(other(site, owner), JOB)
        context.long_starts = starts(site, f'{JOB}.0.0')

    play(scene)


@then('the other entry lists all {count:d} results, each once and whole')
def all_whole(context: Any, count: int) -> None:
    lengths = lengths_of(context.groups)
    assert len(context.results) == count, context.results
    assert {result['id'] for result in context.results} == set(lengths)
    assert all(
        whole(result, lengths[result['id']]) for result in context.results
    )


@then('the long item was not generated from its beginning again')
def went_on(context: Any) -> None:
    numbers = [
        int(headers.get('last-event-id', '0'))
        for headers in context.long_starts
    ]
    assert len(numbers) == 2, numbers
    assert numbers[1] >= 25, numbers


@given(
    'a site whose owner is stopped {after:f} s after a job of groups {groups}'
)
def owner_stopped(context: Any, after: float, groups: str) -> None:
    context.groups = parsed(groups)

    async def scene(site: Site) -> None:
        await site.start()
        began = site.clock.elapsed()
        await handed_in(site, context.groups)
        await asyncio.sleep(after)
        owner = owner_of(site)
        stopping = asyncio.create_task(site.entries.pop(owner).stop())
        context.results = await site.all_results(other(site, owner), JOB)
        context.took = (site.clock.elapsed() - began).total_seconds()
        await stopping
        context.starts = {
            item: [
                int(headers.get('last-event-id', '0'))
                for headers in starts(site, item)
            ]
            for item in lengths_of(context.groups)
        }

    play(scene)


@given(
    'a site whose owner is stopped while its store takes {after:g} s an answer'
)
def stopped_slowly(context: Any, after: float) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, [[90, 90], [90, 90]])
        await asyncio.sleep(0.5)
        owner = owner_of(site)
        site.store.answer_s = after
        stopping = asyncio.create_task(site.entries[owner].stop())
        await asyncio.sleep(0.1)
        item = f'{JOB}.1.1'
        body = await site.ask(owner, 'GET', f'/-/items/{JOB}?id={item}')
        assert body is not None
        page = await site.results(other(site, owner), JOB)
        context.answers = (body.status, page)
        await stopping
        del site.entries[owner]

    play(scene)


@then('a body and a page asked for in that time are not denied')
def not_denied(context: Any) -> None:
    status, page = context.answers
    assert status == 200, status
    assert page != 404, page


@given('a site of 3 entries of which the owner and the next one stop')
def two_stop(context: Any) -> None:
    context.groups = [[90, 3], [80, 2]]

    async def scene(site: Site) -> None:
        await site.start(entries=3)
        began = site.clock.elapsed()
        await handed_in(site, context.groups)
        await asyncio.sleep(1.5)
        owner = owner_of(site)
        order = hrw_order('m', [name for name in site.ports if name != owner])
        stopping = [
            asyncio.create_task(site.entries.pop(name).stop())
            for name in (order[0], owner)
        ]
        await asyncio.sleep(0.5)
        await site.results(owner, JOB)
        await site.results(order[0], JOB)
        context.results = await site.all_results(order[1], JOB)
        context.took = (site.clock.elapsed() - began).total_seconds()
        context.owner = owner_of(site) == order[1]
        await asyncio.gather(*stopping)

    play(scene)


@then('the third entry lists all {count:d} results, each once and whole')
def third_lists(context: Any, count: int) -> None:
    all_whole(context, count)
    assert context.owner


@then('the step took at most {most:f} s')
def step_took(context: Any, most: float) -> None:
    assert context.took <= most, context.took


@then('nothing was generated twice')
def generated_once(context: Any) -> None:
    for item, begun in context.starts.items():
        assert begun[0] == 0, (item, begun)
        assert all(number > 0 for number in begun[1:]), (item, begun)


@given('a site whose owner is taken over while it still runs')
def two_owners(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, [[2, 30], [25, 20], [10, 15]])
        await asyncio.sleep(0.6)
        owner = owner_of(site)
        second = other(site, owner)
        # What the other entry does when the owner does not answer.
        finder = site.entries[second]._parts.finder
        record = await finder.record(JobId(JOB))
        assert not isinstance(record, Outcome)
        await finder.take_over(JobId(JOB), record)
        await listed_at_both(context, site)

    play(scene)


@then('both entries list the same results in the same order')
def same_order(context: Any) -> None:
    first, second = context.listed
    assert first
    assert first == second, (first, second)


@then('each item is listed once')
def once(context: Any) -> None:
    found = Counter(result['id'] for result in context.listed[0])
    assert set(found.values()) == {1}, found


@given('a site whose store takes {seconds:f} s to list a job after a restart')
def slow_list(context: Any, seconds: float) -> None:
    context.groups = [[2, 2], [3, 3]]

    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, context.groups)
        await site.all_results('entry-0', JOB)
        await site.ask('entry-0', 'DELETE', f'/-/lots/{JOB}')
        for name in tuple(site.entries):
            await site.kill(name)
        for name in ('entry-0', 'entry-1'):
            await site.add_entry(name)
        await asyncio.sleep(3)
        site.store.list_s = seconds
        owner = owner_of(site)
        context.results = await site.all_results(other(site, owner), JOB)

    play(scene)


class Idle:
    """Starts and moves nothing."""

    def start_items(self, *_: Any) -> None:
        """Nothing starts."""

    def move_items(self, *_: Any) -> None:
        """Nothing moves."""


@given('a site whose idle owner was taken over by one that listed 2 results')
def idle_owner(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, [[20, 20], [90, 90]])
        owner = owner_of(site)
        first = site.entries[owner]._parts.owner
        first._dispatcher = cast('Any', Idle())
        run = first.get(JobId(JOB))
        assert run is not None
        for item in tuple(run.running.values()):
            item.task.cancel()
        second = other(site, owner)
        finder = site.entries[second]._parts.finder
        record = await finder.record(JobId(JOB))
        assert not isinstance(record, Outcome)
        await finder.take_over(JobId(JOB), record)
        await asyncio.sleep(1.4)
        page = await site.results(second, JOB)
        assert len(page['results']) == 2, page
        await asyncio.sleep(1)
        context.second = await site.results(owner, JOB, 1)
        site.store.mode = StoreMode.BUSY
        await asyncio.sleep(1)
        context.cut = await site.results(owner, JOB, 2)

    play(scene)


@then('the idle owner shows the second position as well')
def second_position(context: Any) -> None:
    assert isinstance(context.second, dict), context.second
    assert len(context.second['results']) == 1, context.second


@then('it cannot tell while it reaches no store')
def cannot_tell(context: Any) -> None:
    assert context.cut == 503, context.cut


@given('a site whose store delays two writes of results')
def delayed(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, [[2, 2], [4, 4], [60, 3]])
        site.store.delay_writes = 2
        await listed_at_both(context, site)
        assert len(context.listed[0]) == 6, context.listed

    play(scene)


@given('a site whose job is ended at the other entry after {after:f} s')
def ended(context: Any, after: float) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, [[3, 3], [90, 90]])
        await asyncio.sleep(after)
        entry = other(site, owner_of(site))
        before = await site.results(entry, JOB)
        first = await site.ask(entry, 'DELETE', f'/-/lots/{JOB}')
        await asyncio.sleep(0.5)
        context.running = [
            request
            for engine in site.engines.values()
            for request in engine.running
        ]
        second = await site.ask(entry, 'DELETE', f'/-/lots/{JOB}')
        after_end = await site.results('entry-0', JOB)
        context.statuses = [first, second]
        context.pages = [before, after_end]

    play(scene)


@then('no engine works on its items half a second later')
def idle(context: Any) -> None:
    assert not context.running, context.running


@then('the end is confirmed again, and what was listed stays listed')
def end_again(context: Any) -> None:
    assert [reply.status for reply in context.statuses] == [200, 200]
    before, after_end = context.pages
    assert len(before['results']) == 2, before
    assert after_end['results'][:2] == before['results']


@given('a site whose owner is turned away by the store')
def turned_away(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, [[10, 10], [20, 20]])
        owner = owner_of(site)
        # Nothing listens where this entry looks for the store.
        access = site.entries[owner]._access
        access.direct.address = at(8999)
        await listed_at_both(context, site)
        assert len(context.listed[0]) == 4, context.listed

    play(scene)


@given('a site with a job that was never handed in')
def unknown(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        first = await site.results('entry-0', 'j9')
        site.store.mode = StoreMode.BUSY
        context.statuses = [first, await site.results('entry-1', 'j9')]

    play(scene)


@then('its results are answered with 404, and in the outage with 503')
def unknown_statuses(context: Any) -> None:
    assert context.statuses == [404, 503], context.statuses


@given('a site whose engines are {mode} for a job of groups {groups}')
def bad_engines(context: Any, mode: str, groups: str) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        for broken in site.engines.values():
            broken.mode = UpstreamMode(mode)
        await handed_in(site, parsed(groups))
        context.results = await site.all_results('entry-0', JOB)
        context.runs = Counter(
            seen.request
            for engine in site.engines.values()
            for seen in engine.seen
        )

    play(scene)


@then("the job's items are listed as lost after at most {runs:d} runs each")
def lost(context: Any, runs: int) -> None:
    states = [result['state'] for result in context.results]
    assert states == ['lost', 'lost'], context.results
    assert max(context.runs.values()) <= runs, context.runs


@given('a site whose first engine breaks off after {events:d} events')
def breaks_off(context: Any, events: int) -> None:
    context.groups = [[20, 20], [20, 20]]

    async def scene(site: Site) -> None:
        await site.start()
        site.engines['engine-0'].break_after = events
        await handed_in(site, context.groups)
        context.results = await site.all_results('entry-0', JOB)
        context.begun = {
            int(headers.get('last-event-id', '0'))
            for item in lengths_of(context.groups)
            for headers in starts(site, item)
        }

    play(scene)


@then('every item of the job is listed whole')
def every_whole(context: Any) -> None:
    all_whole(context, len(lengths_of(context.groups)))


@then('a run began behind event {event:d}')
def began_behind(context: Any, event: int) -> None:
    assert event in context.begun, context.begun


@given('a site whose first engine stands still after {after:f} s')
def stands_still(context: Any, after: float) -> None:
    context.groups = [[40, 40], [40, 40]]

    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, context.groups)
        await asyncio.sleep(after)
        site.engines['engine-0'].loading = True
        context.results = await site.all_results('entry-0', JOB, 3.5)

    play(scene)


@then('every item of the job is listed whole within 4 s')
def within(context: Any) -> None:
    every_whole(context)


@given('a site whose first engine has old weights')
def old_weights(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        engine = site.engines['engine-1']
        engine.version = 2
        site.store.put('servers', engine.name, engine.registration())
        await asyncio.sleep(1)
        await handed_in(site, [[3, 3], [3, 3]], least=2)
        context.results = await site.all_results('entry-0', JOB)
        context.old_engine = site.engines['engine-0'].seen

    play(scene)


async def until_listed(context: Any, site: Site) -> None:
    began = site.clock.elapsed()
    context.results = await site.all_results('entry-0', JOB, within_s=100)
    context.took_s = (site.clock.elapsed() - began).total_seconds()


@given('a site whose engines hang and whose route gives up after 3 s')
def given_up(context: Any) -> None:
    async def scene(site: Site) -> None:
        site.routes[0]['max_wait_s'] = 3
        await site.start()
        for engine in site.engines.values():
            engine.mode = UpstreamMode.DARK
        await handed_in(site, [[3, 3], [3, 3]])
        await until_listed(context, site)

    play(scene)


@given('a site whose route is taken away while its engines hang')
def route_gone(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        for engine in site.engines.values():
            engine.mode = UpstreamMode.DARK
        await handed_in(site, [[3, 3], [3, 3]])
        site.put_manifest(routes=site.routes[1:])
        await until_listed(context, site)

    play(scene)


@then('every item is listed as lost after {least_s:d} to {most_s:d} s')
def all_lost(context: Any, least_s: int, most_s: int) -> None:
    states = [result['state'] for result in context.results]
    assert len(states) == 4, states
    assert set(states) == {'lost'}, states
    assert least_s <= context.took_s <= most_s, context.took_s


@given('a site whose store turns slow while a job of long items runs')
def slow_store(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await handed_in(site, [[90, 90]])
        await asyncio.sleep(0.5)
        site.store.answer_s = 0.5
        context.waits_s = []
        context.owners = set()
        for _ in range(3):
            for entry in sorted(site.entries):
                began = site.clock.elapsed()
                await site.results(entry, JOB)
                took = site.clock.elapsed() - began
                context.waits_s.append(took.total_seconds())
                record = site.store.table.specs('jobs')[JOB]
                context.owners.add((record['owner'], record['term']))
        site.store.answer_s = 0.004
        await site.all_results('entry-0', JOB)
        context.runs = [
            len(starts(site, item)) for item in lengths_of([[90, 90]])
        ]

    play(scene)


@then('its owner stays the same, and no reader waits longer than {most_s:g} s')
def same_owner(context: Any, most_s: float) -> None:
    assert len(context.owners) == 1, context.owners
    assert max(context.waits_s) <= most_s, context.waits_s


@then('every item of the slow store ran once')
def ran_once(context: Any) -> None:
    assert context.runs == [1, 1], context.runs


@given('a site whose first engine is behind its registration')
def behind(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        for engine in site.engines.values():
            engine.version = 2
            site.store.put('servers', engine.name, engine.registration())
        site.engines['engine-0'].version = 1
        await asyncio.sleep(1)
        began = site.clock.elapsed()
        await handed_in(site, [[50, 50], [50, 50]], least=2)
        context.results = await site.all_results('entry-0', JOB)
        context.took_s = (site.clock.elapsed() - began).total_seconds()

    play(scene)


@then('the results were there after less than {most_s:g} s')
def soon(context: Any, most_s: float) -> None:
    assert context.took_s < most_s, context.took_s


@then("the first engine gets none of the job's items")
def none_there(context: Any) -> None:
    assert not context.old_engine, context.old_engine


@then('every result names the newer version only')
def newer(context: Any) -> None:
    versions = [result['versions'] for result in context.results]
    assert len(versions) == 4
    assert all(found == [2] for found in versions), versions


@given('a site whose engines change weights in the middle of an item')
def change_weights(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(engines=1)
        await handed_in(site, [[20]])
        await asyncio.sleep(0.5)
        site.engines['engine-0'].version = 2
        context.results = await site.all_results('entry-0', JOB)

    play(scene)


@then("the item's result names both versions")
def both_versions(context: Any) -> None:
    assert context.results[0]['versions'] == [1, 2], context.results
