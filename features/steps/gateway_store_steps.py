"""Steps for batch jobs while the store is slow or unreachable."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given, then

from features.job_scenes import (
    JOB,
    end_outages,
    lengths_of,
    lose_record_write,
    other_entry,
    owner_of,
    read_at_each_entry,
    run_headers,
    submit_job,
)
from lab.site import Site, at, play
from lab.store import StoreMode


@given('a site whose store refuses calls when a job is submitted')
def submit_while_refusing(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        site.store.mode = StoreMode.BUSY
        began = site.clock.elapsed()
        refused = await site.submit('entry-0', JOB, [[2, 2]])
        assert refused is not None
        context.refused = refused
        context.took = site.clock.elapsed() - began
        await asyncio.sleep(1)
        context.ran = sum(len(engine.seen) for engine in site.engines.values())
        site.store.mode = StoreMode.UP
        await submit_job(site, [[2, 2]])
        context.results = await site.all_results('entry-1', JOB)

    play(scene)


@then('the job is refused within 1 s and nothing of it ran')
def is_refused_at_once(context: Any) -> None:
    assert context.refused.status == 503, context.refused.status
    assert float(context.refused.headers.first('retry-after')) > 0
    assert context.took.total_seconds() < 1, context.took
    assert not context.ran


@then('the job is accepted and runs once the store has recovered')
def runs_after_recovery(context: Any) -> None:
    assert len(context.results) == 2, context.results


@given('a site whose store creates a job and then refuses calls')
def submit_before_outage(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        lose_record_write(site)
        context.reply = await site.submit('entry-0', JOB, [[2, 2]])
        end_outages(site)
        for name in tuple(site.entries):
            await site.kill(name)
            await site.add_entry(name)
        context.results = await site.all_results('entry-1', JOB)

    play(scene)


@then('the job is not refused, and it runs once the entries are restarted')
def created_job_is_not_refused(context: Any) -> None:
    assert len(context.results) == 2, context.results
    assert context.reply.status == 504, context.reply.status


@given('a site whose store loses its responses when a job is submitted')
def submit_while_losing_responses(context: Any) -> None:
    context.groups = [[2, 2], [3]]

    async def scene(site: Site) -> None:
        await site.start()
        site.store.write_faults.unanswered = 2
        await submit_job(site, context.groups)
        await read_at_each_entry(context, site)

    play(scene)


@then('the job is accepted and every item is listed once')
def every_item_listed_once(context: Any) -> None:
    first, second = context.listed
    assert first == second
    assert sorted(result['id'] for result in first) == sorted(
        lengths_of(context.groups)
    )


@given('a site whose store takes {seconds:f} s to list a job after a restart')
def read_after_slow_load(context: Any, seconds: float) -> None:
    context.groups = [[2, 2], [3, 3]]

    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, context.groups)
        await site.all_results('entry-0', JOB)
        await site.ask('entry-0', 'DELETE', f'/-/lots/{JOB}')
        for name in tuple(site.entries):
            await site.kill(name)
        for name in ('entry-0', 'entry-1'):
            await site.add_entry(name)
        await asyncio.sleep(3)
        site.store.list_s = seconds
        owner = owner_of(site)
        context.results = await site.all_results(other_entry(site, owner), JOB)

    play(scene)


@given('a site whose store delays two writes of results')
def run_with_delayed_writes(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[2, 2], [4, 4], [60, 3]])
        site.store.write_faults.delayed = 2
        await read_at_each_entry(context, site)
        assert len(context.listed[0]) == 6, context.listed

    play(scene)


@given("a site whose owner can't reach the store")
def run_without_store_access(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[10, 10], [20, 20]])
        owner = owner_of(site)
        # Nothing listens at the address at which this entry calls the store.
        access = site.entries[owner]._access
        access.direct.address = at(8999)
        await read_at_each_entry(context, site)
        assert len(context.listed[0]) == 4, context.listed

    play(scene)


@given('a site whose store turns slow while a job of long items runs')
def run_with_slow_store(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await submit_job(site, [[90, 90]])
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
            len(run_headers(site, item)) for item in lengths_of([[90, 90]])
        ]

    play(scene)


@then('its owner stays the same, and no reader waits longer than {most_s:g} s')
def owner_stays_the_same(context: Any, most_s: float) -> None:
    assert len(context.owners) == 1, context.owners
    assert max(context.waits_s) <= most_s, context.waits_s


@then('every item ran once despite the slow store')
def every_item_ran_once(context: Any) -> None:
    assert context.runs == [1, 1], context.runs
