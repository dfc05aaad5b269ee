"""Steps for batch jobs on whole sites in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

from behave import given, then, when

from features.job_scenes import (
    JOB,
    is_whole,
    lengths_of,
    parse_lengths,
    read_at_each_entry,
    submit_job,
)
from lab.site import Site, play
from lab.store import StoreMode


@given('a site that runs a job of groups {groups}')
def run_job(context: Any, groups: str) -> None:
    context.groups = parse_lengths(groups)

    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, context.groups)
        context.first_page = await site.results('entry-1', JOB)
        await read_at_each_entry(context, site)
        item = f'{JOB}.0.0'
        body = await site.ask('entry-1', 'GET', f'/-/items/{JOB}?id={item}')
        assert body is not None
        context.body_status = body.status
        again = await site.submit('entry-1', JOB, context.groups)
        assert again is not None
        context.again_status = again.status
        await asyncio.sleep(1)
        context.runs = Counter(
            run.request
            for engine in site.engines.values()
            for run in engine.seen
        )

    play(scene)


@then('both entries list the same {count:d} results, whole and by version 1')
def both_list_same_results(context: Any, count: int) -> None:
    first, second = context.listed
    assert first == second
    assert len(first) == count, first
    lengths = lengths_of(context.groups)
    assert all(is_whole(result, lengths[result['id']]) for result in first)
    assert all(result['versions'] == [1] for result in first), first


@then('the bodies of listed items are gone')
def bodies_are_gone(context: Any) -> None:
    assert context.body_status == 404, context.body_status


@then('the job submitted again is accepted and runs nothing twice')
def nothing_runs_twice(context: Any) -> None:
    assert context.again_status == 202, context.again_status
    assert set(context.runs.values()) == {1}, context.runs


@then('the first page holds both items of the second group only')
def first_page_is_second_group(context: Any) -> None:
    items = {result['id'] for result in context.first_page['results']}
    assert items == {f'{JOB}.1.0', f'{JOB}.1.1'}, items


@then('both entries list the same results in the same order')
def both_list_same_order(context: Any) -> None:
    first, second = context.listed
    assert first
    assert first == second, (first, second)


@then('each item is listed once')
def each_item_listed_once(context: Any) -> None:
    counts = Counter(result['id'] for result in context.listed[0])
    assert set(counts.values()) == {1}, counts


@given('a site with a job that was never submitted')
def read_unknown_job(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        first = await site.results('entry-0', 'j9')
        site.store.mode = StoreMode.BUSY
        context.statuses = [first, await site.results('entry-1', 'j9')]

    play(scene)


@then('a read of its results gets 404, and 503 during an outage')
def unknown_job_statuses(context: Any) -> None:
    assert context.statuses == [404, 503], context.statuses


@given('a site whose store is {mode:w} for {away_s:f} s')
def set_store_outage(context: Any, mode: str, away_s: float) -> None:
    context.mode = StoreMode(mode)
    context.away_s = away_s


@when('a trainer submits a job, and again after the retry delay')
def submit_twice(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        loop = asyncio.get_running_loop()
        site.store.mode = context.mode
        began_s = loop.time()
        first = await site.submit('entry-0', JOB, [[2, 2]])
        assert first is not None
        context.first = first
        context.refused_s = loop.time() - began_s
        retry_s = float(first.headers.first('retry-after'))
        await asyncio.sleep(max(context.away_s - context.refused_s, 0))
        site.store.mode = StoreMode.UP
        await asyncio.sleep(max(began_s + retry_s - loop.time(), 0))
        context.second = await site.submit('entry-1', JOB, [[2, 2]])

    play(scene)


@then('the first submission is refused within 1 s, the second is accepted')
def second_is_accepted(context: Any) -> None:
    assert context.first.status == 503, context.first
    assert context.refused_s < 1, context.refused_s
    assert context.second.status == 202, context.second
