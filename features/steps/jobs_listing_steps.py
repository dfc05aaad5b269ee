"""Steps for bergamotdoor.jobs.listing, and a trainer that reads steps."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import Any

from behave import given, then, when

from bergamotdoor.jobs.listing import TargetProgress, holds
from lab.site import Site, play
from lab.wire import JobItem, job_body

#: As the models of engines make events.
EVENT_S = 0.04
READ_S = 0.5


def ms(value: float) -> dt.timedelta:
    return dt.timedelta(milliseconds=value)


@given('a trainer that waits for 1 more group, which takes {wait_ms:d} ms')
def waits_for_one(context: Any, wait_ms: int) -> None:
    context.progress = TargetProgress(1, (), (ms(wait_ms), ms(5000)))


@then('what is whole waits, and is listed once it has waited for 1 s')
def held(context: Any) -> None:
    due_in = ms(3000)
    assert holds(context.progress, ms(0), due_in)
    assert holds(context.progress, ms(600), due_in)
    assert not holds(context.progress, ms(601), due_in)
    now_whole = TargetProgress(0, (), (ms(5000),))
    assert not holds(now_whole, ms(0), due_in)


@then('what is whole is listed at once')
def at_once(context: Any) -> None:
    assert not holds(context.progress, ms(0), ms(3000))


@then('what is whole is listed at once if the step is due')
def at_once_if_due(context: Any) -> None:
    assert not holds(context.progress, ms(0), ms(0))


@given('groups of 0.2 s, 0.3 s and 0.9 s, the last of which came again')
def came_again(context: Any) -> None:
    context.again = (ms(900),)
    context.others = (ms(300), ms(200))


@when('the trainer waits for 1 other group')
def one_other(context: Any) -> None:
    context.progress = TargetProgress(1, context.again, context.others)


@then('its target takes 0.9 s')
def takes(context: Any) -> None:
    assert context.progress.time_left() == ms(900)
    only_other = TargetProgress(1, (), context.others)
    assert only_other.time_left() == ms(200)


@given('a site and {count:d} steps whose two groups end {apart_s:f} s apart')
def pairs(context: Any, count: int, apart_s: float) -> None:
    apart = round(apart_s / EVENT_S)
    context.lengths = [
        (30 + 3 * number, 30 + 3 * number + apart) for number in range(count)
    ]


async def read_to_end(site: Site, job: str, total: int) -> float:
    """Read as a trainer does; return when it has the last result."""
    loop = asyncio.get_running_loop()
    read = 0
    while True:
        began_s = loop.time()
        page = await site.results('entry-0', job, read)
        left_s = began_s + READ_S - loop.time()
        await asyncio.sleep(max(left_s, 0))
        if isinstance(page, dict):
            read += len(page['results'])
        if read >= total:
            return loop.time()


async def step_delay(site: Site, job: str, lengths: tuple[int, int]) -> float:
    """Return by how much a step ends later than its longest text."""
    items = [
        JobItem(f'{job}.{length}', length, f'{job}.{length}', hint=length)
        for length in lengths
    ]
    body = job_body('/roll/', items, 1, len(items))
    began_s = asyncio.get_running_loop().time()
    reply = await site.ask(
        'entry-0', 'POST', f'/roll/{job}', body, Request_Id=job
    )
    assert reply is not None and reply.status == 202, reply
    ended_s = await read_to_end(site, job, len(items))
    return ended_s - began_s - max(lengths) * EVENT_S


@when('a trainer reads each of them twice a second')
def reads(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        context.delays_s = [
            await step_delay(site, f'j{number}', lengths)
            for number, lengths in enumerate(context.lengths)
        ]

    play(scene)


@then('a step ends at most {most_s:f} s after its last text, on average')
def ends_in_time(context: Any, most_s: float) -> None:
    mean_s = sum(context.delays_s) / len(context.delays_s)
    assert mean_s <= most_s, (mean_s, context.delays_s)
