"""Steps for jobs of which an entry can't tell whether they are stored."""

from __future__ import annotations

import asyncio
import datetime as dt
from collections import Counter
from typing import Any

from behave import given, then

from bergamotdoor.steps.unclear_jobs import UnclearJobs
from bergamotdoor.types import JobId
from features.job_scenes import (
    JOB,
    end_outages,
    lengths_of,
    lose_record_write,
    submit_job,
)
from lab.site import Site, play
from lab.store import StoreMode
from lab.virtual import run_virtual, virtual_clock

_GROUPS = [[2, 2], [3, 3]]


def _runs(site: Site) -> Counter[str]:
    """Return how often each item has reached an engine."""
    return Counter(
        run.request for engine in site.engines.values() for run in engine.seen
    )


async def _leave_unclear(context: Any, site: Site) -> None:
    """Have the store create the job without an answer, and then go away."""
    await site.start(entries=3)
    lose_record_write(site)
    first = await site.submit('entry-0', JOB, _GROUPS)
    assert first is not None
    context.statuses = [first.status]
    context.delays = [first.headers.first('retry-after')]
    assert JOB in site.store.table.specs('jobs')


@given('a site whose job is submitted again during an outage of the store')
def submit_again_during_outage(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await submit_job(site, _GROUPS)
        site.store.mode = StoreMode.BUSY
        context.statuses = []
        for entry in sorted(site.entries):
            reply = await site.submit(entry, JOB, _GROUPS)
            context.statuses.append(None if reply is None else reply.status)
        site.store.mode = StoreMode.UP
        await site.all_results('entry-1', JOB)
        context.runs = _runs(site)

    play(scene)


@then('the entry that knows the owner accepts it, and every item runs once')
def known_job_is_accepted(context: Any) -> None:
    assert context.statuses == [202, 202, 202], context.statuses
    assert set(context.runs.values()) == {1}, context.runs


@given('a site whose store creates a job at one entry and stays away')
def submit_unclear_job(context: Any) -> None:
    async def scene(site: Site) -> None:
        await _leave_unclear(context, site)
        for entry in ('entry-1', 'entry-2', 'entry-0'):
            reply = await site.submit(entry, JOB, _GROUPS)
            assert reply is not None
            context.statuses.append(reply.status)
            context.delays.append(reply.headers.first('retry-after'))
        end_outages(site)
        await asyncio.sleep(7)
        context.unasked = _runs(site)
        await submit_job(site, _GROUPS)
        context.results = await site.all_results('entry-1', JOB)
        context.runs = _runs(site)

    play(scene)


@then('every entry answers 504 while the store is away')
def every_entry_is_unsure(context: Any) -> None:
    assert context.statuses == [504, 504, 504, 504], context.statuses


@then('each of the answers has a retry delay of {least:g} to {most:g} s')
def unclear_answers_have_delays(
    context: Any, least: float, most: float
) -> None:
    assert all(context.delays), context.delays
    assert all(least <= float(one) <= most for one in context.delays)


@then('the job runs at no engine unless somebody asks for it')
def unasked_job_does_not_run(context: Any) -> None:
    assert not context.unasked, context.unasked


@then('it is accepted after the outage, and every item runs once')
def unclear_job_runs_once(context: Any) -> None:
    assert set(context.runs.values()) == {1}, context.runs
    assert len(context.results) == len(lengths_of(_GROUPS)), context.results


@given('a site whose unclear job is read after the outage')
def read_unclear_job(context: Any) -> None:
    async def scene(site: Site) -> None:
        await _leave_unclear(context, site)
        end_outages(site)
        context.results = await site.all_results('entry-2', JOB)

    play(scene)


@then('all of its items are listed, each once')
def unclear_job_is_listed(context: Any) -> None:
    listed = sorted(result['id'] for result in context.results)
    assert listed == sorted(lengths_of(_GROUPS)), listed


@given('a site whose client leaves while the store creates its job')
def leave_during_creation(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        submission = asyncio.create_task(site.submit('entry-0', JOB, _GROUPS))
        while f'job-{JOB}' not in site.store.table.objects:
            await asyncio.sleep(0.001)
        site.store.write_faults.unanswered = 1
        while 'jobs' not in site.store.table.objects:
            await asyncio.sleep(0.001)
        site.store.mode = StoreMode.SILENT
        await asyncio.sleep(0.1)
        submission.cancel()
        await asyncio.sleep(0.1)
        site.store.mode = StoreMode.BUSY
        context.reply = await site.submit('entry-1', JOB, _GROUPS)

    play(scene)


@then('another entry answers 504 while the store is away')
def next_entry_is_unsure(context: Any) -> None:
    assert context.reply.status == 504, context.reply


@given('a memory of unclear jobs that keeps each for {kept_s:d} s')
def new_memory(context: Any, kept_s: int) -> None:
    context.kept = dt.timedelta(seconds=kept_s)


@then('a job added {age_s:d} s ago is forgotten, and one added again is not')
def old_job_is_forgotten(context: Any, age_s: int) -> None:
    async def scene() -> set[JobId]:
        memory = UnclearJobs(virtual_clock(), context.kept)
        memory.add(JobId('j1'))
        memory.add(JobId('j2'))
        await asyncio.sleep(age_s - 2)
        memory.add(JobId('j2'))
        await asyncio.sleep(2)
        return set(filter(memory.__contains__, (JobId('j1'), JobId('j2'))))

    assert run_virtual(scene()) == {'j2'}


@then('at most {most:d} of {added:d} jobs are remembered')
def memory_is_bounded(context: Any, most: int, added: int) -> None:
    async def scene() -> int:
        memory = UnclearJobs(virtual_clock(), context.kept)
        for number in range(added):
            memory.add(JobId(f'k{number}'))
        assert f'k{added - 1}' in memory
        return len(memory)

    assert run_virtual(scene()) <= most
