"""Steps for calls that must not be suspected of ending upstreams."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

from behave import given, then, when

from features.crash_scenes import (
    CrashPlan,
    send_crashing_request,
    send_slow_request,
)
from lab.site import Site, play
from lab.upstreams import Upstream, UpstreamMode, register


def count_held_back(site: Site) -> int:
    """Return how many calls and items all entries have held back."""
    counted = count_all(site)
    return counted['calls_quarantined'] + counted['items_quarantined']


def count_all(site: Site) -> Counter[str]:
    """Return the sums of all entries' counters, by name."""
    counted: Counter[str] = Counter()
    for entry in site.entries.values():
        for row in entry._context.metrics.snapshot().counters:
            counted[row.name] += row.count
    return counted


@when('slow calls run at the same upstreams as each of its {times:d} arrivals')
def run_slow_calls_beside(context: Any, times: int) -> None:
    async def act(site: Site) -> None:
        context.slow = []
        for number in range(times):
            for service in site.services.values():
                service.work_s = 0.04
            beside = [
                asyncio.create_task(send_slow_request(site, number, slow))
                for slow in range(6)
            ]
            await asyncio.sleep(0.01)
            await send_crashing_request(site, 'entry-0', f'call-{number}')
            context.slow.extend(await asyncio.gather(*beside))
            await asyncio.sleep(7)
        context.statuses = await repeat_slow_calls(site, times)

    context.plan.act = act
    play(context.plan)


async def repeat_slow_calls(site: Site, times: int) -> list[int]:
    return [
        await send_slow_request(site, number, slow)
        for number in range(times)
        for slow in range(6)
    ]


@then('only the request that ends upstreams is held back')
def slow_calls_are_answered(context: Any) -> None:
    assert set(context.statuses) == {200}, context.statuses


@given('a site with {entries:d} entries and callers that repeat the same calls')
def set_up_repeating_callers(context: Any, entries: int) -> None:
    context.plan = CrashPlan(entries)


@when('all upstreams {end}, {times:d} times, {pause_s:d} s apart')
def end_all_upstreams(context: Any, end: str, times: int, pause_s: int) -> None:
    async def act(site: Site) -> None:
        for service in site.services.values():
            service.work_s = 0.3
        callers = [
            asyncio.create_task(repeat_call(site, entry, number))
            for entry in site.entries
            for number in range(5)
        ]
        try:
            await end_repeatedly(site, ENDS[end], times, pause_s)
        finally:
            for caller in callers:
                caller.cancel()
        context.held_back = count_held_back(site)
        context.ended_counts = [
            len(entry._context.quarantine._by_upstream)
            for entry in site.entries.values()
        ]

    context.plan.act = act
    play(context.plan)


async def end_repeatedly(
    site: Site, end: Any, times: int, pause_s: int
) -> None:
    for _ in range(times):
        await asyncio.sleep(pause_s)
        while not any(service.running for service in site.services.values()):
            await asyncio.sleep(0.01)
        await asyncio.gather(
            *(end(site, service) for service in site.services.values())
        )


async def repeat_call(site: Site, entry: str, number: int) -> None:
    while True:
        await site.ask(entry, 'POST', f'/book/same-{number}', b'x', timeout_s=1)
        await asyncio.sleep(0.05 + 0.03 * number)


async def crash(site: Site, upstream: Upstream) -> None:
    await upstream.restart(1)
    register(site.store, upstream)


async def lose_power(site: Site, upstream: Upstream) -> None:
    """Stop responding for 1 s, then restart without any earlier state."""
    upstream.mode = UpstreamMode.DARK
    await asyncio.sleep(1)
    upstream.mode = UpstreamMode.GOOD
    await crash(site, upstream)


async def leave(site: Site, upstream: Upstream) -> None:
    """Drain and end before the entries know of it.

    They gather changes of registrations for a second after each change.
    """
    register(site.store, upstream, cold_left_ms=1)
    await asyncio.sleep(0.1)
    register(site.store, upstream, state='draining')
    await asyncio.sleep(0.5)
    await crash(site, upstream)


ENDS = {
    'crash at the same moment': crash,
    'lose power': lose_power,
    'leave, with calls in progress': leave,
}


@then('no call was quarantined')
def no_call_was_held_back(context: Any) -> None:
    assert all(context.ended_counts), context.ended_counts
    assert not context.held_back, (context.held_back, context.ended_counts)


async def crash_late(site: Site, upstream: Upstream) -> None:
    """Crash after the entries know that the upstream leaves."""
    register(site.store, upstream, state='draining')
    await asyncio.sleep(1.2)
    await crash(site, upstream)


async def break_connections(_: Site, upstream: Upstream) -> None:
    upstream.mode = UpstreamMode.BROKEN


BREAKS = {
    'are leaving': crash_late,
    'still take connections': break_connections,
}


@when('calls break at upstreams that {state}')
def calls_break(context: Any, state: str) -> None:
    async def act(site: Site) -> None:
        services = tuple(site.services.values())
        for service in services:
            service.work_s = 1.4
        breaks = [
            asyncio.create_task(BREAKS[state](site, one)) for one in services
        ]
        await site.ask('entry-0', 'POST', '/book/one', b'x', Request_Id='one')
        await asyncio.gather(*breaks)
        context.counted = count_all(site)

    context.plan.act = act
    play(context.plan)


@then('the breaks are counted as {counter}')
def breaks_are_counted(context: Any, counter: str) -> None:
    assert context.counted[counter] >= 1, context.counted
    assert not context.counted['upstreams_ended_under_requests']
