"""Steps for owners of batch jobs that stop, crash or change."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from behave import given, then

from bergamotdoor.types import JobId
from bergamotdoor.utils import hrw_order
from features.job_scenes import (
    JOB,
    check_all_whole,
    lengths_of,
    other_entry,
    owner_of,
    parse_lengths,
    read_at_each_entry,
    run_headers,
    running_requests,
    submit_job,
    take_over_at,
)
from lab.site import Site, play
from lab.store import StoreMode

if TYPE_CHECKING:
    from collections.abc import Iterator


@given(
    'a site whose owner is killed {after:f} s after a job of groups {groups}'
)
def owner_killed(context: Any, after: float, groups: str) -> None:
    context.groups = parse_lengths(groups)

    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, context.groups)
        await asyncio.sleep(after)
        owner = owner_of(site)
        await site.kill(owner)
        context.results = await site.all_results(other_entry(site, owner), JOB)
        context.long_starts = run_headers(site, f'{JOB}.0.0')

    play(scene)


@then('the other entry lists all {count:d} results, each once and whole')
def all_whole(context: Any, count: int) -> None:
    check_all_whole(context.results, context.groups, count)


@then('the long item was not generated from its beginning again')
def long_item_continued(context: Any) -> None:
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
    context.groups = parse_lengths(groups)

    async def scene(site: Site) -> None:
        await site.start()
        started_at = site.clock.elapsed()
        await submit_job(site, context.groups)
        await asyncio.sleep(after)
        owner = owner_of(site)
        stopping = asyncio.create_task(site.entries.pop(owner).stop())
        context.results = await site.all_results(other_entry(site, owner), JOB)
        context.took_s = (site.clock.elapsed() - started_at).total_seconds()
        await stopping
        context.starts = {
            item: [
                int(headers.get('last-event-id', '0'))
                for headers in run_headers(site, item)
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
        await submit_job(site, [[90, 90], [90, 90]])
        await asyncio.sleep(0.5)
        owner = owner_of(site)
        site.store.answer_s = after
        stopping = asyncio.create_task(site.entries[owner].stop())
        await asyncio.sleep(0.1)
        item = f'{JOB}.1.1'
        body = await site.ask(owner, 'GET', f'/-/items/{JOB}?id={item}')
        assert body is not None
        page = await site.results(other_entry(site, owner), JOB)
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
        started_at = site.clock.elapsed()
        await submit_job(site, context.groups)
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
        context.took_s = (site.clock.elapsed() - started_at).total_seconds()
        context.third_is_owner = owner_of(site) == order[1]
        await asyncio.gather(*stopping)

    play(scene)


@then('the third entry lists all {count:d} results, each once and whole')
def third_lists(context: Any, count: int) -> None:
    check_all_whole(context.results, context.groups, count)
    assert context.third_is_owner


@then('the step took at most {most:f} s')
def step_took(context: Any, most: float) -> None:
    assert context.took_s <= most, context.took_s


@then('nothing was generated twice')
def generated_once(context: Any) -> None:
    for item, begun in context.starts.items():
        assert begun[0] == 0, (item, begun)
        assert all(number > 0 for number in begun[1:]), (item, begun)


@given('a site whose owner is taken over while it still runs')
def taken_over_while_running(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[2, 30], [25, 20], [10, 15]])
        await asyncio.sleep(0.6)
        owner = owner_of(site)
        second = other_entry(site, owner)
        await take_over_at(site, second)
        await read_at_each_entry(context, site)

    play(scene)


class IdleDispatcher:
    """Dispatcher that starts and moves no items."""

    def start_items(self, *_: Any) -> Iterator[None]:
        """Start no item."""
        return iter(())

    def move_items(self, *_: Any) -> None:
        """Move no item."""


@given('a site whose idle owner was taken over by one that listed 2 results')
def idle_owner(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[20, 20], [90, 90]])
        owner = owner_of(site)
        first = site.entries[owner]._components.owner
        first._dispatcher = cast('Any', IdleDispatcher())
        run = first.get(JobId(JOB))
        assert run is not None
        for item in tuple(run.running.values()):
            item.task.cancel()
        second = other_entry(site, owner)
        await take_over_at(site, second)
        await asyncio.sleep(1.4)
        page = await site.results(second, JOB)
        assert len(page['results']) == 2, page
        await asyncio.sleep(1)
        context.second_page = await site.results(owner, JOB, 1)
        site.store.mode = StoreMode.BUSY
        await asyncio.sleep(1)
        context.cut_off_page = await site.results(owner, JOB, 2)

    play(scene)


@then('the idle owner shows the second position as well')
def second_position_shown(context: Any) -> None:
    assert isinstance(context.second_page, dict), context.second_page
    assert len(context.second_page['results']) == 1, context.second_page


@then('it cannot tell while it reaches no store')
def not_known(context: Any) -> None:
    assert context.cut_off_page == 503, context.cut_off_page


@given('a site whose job is ended at the other entry after {after:f} s')
def ended(context: Any, after: float) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[3, 3], [90, 90]])
        await asyncio.sleep(after)
        entry = other_entry(site, owner_of(site))
        before = await site.results(entry, JOB)
        first = await site.ask(entry, 'DELETE', f'/-/lots/{JOB}')
        await asyncio.sleep(0.5)
        context.running = running_requests(site)
        second = await site.ask(entry, 'DELETE', f'/-/lots/{JOB}')
        after_end = await site.results('entry-0', JOB)
        context.statuses = [first, second]
        context.pages = [before, after_end]

    play(scene)


@then('no engine works on its items half a second later')
def no_item_runs(context: Any) -> None:
    assert not context.running, context.running


@then('the end is confirmed again, and what was listed stays listed')
def end_confirmed_again(context: Any) -> None:
    assert [reply.status for reply in context.statuses] == [200, 200]
    before, after_end = context.pages
    assert len(before['results']) == 2, before
    assert after_end['results'][:2] == before['results']
