"""Steps for requests under which upstreams end."""

from __future__ import annotations

import asyncio
import datetime as dt
import functools
import re
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from behave import given, then, when

from bergamotdoor.cli.ctl import Seen, status_lines
from bergamotdoor.forwarding.answers import judge
from bergamotdoor.http.messages import (
    ClientFailure,
    ClientRequest,
    ClientResponse,
    Headers,
)
from bergamotdoor.http.sending import send
from bergamotdoor.settings.document import Address
from bergamotdoor.verdict import Verdict
from features.support import logged
from lab.site import Site, plain_route, play
from lab.upstreams import Upstream, UpstreamMode, register

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CRASHING = '/book/crashing'


class CrashPlan:
    """A site where one request ends each upstream that runs it."""

    def __init__(self, entries: int, services: int = 3) -> None:
        self.entries = entries
        self.services = services
        self.engines = 0
        self.act: Any = None

    async def __call__(self, site: Site) -> Any:
        await site.start(self.engines, self.services, self.entries)
        for upstream in (*site.services.values(), *site.engines.values()):
            upstream.crashes.targets.add(CRASHING)
            upstream.crashes.started_again = functools.partial(
                again, site, upstream
            )
        return await self.act(site)


def again(site: Site, upstream: Upstream) -> None:
    register(site.store, upstream)


async def arrive(site: Site, entry: str, request: str) -> Any:
    return await site.ask(
        entry, 'POST', CRASHING, b'x', Request_Id=request, Deadline_Ms='1500'
    )


@given(
    'a site with {entries:d} entries and a request that ends the upstreams '
    'it reaches'
)
def crashing_site(context: Any, entries: int) -> None:
    context.plan = CrashPlan(entries)


@when('it comes at each entry, {pause_s:d} s apart')
def comes_at_each(context: Any, pause_s: int) -> None:
    async def act(site: Site) -> int:
        for number, entry in enumerate(site.entries):
            await arrive(site, entry, f'call-{number}')
            await asyncio.sleep(pause_s)
        return sum(one.crashes.count for one in site.services.values())

    context.plan.act = act
    with logged('bergamotdoor.gateway') as lines:
        context.ends = play(context.plan)
        context.lines = tuple(lines)


@then('each end of an upstream has a line with the same fingerprint')
def same_fingerprint(context: Any) -> None:
    found = [
        told.group(1)
        for line in context.lines
        if (told := re.search(r'fingerprint (\w+), at .*may-have-run', line))
    ]
    assert context.ends >= 2, context.ends
    assert len(found) == context.ends, (context.ends, context.lines)
    assert len(set(found)) == 1, found


class Arrival(NamedTuple):
    """One time at which the request came."""

    #: Upstreams that had ended under it before.
    ended_before: int
    #: Those that it reached.
    reached: int
    status: int


def ended(site: Site) -> int:
    return sum(one.crashes.count for one in site.services.values())


@when(
    'it comes {times:d} times, each time at the next entry, {pause_s:d} s apart'
)
def comes_often(context: Any, times: int, pause_s: int) -> None:
    async def act(site: Site) -> list[Arrival]:
        found = []
        entries = list(site.entries)
        for number in range(times):
            before = ended(site)
            entry = entries[number % len(entries)]
            reply = await arrive(site, entry, f'call-{number}')
            reached = ended(site) - before
            found.append(Arrival(before, reached, reply.status))
            await asyncio.sleep(pause_s)
        return found

    context.plan.act = act
    context.arrivals = play(context.plan)


@then('at most {most:d} of its retries reach an upstream once three have ended')
def left_alone(context: Any, most: int) -> None:
    late = [one for one in context.arrivals if one.ended_before >= 3]
    assert late, context.arrivals
    reaching = [one for one in late if one.reached]
    assert len(reaching) <= most, context.arrivals


@given('a site with 1 upstream, and a connection to it is kept')
def kept_connection(context: Any) -> None:
    context.plan = CrashPlan(1, services=1)


async def arrive_on_kept(site: Site) -> Any:
    first = await site.ask(
        'entry-0', 'POST', '/book/sound', b'x', Request_Id='call-0'
    )
    assert first and first.status == 200, first
    assert site.entries['entry-0']._client.idle_connections
    return await arrive(site, 'entry-0', 'call-1')


@when('a request comes under which the upstream ends')
def ends_on_kept(context: Any) -> None:
    async def act(site: Site) -> Any:
        reply = await arrive_on_kept(site)
        return reply, ended(site)

    context.plan.act = act
    outcome = play(context.plan)
    context.reply = outcome[0]
    context.ends = outcome[1]


@then('the caller gets 504, which promises nothing')
def promises_nothing(context: Any) -> None:
    assert context.ends == 1, context.ends
    assert context.reply.status == 504, context.reply.status


class Replaced:
    """Breaks a kept connection; the next start refuses what comes again."""

    def __init__(self) -> None:
        self.sends = 0

    async def send(self, _: ClientRequest) -> ClientResponse | ClientFailure:
        self.sends += 1
        if self.sends == 1:
            return ClientFailure(sent=True, detail='reset', reused=True)
        return ClientResponse(status=421, headers=Headers(), body=nothing())

    async def refuses(self, _: Address) -> bool:
        return False

    async def close(self) -> None:
        """Nothing is open."""


async def nothing() -> AsyncIterator[bytes]:
    yield b''


@given('an upstream that breaks a kept connection and is replaced')
def replaced(context: Any) -> None:
    context.client = Replaced()


@when('a call is sent there')
def sent_there(context: Any) -> None:
    request = ClientRequest(
        address=Address(ip='127.0.0.1', port=1),
        method='POST',
        target=CRASHING,
        timeout=dt.timedelta(seconds=1),
    )
    upstream = SimpleNamespace(upstream='desk-0')

    async def exchange() -> Any:
        response = await send(context.client, request)
        return await judge(None, None, upstream, response)  # type: ignore

    context.attempt = asyncio.run(exchange())


@then('the call may have run, and the upstream is known as replaced')
def may_have_run(context: Any) -> None:
    assert context.client.sends == 2
    assert context.attempt.verdict is Verdict.MAY_HAVE_RUN, context.attempt
    assert context.attempt.replaced


class Answer(NamedTuple):
    """What came back, and how long it took."""

    status: int
    retry_after_s: float
    took_s: float


async def answered(site: Site, entry: str, request: str) -> Answer:
    began = site.clock.elapsed()
    reply = await arrive(site, entry, request)
    took_s = (site.clock.elapsed() - began).total_seconds()
    told = reply.headers.first('retry-after', '0')
    return Answer(reply.status, float(told), took_s)


@when('it comes at one entry and {pause_s:f} s later at the other')
def comes_at_other(context: Any, pause_s: float) -> None:
    async def act(site: Site) -> None:
        await arrive(site, 'entry-0', 'call-0')
        await asyncio.sleep(pause_s)
        context.second = await answered(site, 'entry-1', 'call-1')
        context.ends = ended(site)
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
    'the second one gets 503 within {most_ms:d} ms, to come back after '
    '{least_s:d} to {most_s:d} s'
)
def refused_at_once(
    context: Any, most_ms: int, least_s: int, most_s: int
) -> None:
    second = context.second
    assert second.status == 503, second
    assert second.took_s * 1000 <= most_ms, second
    assert least_s <= second.retry_after_s <= most_s, second


@then('the status of both entries names it, with {count:d} upstreams ended')
def named(context: Any, count: int) -> None:
    assert len(context.states) == 2
    for state in context.states:
        body = msgspec.json.encode({'gateway': state})
        answer = Seen(Address(ip='127.0.0.1', port=1), body)
        last = list(status_lines((answer,)))[-2:]
        assert last[0] == 'requests that end upstreams: 1', last
        assert f'{count} upstreams ended, calls are held back' in last[1]


@then('one upstream has not ended, and serves other callers')
def one_left(context: Any) -> None:
    assert context.ends == 2, context.ends
    assert context.other == 200, context.other


@when(
    'it comes twice, and again {pause_s:d} s later when they have been mended'
)
def mended(context: Any, pause_s: int) -> None:
    async def act(site: Site) -> None:
        await arrive(site, 'entry-0', 'call-0')
        await asyncio.sleep(6)
        await arrive(site, 'entry-0', 'call-1')
        context.ends = ended(site)
        for service in site.services.values():
            service.crashes.targets.clear()
        await asyncio.sleep(pause_s)
        context.first = await answered(site, 'entry-0', 'call-2')
        set_slow(site)
        context.second = await answered(site, 'entry-0', 'call-3')
        context.seen = requests_seen(site)

    context.plan.act = act
    play(context.plan)


def requests_seen(site: Site) -> list[str]:
    return [
        seen.request
        for service in site.services.values()
        for seen in service.seen
    ]


def set_slow(site: Site) -> None:
    for service in site.services.values():
        service.work_s = 0.5


@then('it is answered, and hedged and repeated like any other')
def like_any_other(context: Any) -> None:
    assert context.ends == 3, context.ends
    assert context.first.status == 200, context.first
    assert context.second.status == 200, context.second
    assert context.seen.count('call-3') == 2, context.seen


def rested(site: Site) -> int:
    """Return how many calls and items all entries have held back."""
    return sum(
        row.count
        for entry in site.entries.values()
        for row in entry._context.metrics.snapshot().counters
        if row.name in {'calls_quarantined', 'items_quarantined'}
    )


@when(
    'a slow call starts at the same upstreams as each of its {times:d} arrivals'
)
def slow_beside(context: Any, times: int) -> None:
    async def act(site: Site) -> None:
        context.slow = []
        for number in range(times):
            for service in site.services.values():
                service.work_s = 0.04
            beside = [
                asyncio.create_task(ask_beside(site, number, one))
                for one in range(6)
            ]
            await asyncio.sleep(0.01)
            await arrive(site, 'entry-0', f'call-{number}')
            context.slow.extend(await asyncio.gather(*beside))
            await asyncio.sleep(7)
        context.again = await ask_all_again(site, times)

    context.plan.act = act
    play(context.plan)


async def ask_all_again(site: Site, times: int) -> list[int]:
    return [
        await ask_beside(site, number, one)
        for number in range(times)
        for one in range(6)
    ]


async def ask_beside(site: Site, number: int, one: int) -> int:
    reply = await site.ask(
        'entry-0',
        'POST',
        f'/book/slow-{number}-{one}',
        b'x',
        Request_Id=f'slow-{number}-{one}',
    )
    return 0 if reply is None else reply.status


@then('only the request that ends upstreams rests')
def only_that(context: Any) -> None:
    assert set(context.again) == {200}, context.again


@given(
    'a site with {entries:d} entries and callers that ask for the same all '
    'the time'
)
def same_callers(context: Any, entries: int) -> None:
    context.plan = CrashPlan(entries)


@when('all upstreams {end}, {times:d} times, {pause_s:d} s apart')
def all_end(context: Any, end: str, times: int, pause_s: int) -> None:
    async def act(site: Site) -> None:
        for service in site.services.values():
            service.work_s = 0.3
        callers = [
            asyncio.create_task(keep_asking(site, entry, number))
            for entry in site.entries
            for number in range(5)
        ]
        try:
            await end_often(site, ENDS[end], times, pause_s)
        finally:
            for caller in callers:
                caller.cancel()
        context.rested = rested(site)
        context.struck = [
            len(entry._context.quarantine._ended)
            for entry in site.entries.values()
        ]

    context.plan.act = act
    play(context.plan)


async def end_often(site: Site, end: Any, times: int, pause_s: int) -> None:
    for _ in range(times):
        await asyncio.sleep(pause_s)
        while not any(one.running for one in site.services.values()):
            await asyncio.sleep(0.01)
        await asyncio.gather(
            *(end(site, one) for one in site.services.values())
        )


async def keep_asking(site: Site, entry: str, number: int) -> None:
    while True:
        await site.ask(entry, 'POST', f'/book/same-{number}', b'x', timeout_s=1)
        await asyncio.sleep(0.05 + 0.03 * number)


async def crash(site: Site, upstream: Upstream) -> None:
    await upstream.restart(1)
    register(site.store, upstream)


async def lose_power(site: Site, upstream: Upstream) -> None:
    """Fall silent, and start again with nothing of before."""
    upstream.mode = UpstreamMode.DARK
    await asyncio.sleep(1)
    upstream.mode = UpstreamMode.GOOD
    await crash(site, upstream)


async def leave(site: Site, upstream: Upstream) -> None:
    register(site.store, upstream, state='draining')
    await asyncio.sleep(0.5)
    await crash(site, upstream)


ENDS = {
    'crash at the same moment': crash,
    'lose power': lose_power,
    'leave, with calls in progress': leave,
}


@then('no call was quarantined')
def none_rested(context: Any) -> None:
    assert all(context.struck), context.struck
    assert not context.rested, (context.rested, context.struck)


@when('it comes, all entries start again, and it comes {pause_s:d} s later')
def entries_restart(context: Any, pause_s: int) -> None:
    async def act(site: Site) -> None:
        await arrive(site, 'entry-0', 'call-0')
        await asyncio.sleep(0.3)
        context.before = ended(site)
        names = list(site.entries)
        for name in names:
            await site.kill(name)
        for name in names:
            await site.add_entry(name)
        await asyncio.sleep(pause_s)
        context.answers = await answered_by_all(site, names)
        context.ends = ended(site)

    context.plan.act = act
    play(context.plan)


async def answered_by_all(site: Site, names: list[str]) -> list[Answer]:
    return [await answered(site, name, f'again-{name}') for name in names]


@then('it reaches no upstream after the restart')
def none_after(context: Any) -> None:
    assert context.before == 2, context.before
    assert context.ends == context.before, context.ends
    assert {one.status for one in context.answers} == {503}, context.answers


@when(
    'it comes while one entry is cut off for {cut_s:d} s, and {later_s:d} s '
    'later there'
)
def one_cut_off(context: Any, cut_s: int, later_s: int) -> None:
    async def act(site: Site) -> None:
        cut = site.entries['entry-2']
        handle = cut._parts.peer_service.handle

        async def silent(_: Any) -> Any:
            await asyncio.Event().wait()

        setattr(cut._parts.peer_service, 'handle', silent)  # noqa: B010
        await asyncio.sleep(0.1)
        await arrive(site, 'entry-0', 'call-0')
        await asyncio.sleep(cut_s)
        setattr(cut._parts.peer_service, 'handle', handle)  # noqa: B010
        # Upstreams have rested by then: one more ends under it elsewhere.
        await arrive(site, 'entry-1', 'call-1')
        await asyncio.sleep(later_s)
        context.second = await answered(site, 'entry-2', 'call-2')

    context.plan.act = act
    play(context.plan)


@then('the entry that was cut off refuses it at once')
def cut_off_refuses(context: Any) -> None:
    assert context.second.status == 503, context.second
    assert not round(context.second.took_s, 1), context.second


@given('a site with {engines:d} engines and streams that {may} be resumed')
def crashing_streams(context: Any, engines: int, may: str) -> None:
    context.plan = CrashPlan(2, services=0)
    context.plan.engines = engines
    context.resumable = may == 'may'


@when('one that ends engines comes {times:d} times, {pause_s:d} s apart')
def streams_come(context: Any, times: int, pause_s: int) -> None:
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
        context.ends = sum(one.crashes.count for one in site.engines.values())

    context.plan.act = act
    play(context.plan)


@then('at most {most:d} engines end')
def few_end(context: Any, most: int) -> None:
    assert 1 <= context.ends <= most, context.ends


@when('it comes to one upstream that fails and to two that end under it')
def fails_and_ends(context: Any) -> None:
    async def act(site: Site) -> None:
        site.routes.append(plain_route('/book/', 'safe', 3))
        site.routes.pop(1)
        site.put_manifest()
        failing = site.services['desk-0']
        failing.crashes.targets.clear()
        failing.mode = UpstreamMode.FAILING
        # So that it is asked first.
        spec = failing.registration(slots=100)
        site.store.put('servers', failing.name, spec)
        await asyncio.sleep(2.5)
        context.reply = await arrive(site, 'entry-0', 'call-0')
        context.ends = ended(site)

    context.plan.act = act
    play(context.plan)


@then('the caller gets the 500 of the upstream')
def gets_failure(context: Any) -> None:
    assert context.ends == 2, context.ends
    assert context.reply.status == 500, context.reply.status


@when('an upstream ends under it with {count:d} other calls in progress')
def ends_with_others(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        messages: list[Any] = []
        other = site.entries['entry-1']
        take = other._context.strikes.take

        def counted(message: Any) -> None:
            messages.append(message)
            take(message)

        setattr(other._context.strikes, 'take', counted)  # noqa: B010
        first, *others = site.services.values()
        for service in others:
            site.store.remove('servers', service.name)
        first.work_s = 0.05
        await asyncio.sleep(2.5)
        ending = asyncio.create_task(arrive(site, 'entry-0', 'call-0'))
        await asyncio.sleep(0.02)
        beside = [ask_beside(site, 0, one) for one in range(count)]
        await asyncio.gather(ending, *beside)
        await asyncio.sleep(0.5)
        context.messages = messages

    context.plan.act = act
    play(context.plan)


@then('the other entry knows of {strikes:d} strikes from {count:d} message')
def told_once(context: Any, strikes: int, count: int) -> None:
    assert len(context.messages) == count, context.messages
    assert len(context.messages[0].strikes) == strikes, context.messages
