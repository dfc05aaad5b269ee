"""Steps for calls that are sent twice because of a reset connection."""

from __future__ import annotations

import asyncio
import datetime as dt
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from behave import given, then, when

from bergamotdoor.forwarding.answers import judge
from bergamotdoor.http.messages import (
    ClientFailure,
    ClientRequest,
    ClientResponse,
    Headers,
    Reachability,
)
from bergamotdoor.http.sending import send
from bergamotdoor.settings.document import Address
from bergamotdoor.verdict import Verdict
from features.crash_scenes import (
    CRASHING,
    CrashPlan,
    count_crashes,
    send_crashing_request,
)
from lab.site import Site, play

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@given('a site with 1 upstream and an idle connection to it')
def set_up_one_upstream(context: Any) -> None:
    context.plan = CrashPlan(1, services=1)


async def arrive_on_idle_connection(site: Site) -> Any:
    first = await site.ask(
        'entry-0', 'POST', '/book/sound', b'x', Request_Id='call-0'
    )
    assert first and first.status == 200, first
    assert site.entries['entry-0']._client.idle_connections
    return await send_crashing_request(site, 'entry-0', 'call-1')


@when('a request arrives under which the upstream ends')
def end_on_idle_connection(context: Any) -> None:
    async def act(site: Site) -> Any:
        reply = await arrive_on_idle_connection(site)
        return reply, count_crashes(site)

    context.plan.act = act
    outcome = play(context.plan)
    context.reply = outcome[0]
    context.ends = outcome[1]


@then('the caller gets 504 since the upstream may have run it')
def caller_gets_timeout(context: Any) -> None:
    assert context.ends == 1, context.ends
    assert context.reply.status == 504, context.reply.status


class ReplacedUpstream:
    """Client whose first call is reset and whose next one is refused.

    The first call runs into a reset of an idle connection. The second one
    reaches the upstream that is at the address by then, which replies with
    421 that it is not the one that was meant.
    """

    def __init__(self) -> None:
        self.sends = 0

    async def send(self, _: ClientRequest) -> ClientResponse | ClientFailure:
        self.sends += 1
        if self.sends == 1:
            return ClientFailure(sent=True, detail='reset', reused=True)
        return ClientResponse(status=421, headers=Headers(), body=empty_body())

    async def probe(self, _: Address) -> Reachability:
        return Reachability.OPEN

    async def close(self) -> None:
        """Do nothing, since no connection is open."""


async def empty_body() -> AsyncIterator[bytes]:
    yield b''


@given('an upstream that resets an idle connection and is replaced')
def set_up_replaced_upstream(context: Any) -> None:
    context.client = ReplacedUpstream()


@when('a call is sent to its address')
def send_to_address(context: Any) -> None:
    request = ClientRequest(
        address=Address(ip='127.0.0.1', port=1),
        method='POST',
        target=CRASHING,
        timeout=dt.timedelta(seconds=1),
    )
    upstream: Any = SimpleNamespace(upstream='desk-0')
    call: Any = SimpleNamespace(request_id='call-1')

    async def exchange() -> Any:
        response = await send(context.client, request)
        assert isinstance(response, ClientResponse)
        return await judge(cast('Any', None), call, upstream, response)

    context.attempt = asyncio.run(exchange())


@then('the call may have run, and the upstream is known as replaced')
def may_have_run(context: Any) -> None:
    assert context.client.sends == 2
    assert context.attempt.verdict is Verdict.MAY_HAVE_RUN, context.attempt
    assert context.attempt.replaced
