"""Steps for planned stops of several entries, on sites in virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

from behave import given, then

from features.job_scenes import (
    JOB,
    check_all_whole,
    lengths_of,
    other_entry,
    owner_of,
    running_requests,
    submit_job,
    take_over_at,
)
from features.support import logged
from lab.site import Site, play

#: Events of the job's items, by group. Each item waits or runs for seconds.
GROUPS = [[90, 90], [90, 90]]
#: How long the store takes for a response.
STORE_ANSWER_S = 0.4
#: Pause between two rounds of reads at an entry.
READ_PAUSE_S = 0.1
#: How long reads go on after the last stop.
READS_AFTER_STOPS_S = 5


def listed_in_store(site: Site) -> set[str]:
    """Return the listed items, whose bodies may be denied."""
    records = site.store.table.specs(f'job-{JOB}')
    return {
        result['item']
        for name, record in records.items()
        if name.startswith('result-')
        for result in record['results']
    }


async def read_bodies_and_page(site: Site, entry: str) -> dict[str, int | None]:
    """Return the status of each unlisted item's body, and of a page.

    A status is ``None`` if the entry did not respond.
    """
    statuses: dict[str, int | None] = {}
    for item in lengths_of(GROUPS):
        reply = await site.ask(entry, 'GET', f'/-/items/{JOB}?id={item}')
        if item not in listed_in_store(site):
            statuses[item] = None if reply is None else reply.status
    page = await site.ask(entry, 'GET', f'/-/lots/{JOB}?after=0')
    statuses['page'] = None if page is None else page.status
    return statuses


@given(
    'a site of {entries:d} entries of which {count:d} stop {gap:g} s after'
    ' each other'
)
def series_of_stops(context: Any, entries: int, count: int, gap: float) -> None:
    context.answers = []

    async def keep_reading(site: Site, entry: str) -> None:
        while True:
            context.answers.append(
                (entry, await read_bodies_and_page(site, entry))
            )
            await asyncio.sleep(READ_PAUSE_S)

    async def scene(site: Site) -> None:
        await site.start(entries=entries)
        await submit_job(site, GROUPS)
        await asyncio.sleep(0.5)
        owner = owner_of(site)
        others = [name for name in sorted(site.entries) if name != owner]
        site.store.answer_s = STORE_ANSWER_S
        readers = [
            asyncio.create_task(keep_reading(site, name))
            for name in site.entries
        ]
        stopping = []
        for name in (owner, *others[: count - 1]):
            stopping.append(asyncio.create_task(site.entries[name].stop()))
            await asyncio.sleep(gap)
        await asyncio.sleep(READS_AFTER_STOPS_S)
        for task in readers:
            task.cancel()
        await asyncio.gather(*readers, return_exceptions=True)
        listed = await site.all_results(others[-1], JOB)
        assert len(listed) == 4, listed
        await asyncio.gather(*stopping)
        for name in (owner, *others[: count - 1]):
            del site.entries[name]

    play(scene)


@then('no body of an unlisted item was denied, and no page')
def none_denied(context: Any) -> None:
    denied = [
        (entry, what)
        for entry, statuses in context.answers
        for what, status in statuses.items()
        if status == 404
    ]
    given_bodies = sum(
        status == 200
        for _, statuses in context.answers
        for status in statuses.values()
    )
    assert given_bodies > 100, given_bodies
    assert not denied, denied


@given('a site whose job is asked for bodies before and after its end')
def bodies_denied(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[2], [90]])
        await asyncio.sleep(1)
        for item in (f'{JOB}.0.0', 'strange'):
            await site.ask('entry-1', 'GET', f'/-/items/{JOB}?id={item}')
        await site.ask('entry-1', 'DELETE', f'/-/lots/{JOB}')
        await asyncio.sleep(0.2)
        await site.ask('entry-1', 'GET', f'/-/items/{JOB}?id={JOB}.1.0')

    with logged('bergamotdoor.gateway') as lines:
        play(scene)
        context.lines = tuple(lines)


@then('the log tells that an item was listed, ended and unknown')
def reasons_logged(context: Any) -> None:
    denials = [line for line in context.lines if 'no body of item' in line]
    expected = (
        (f'{JOB}.0.0: the item is listed; run running', '1 of 2 listed'),
        ('strange: the job has no such item; run running', '1 of 2 listed'),
        (f'{JOB}.1.0: the job has ended; run ended', '1 of 2 listed'),
    )
    assert len(denials) == len(expected), denials
    for line, parts in zip(denials, expected, strict=True):
        assert all(part in line for part in parts), (line, parts)


@given('a site whose owner stops while the store takes {answer:g} s an answer')
def slow_handoff(context: Any, answer: float) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await submit_job(site, GROUPS)
        await asyncio.sleep(1.5)
        owner = owner_of(site)
        site.store.answer_s = answer
        context.stopped_at_s = asyncio.get_running_loop().time()
        stopping = asyncio.create_task(site.entries[owner].stop())
        reader = other_entry(site, owner)
        context.results = await site.all_results(reader, JOB)
        await stopping
        del site.entries[owner]
        context.begun = {
            seen.request: (seen.at_s, seen.headers)
            for engine in site.engines.values()
            for seen in engine.seen
            if seen.at_s > context.stopped_at_s
        }

    play(scene)


@then(
    'all {count:d} items continue elsewhere within {most:g} s, after their last'
    ' event'
)
def continue_elsewhere(context: Any, count: int, most: float) -> None:
    assert len(context.begun) == count, context.begun
    for item, (at_s, headers) in context.begun.items():
        assert at_s - context.stopped_at_s <= most, (item, at_s)
        assert int(headers.get('last-event-id', '0')) > 0, (item, headers)


@then('all {count:d} results are listed, each once and whole')
def listed_whole(context: Any, count: int) -> None:
    check_all_whole(context.results, GROUPS, count)


@given('a site whose job is taken over by an entry that loads it in {load:g} s')
def slow_load(context: Any, load: float) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[20, 20], [90, 90]])
        owner = owner_of(site)
        second = other_entry(site, owner)
        site.store.list_s = load
        began_s = asyncio.get_running_loop().time()
        takeover = asyncio.create_task(take_over_at(site, second))
        context.read = await site.results(owner, JOB)
        read_s = asyncio.get_running_loop().time()
        await takeover
        loaded_s = asyncio.get_running_loop().time()
        assert began_s < read_s < loaded_s - 0.5, (began_s, read_s, loaded_s)
        await asyncio.sleep(0.1)
        reply = await site.ask(second, 'GET', f'/-/lots/{JOB}?after=0')
        assert reply is not None
        context.reply = reply

    play(scene)


@then('positions that were read at the first owner are not denied by it')
def not_denied_by_it(context: Any) -> None:
    assert len(context.read['results']) == 2, context.read
    if context.reply.status == 503:
        return
    results = context.reply.json['results']
    assert results == context.read['results'], results


@given('a site whose job is submitted again while its next owner loads it')
def submitted_again(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await submit_job(site, [[2, 2], [90, 90]])
        owner = owner_of(site)
        context.read = await site.results(owner, JOB)
        await site.kill(owner)
        second, third = sorted(site.entries)
        site.store.list_s = 1
        reading = asyncio.create_task(site.results(second, JOB))
        await asyncio.sleep(0.5)
        again = await site.submit(third, JOB, [[2, 2], [90, 90]])
        assert again is not None
        assert again.status == 202, again.status
        await reading
        context.second = await site.results(second, JOB)
        await asyncio.sleep(2)
        context.runs = Counter(
            seen.request
            for engine in site.engines.values()
            for seen in engine.seen
        )

    play(scene)


@then('the next owner lists the {count:d} results that had been read')
def lists_what_was_read(context: Any, count: int) -> None:
    results = context.read['results']
    assert len(results) == count, results
    assert context.second['results'][:count] == results, context.second


@then('nothing that was listed ran again')
def not_run_again(context: Any) -> None:
    for result in context.read['results']:
        assert context.runs[result['id']] == 1, context.runs


@given('a site whose next owner stops while it takes {load:g} s to load a job')
def stop_while_loading(context: Any, load: float) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await submit_job(site, GROUPS)
        await asyncio.sleep(0.7)
        first = owner_of(site)
        second = other_entry(site, first)
        await site.kill(first)
        site.store.list_s = load
        reading = asyncio.create_task(site.results(second, JOB))
        await asyncio.sleep(0.1)
        assert owner_of(site) == second
        await site.entries.pop(second).stop()
        await reading
        await asyncio.sleep(0.1)
        context.running = running_requests(site)

    play(scene)


@then('all {count:d} items run at its end, without a reader')
def run_without_reader(context: Any, count: int) -> None:
    assert len(context.running) == count, context.running
