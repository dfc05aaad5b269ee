"""Steps for requests under which upstreams end."""

from __future__ import annotations

import asyncio
import datetime as dt
import functools
import re
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, NamedTuple

from behave import given, then, when

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
from lab.site import Site, play
from lab.upstreams import Upstream, register

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
