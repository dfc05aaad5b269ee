"""Steps for requests under which upstreams end."""

from __future__ import annotations

import asyncio
import re
from typing import Any, NamedTuple

import msgspec
from behave import given, then, when

from bergamotdoor.cli.ctl import Seen, status_lines
from bergamotdoor.settings.document import Address
from features.crash_scenes import (
    CrashPlan,
    count_crashes,
    send_crashing_request,
    time_crashing_request,
)
from features.support import logged
from lab.site import Site, play
from lab.site_routes import plain_route
from lab.upstreams import UpstreamMode


@given(
    'a site with {entries:d} entries and a request that ends the upstreams '
    'it reaches'
)
def set_up_site(context: Any, entries: int) -> None:
    context.plan = CrashPlan(entries)


@given(
    'a site with {entries:d} entries and a request that ends {services:d} '
    'services'
)
def set_up_services(context: Any, entries: int, services: int) -> None:
    context.plan = CrashPlan(entries, services)


@when('it arrives at each entry, {pause_s:d} s apart')
def arrive_at_each_entry(context: Any, pause_s: int) -> None:
    async def act(site: Site) -> int:
        for number, entry in enumerate(site.entries):
            await send_crashing_request(site, entry, f'call-{number}')
            await asyncio.sleep(pause_s)
        return sum(service.crashes.count for service in site.services.values())

    context.plan.act = act
    with logged('bergamotdoor.gateway') as lines:
        context.ends = play(context.plan)
        context.lines = tuple(lines)


@then('each end of an upstream has a log line with the same fingerprint')
def lines_have_same_fingerprint(context: Any) -> None:
    fingerprints = [
        match.group(1)
        for line in context.lines
        if (match := re.search(r'fingerprint (\w+), at .*may-have-run', line))
    ]
    assert context.ends >= 2, context.ends
    assert len(fingerprints) == context.ends, (context.ends, context.lines)
    assert len(set(fingerprints)) == 1, fingerprints


class Arrival(NamedTuple):
    """One arrival of the request at an entry."""

    #: How many upstreams had ended under it before.
    ended_before: int
    #: How many upstreams it reached, and ended, this time.
    reached: int
    status: int


@when(
    'it arrives {times:d} times, each time at the next entry, '
    '{pause_s:d} s apart'
)
def arrive_at_next_entries(context: Any, times: int, pause_s: int) -> None:
    async def act(site: Site) -> list[Arrival]:
        arrivals = []
        entries = list(site.entries)
        for number in range(times):
            before = count_crashes(site)
            entry = entries[number % len(entries)]
            reply = await send_crashing_request(site, entry, f'call-{number}')
            reached = count_crashes(site) - before
            arrivals.append(Arrival(before, reached, reply.status))
            await asyncio.sleep(pause_s)
        return arrivals

    context.plan.act = act
    context.arrivals = play(context.plan)


@when(
    'it arrives {times:d} times, each time at two entries at once, '
    '{pause_s:d} s apart'
)
def arrive_at_two_entries(context: Any, times: int, pause_s: int) -> None:
    async def act(site: Site) -> list[Arrival]:
        arrivals: list[Arrival] = []
        for number in range(times):
            before = count_crashes(site)
            replies = await asyncio.gather(
                send_crashing_request(site, 'entry-0', f'first-{number}'),
                send_crashing_request(site, 'entry-1', f'second-{number}'),
            )
            reached = count_crashes(site) - before
            arrivals.extend(
                Arrival(before, reached, reply.status) for reply in replies
            )
            await asyncio.sleep(pause_s)
        return arrivals

    context.plan.act = act
    context.arrivals = play(context.plan)


@then('at most {most:d} of its retries reach an upstream once three have ended')
def few_retries_reach_upstreams(context: Any, most: int) -> None:
    retries = [
        arrival for arrival in context.arrivals if arrival.ended_before >= 3
    ]
    assert retries, context.arrivals
    reaching = [arrival for arrival in retries if arrival.reached]
    assert len(reaching) <= most, context.arrivals


@when('it arrives at one entry and {pause_s:f} s later at the other')
def arrive_at_one_then_other(context: Any, pause_s: float) -> None:
    async def act(site: Site) -> None:
        await send_crashing_request(site, 'entry-0', 'call-0')
        await asyncio.sleep(pause_s)
        context.second = await time_crashing_request(site, 'entry-1', 'call-1')
        context.ends = count_crashes(site)
        other = await site.ask(
            'entry-1', 'POST', '/book/sound', b'x', Request_Id='sound'
        )
        context.other = other and other.status
        context.states = [
            entry._inspector.dump() for entry in site.entries.values()
        ]

    context.plan.act = act
    play(context.plan)


@then(
    'the second arrival gets 503 within {most_ms:d} ms, to retry after '
    '{least_s:d} to {most_s:d} s'
)
def second_is_refused_at_once(
    context: Any, most_ms: int, least_s: int, most_s: int
) -> None:
    second = context.second
    assert second.status == 503, second
    assert second.took_s * 1000 <= most_ms, second
    assert least_s <= second.retry_after_s <= most_s, second


@then('the status of both entries shows it, with {count:d} upstreams ended')
def status_shows_request(context: Any, count: int) -> None:
    assert len(context.states) == 2
    for state in context.states:
        body = msgspec.json.encode({'gateway': state})
        answer = Seen(Address(ip='127.0.0.1', port=1), body)
        last_lines = list(status_lines((answer,)))[-2:]
        assert last_lines[0] == 'requests that end upstreams: 1', last_lines
        assert f'{count} upstreams ended, calls are held back' in last_lines[1]


@then('one upstream has not ended, and serves other callers')
def one_upstream_is_left(context: Any) -> None:
    assert context.ends == 2, context.ends
    assert context.other == 200, context.other


@when('it arrives twice, and again {pause_s:d} s later at mended upstreams')
def arrive_at_mended(context: Any, pause_s: int) -> None:
    async def act(site: Site) -> None:
        await send_crashing_request(site, 'entry-0', 'call-0')
        await asyncio.sleep(6)
        await send_crashing_request(site, 'entry-0', 'call-1')
        context.ends = count_crashes(site)
        for service in site.services.values():
            service.crashes.targets.clear()
        await asyncio.sleep(pause_s)
        context.first = await time_crashing_request(site, 'entry-0', 'call-2')
        slow_down_services(site)
        context.second = await time_crashing_request(site, 'entry-0', 'call-3')
        context.request_ids = request_ids_seen(site)

    context.plan.act = act
    play(context.plan)


def request_ids_seen(site: Site) -> list[str]:
    return [
        run.request
        for service in site.services.values()
        for run in service.seen
    ]


def slow_down_services(site: Site) -> None:
    for service in site.services.values():
        service.work_s = 0.5


@then('it gets 200, and is hedged and repeated like any other call')
def is_like_any_other(context: Any) -> None:
    assert context.ends == 3, context.ends
    assert context.first.status == 200, context.first
    assert context.second.status == 200, context.second
    assert context.request_ids.count('call-3') == 2, context.request_ids


@given('a site with {engines:d} engines and streams that {may} be resumed')
def set_up_streams(context: Any, engines: int, may: str) -> None:
    context.plan = CrashPlan(2, services=0)
    context.plan.engines = engines
    context.resumable = may == 'may'


@when('a stream that ends engines arrives {times:d} times, {pause_s:d} s apart')
def stream_arrives(context: Any, times: int, pause_s: int) -> None:
    async def act(site: Site) -> None:
        site.routes.append(
            {
                **plain_route('/stream/', 'stream', 3),
                'service': 'lm',
                'can_resume': context.resumable,
            }
        )
        site.put_manifest()
        for engine in site.engines.values():
            engine.crashes.targets.add('/stream/1')
        await asyncio.sleep(2.5)
        for number in range(times):
            entry = f'entry-{number % 2}'
            await site.ask(
                entry, 'POST', '/stream/1', b'9', Request_Id=f'call-{number}'
            )
            await asyncio.sleep(pause_s)
        context.ends = sum(
            upstream.crashes.count for upstream in site.engines.values()
        )

    context.plan.act = act
    play(context.plan)


@then('at most {most:d} engines end')
def few_engines_end(context: Any, most: int) -> None:
    assert 1 <= context.ends <= most, context.ends


@when('it is sent to one upstream that fails and to two that end under it')
def send_to_failing_and_ending(context: Any) -> None:
    async def act(site: Site) -> None:
        site.routes.append(plain_route('/book/', 'safe', 3))
        site.routes.pop(1)
        site.put_manifest()
        failing = site.services['desk-0']
        failing.crashes.targets.clear()
        failing.mode = UpstreamMode.FAILING
        # With that many slots it is chosen first.
        spec = failing.registration(slots=100)
        site.store.put('servers', failing.name, spec)
        await asyncio.sleep(2.5)
        context.reply = await send_crashing_request(site, 'entry-0', 'call-0')
        context.ends = count_crashes(site)

    context.plan.act = act
    play(context.plan)


@then('the caller gets the 500 of the upstream')
def caller_gets_failure(context: Any) -> None:
    assert context.ends == 2, context.ends
    assert context.reply.status == 500, context.reply.status
