"""Steps for the runs of batch jobs' items at engines."""

from __future__ import annotations

import asyncio
from collections import Counter
from http import HTTPStatus
from typing import Any

from behave import given, then

from features.job_scenes import (
    JOB,
    check_all_whole,
    lengths_of,
    parse_lengths,
    run_headers,
    submit_job,
)
from lab.site import Site, play
from lab.upstreams import UpstreamMode


@given('a site whose engines are {mode} for a job of groups {groups}')
def failing_engines(context: Any, mode: str, groups: str) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        for broken in site.engines.values():
            broken.mode = UpstreamMode(mode)
        await submit_job(site, parse_lengths(groups))
        context.results = await site.all_results('entry-0', JOB)
        context.runs = Counter(
            seen.request
            for engine in site.engines.values()
            for seen in engine.seen
        )

    play(scene)


@then("the job's items are listed as lost after at most {runs:d} runs each")
def lost_after_runs(context: Any, runs: int) -> None:
    states = [result['state'] for result in context.results]
    assert states == ['lost', 'lost'], context.results
    assert max(context.runs.values()) <= runs, context.runs


@given('a site whose engines each send {count:d} late responses of {status:d}')
def late_responses(context: Any, count: int, status: int) -> None:
    context.groups = [[2]]

    async def scene(site: Site) -> None:
        await site.start()
        for engine in site.engines.values():
            engine.late_statuses.extend(
                [HTTPStatus(status) for _ in range(count)]
            )
        await submit_job(site, context.groups)
        context.results = await site.all_results('entry-0', JOB)
        context.late_count = sum(
            count - len(one.late_statuses) for one in site.engines.values()
        )

    play(scene)


@then('a late response was sent')
def late_response_sent(context: Any) -> None:
    assert context.late_count, context.results


@given('a site whose first engine breaks off after {events:d} events')
def breaks_off(context: Any, events: int) -> None:
    context.groups = [[20, 20], [20, 20]]

    async def scene(site: Site) -> None:
        await site.start()
        site.engines['engine-0'].break_after = events
        await submit_job(site, context.groups)
        context.results = await site.all_results('entry-0', JOB)
        context.begun = {
            int(headers.get('last-event-id', '0'))
            for item in lengths_of(context.groups)
            for headers in run_headers(site, item)
        }

    play(scene)


@then('every item of the job is listed whole')
def all_complete(context: Any) -> None:
    check_all_whole(
        context.results, context.groups, len(lengths_of(context.groups))
    )


@then('a run began behind event {event:d}')
def run_continued(context: Any, event: int) -> None:
    assert event in context.begun, context.begun


@given('a site whose first engine stands still after {after:f} s')
def engine_stalls(context: Any, after: float) -> None:
    context.groups = [[40, 40], [40, 40]]

    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, context.groups)
        await asyncio.sleep(after)
        site.engines['engine-0'].loading = True
        context.results = await site.all_results('entry-0', JOB, 3.5)

    play(scene)


@then('every item of the job is listed whole within 4 s')
def listed_in_time(context: Any) -> None:
    all_complete(context)


@given('a site whose first engine has old weights')
def old_weights(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        engine = site.engines['engine-1']
        engine.version = 2
        site.store.put('servers', engine.name, engine.registration())
        await asyncio.sleep(1)
        await submit_job(site, [[3, 3], [3, 3]], min_version=2)
        context.results = await site.all_results('entry-0', JOB)
        context.old_engine = site.engines['engine-0'].seen

    play(scene)


async def read_to_end(context: Any, site: Site) -> None:
    """Read all results, and record them and the time that it took."""
    started_at = site.clock.elapsed()
    context.results = await site.all_results('entry-0', JOB, within_s=100)
    context.took_s = (site.clock.elapsed() - started_at).total_seconds()


@given('a site whose engines hang and whose route gives up after 3 s')
def given_up(context: Any) -> None:
    async def scene(site: Site) -> None:
        site.routes[0]['max_wait_s'] = 3
        await site.start()
        for engine in site.engines.values():
            engine.mode = UpstreamMode.DARK
        await submit_job(site, [[3, 3], [3, 3]])
        await read_to_end(context, site)

    play(scene)


@given('a site whose route is taken away while its engines hang')
def route_gone(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        for engine in site.engines.values():
            engine.mode = UpstreamMode.DARK
        await submit_job(site, [[3, 3], [3, 3]])
        site.put_manifest(routes=site.routes[1:])
        await read_to_end(context, site)

    play(scene)


@then('every item is listed as lost after {least_s:d} to {most_s:d} s')
def all_lost(context: Any, least_s: int, most_s: int) -> None:
    states = [result['state'] for result in context.results]
    assert len(states) == 4, states
    assert set(states) == {'lost'}, states
    assert least_s <= context.took_s <= most_s, context.took_s


@given('a site whose first engine is behind its registration')
def outdated_engine(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        for engine in site.engines.values():
            engine.version = 2
            site.store.put('servers', engine.name, engine.registration())
        site.engines['engine-0'].version = 1
        await asyncio.sleep(1)
        started_at = site.clock.elapsed()
        await submit_job(site, [[50, 50], [50, 50]], min_version=2)
        context.results = await site.all_results('entry-0', JOB)
        context.took_s = (site.clock.elapsed() - started_at).total_seconds()

    play(scene)


@then('the results were there after less than {most_s:g} s')
def listed_soon(context: Any, most_s: float) -> None:
    assert context.took_s < most_s, context.took_s


@then("the first engine gets none of the job's items")
def no_items_there(context: Any) -> None:
    assert not context.old_engine, context.old_engine


@then('every result names the newer version only')
def newer_version(context: Any) -> None:
    versions = [result['versions'] for result in context.results]
    assert len(versions) == 4
    assert all(found == [2] for found in versions), versions


@given('a site whose engines change weights in the middle of an item')
def change_weights(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(engines=1)
        await submit_job(site, [[20]])
        await asyncio.sleep(0.5)
        site.engines['engine-0'].version = 2
        context.results = await site.all_results('entry-0', JOB)

    play(scene)


@then("the item's result names both versions")
def both_versions(context: Any) -> None:
    assert context.results[0]['versions'] == [1, 2], context.results
