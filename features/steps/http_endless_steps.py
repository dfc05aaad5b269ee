"""Steps for upstreams and other servers that send bytes without end."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from bergamotdoor.agent.engine import EngineClient
from bergamotdoor.duties.lease import DutyRecord
from bergamotdoor.duties.usage import UsageReport
from bergamotdoor.fleet.orders import LoadMode, LoadOrder
from bergamotdoor.http.client import HttpClient
from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    ClientRequest,
    ClientResponse,
    HttpRequest,
    HttpResponse,
)
from bergamotdoor.http.server import HttpServer
from bergamotdoor.objects.client import (
    WATCH_MARGIN,
    DirectCaller,
    WatchCall,
)
from bergamotdoor.peers.client import PeerClient
from bergamotdoor.peers.messages import StoreCall
from bergamotdoor.reporting.receiver import Receipt, Receiver
from bergamotdoor.settings.process import HttpLimits
from bergamotdoor.stored import Outcome
from bergamotdoor.types import (
    FencingToken,
    ModelId,
    NodeId,
    Revision,
    UsageWindow,
    WeightVersion,
)
from features.endless_scenes import (
    FAST_PAUSE_S,
    MAX_TURN_S,
    SLOW_PAUSE_S,
    EndlessServer,
    run_measured,
)
from features.http_rig import ADDRESS
from lab.site import Site
from lab.site_routes import plain_route
from lab.virtual import virtual_clock
from lab.wire import DESKS, ENGINES, HOST, route

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import TypeAlias

    #: Sends requests to a site, and returns their outcomes.
    Sender: TypeAlias = Callable[[Any, Site], Awaitable[set[str]]]

TIMEOUT = dt.timedelta(seconds=1)
MAX_BODY_BYTES = 1_000_000
MB = 1_000_000
#: Time after which a slow server knows that its connection is closed.
CLOSE_S = 0.5
#: Time after which a connection that was opened for a probe is closed.
IDLE_S = 7
#: The time limit of calls on the site, and what the answer may take beyond.
CALL_LIMIT_S = 1.5
ANSWER_MARGIN_S = 0.2
CALLS = 4
CALL_PAUSE_S = 1.2


@given('an upstream that sends {part} without end')
def endless_upstream(context: Any, part: str) -> None:
    context.server = EndlessServer(ADDRESS, part, FAST_PAUSE_S)


@given('an upstream that slowly sends {part} without end')
def slow_endless_upstream(context: Any, part: str) -> None:
    context.server = EndlessServer(ADDRESS, part, SLOW_PAUSE_S)


async def exchange(client: HttpClient) -> bool:
    """Send a request and read its response; return whether it was whole."""
    request = ClientRequest(
        address=ADDRESS,
        method='GET',
        target='/x',
        timeout=TIMEOUT,
        total_timeout=TIMEOUT * 2,
    )
    response = await client.send(request)
    if not isinstance(response, ClientResponse):
        return False
    try:
        await response.read_body(MAX_BODY_BYTES)
    except (BodyBrokenError, BodyTooLargeError):
        await response.body.aclose()  # type: ignore[attr-defined]
        return False
    return True


@when('a request with a timeout of 1 s is sent on a {connection} connection')
def send_request(context: Any, connection: str) -> None:
    async def scene() -> None:
        server = context.server
        await server.start()
        client = HttpClient(virtual_clock())
        if connection == 'kept':
            server.whole_responses = 1
            assert await exchange(client)
            assert client.idle_connections == 1
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        context.is_whole = await exchange(client)
        context.took_s = loop.time() - began_s
        await asyncio.sleep(CLOSE_S)
        context.open_connections = server.open_connections
        await client.close()
        server.stop()

    context.longest_turn_s = run_measured(scene())


@then('it fails within {most_s:d} s, and the connection is closed')
def fails_in_time(context: Any, most_s: int) -> None:
    assert not context.is_whole
    assert context.took_s <= most_s, context.took_s
    assert not context.open_connections, context.open_connections


@then('no more than {most_mb:d} MB were taken, and the event loop was not held')
def bounded(context: Any, most_mb: int) -> None:
    taken = context.server.most_bytes
    assert taken <= most_mb * MB, taken
    assert context.longest_turn_s < MAX_TURN_S, context.longest_turn_s


@when('a request with a timeout of 1 s is answered on a new connection')
def answer_request(context: Any) -> None:
    async def scene() -> None:
        await context.server.start()
        client = HttpClient(virtual_clock())
        assert await exchange(client)
        await asyncio.sleep(4)
        context.open_connections = context.server.open_connections
        await client.close()
        context.server.stop()

    context.longest_turn_s = run_measured(scene())


@then('the connection is closed within 4 s, though no request is sent')
def idle_connection_closed(context: Any) -> None:
    assert not context.open_connections


@given('a site where one of two upstreams sends {part} without end')
def endless_site(context: Any, part: str) -> None:
    context.part = part


@when('the site gets {request}')
def send_to_site(context: Any, request: str) -> None:
    async def scene() -> None:
        site = Site()
        site.routes.extend(stream_routes())
        await site.start()
        context.outcomes = await SENDERS[request](context, site)
        await asyncio.sleep(IDLE_S)
        context.open_connections = context.server.open_connections
        context.server.stop()
        await site.stop()

    context.longest_turn_s = run_measured(scene())


def stream_routes() -> list[dict[str, Any]]:
    bounds = {'timeout_ms': 1500, 'goal_ms': 200, 'max_attempts': 2}
    return [
        route(HOST, '/tell/', 'stream', ENGINES, **bounds),
        {
            **plain_route('/resume/', 'stream', 2),
            'service': ENGINES,
            'can_resume': True,
        },
    ]


async def replace_upstream(context: Any, site: Site, upstream: Any) -> None:
    """Have a server that sends without end take an upstream's address."""
    await upstream.stop()
    context.server = EndlessServer(upstream.address, context.part)
    await context.server.start()


def call_sender(prefix: str, service: str) -> Sender:
    """Return a function that sends calls on a route, and their outcomes."""

    async def send(context: Any, site: Site) -> set[str]:
        upstreams = site.services if service == DESKS else site.engines
        await replace_upstream(context, site, next(iter(upstreams.values())))
        outcomes = set()
        loop = asyncio.get_running_loop()
        for number in range(CALLS):
            began_s = loop.time()
            reply = await site.ask(
                'entry-0',
                'POST',
                f'{prefix}{number}',
                b'3',
                Request_Id=f'{prefix}{number}'.replace('/', '-'),
                Deadline_Ms=str(int(CALL_LIMIT_S * 1000)),
            )
            took_s = loop.time() - began_s
            assert took_s <= CALL_LIMIT_S + ANSWER_MARGIN_S, took_s
            outcomes.add(outcome_of(reply))
            await asyncio.sleep(CALL_PAUSE_S)
        return outcomes

    return send


def outcome_of(reply: Any) -> str:
    if reply is None:
        return 'cut off'
    return {200: 'success', 504: 'unclear'}.get(reply.status, 'other')


async def send_items(context: Any, site: Site) -> set[str]:
    await replace_upstream(context, site, site.engines['engine-0'])
    return await run_items(site, '')


async def send_scored_items(context: Any, site: Site) -> set[str]:
    await replace_upstream(context, site, site.services['desk-0'])
    return await run_items(site, '/score/')


async def run_items(site: Site, score_path: str) -> set[str]:
    reply = await site.submit('entry-0', 'j1', [[3, 3], [3, 3]], 1, score_path)
    assert reply is not None
    listed = await site.all_results('entry-1', 'j1')
    is_whole = len(listed) == 4 and all(
        one['state'] == 'completed' for one in listed
    )
    return {'success' if is_whole else 'failure'}


SENDERS = {
    'a safe call': call_sender('/book/', DESKS),
    'a call that may run once': call_sender('/once/', DESKS),
    'a stream': call_sender('/tell/', ENGINES),
    'a stream that may resume': call_sender('/resume/', ENGINES),
    'an item': send_items,
    'an item with a score call': send_scored_items,
}


@then('the event loop was not held')
def loop_not_held(context: Any) -> None:
    assert context.longest_turn_s < MAX_TURN_S, context.longest_turn_s


@then('it is answered as {outcome}, within its time')
def answered_as(context: Any, outcome: str) -> None:
    assert context.server.connections, 'no request reached the server'
    assert outcome in context.outcomes, context.outcomes
    assert context.outcomes <= {outcome, 'success'}, context.outcomes


@then('no connection to the broken upstream is left open')
def none_left_open(context: Any) -> None:
    assert not context.open_connections, context.open_connections


@given('a server that sends {part} without end')
def endless_server(context: Any, part: str) -> None:
    context.server = EndlessServer(ADDRESS, part)


async def call_store(client: HttpClient) -> bool:
    found = await DirectCaller(client, ADDRESS).call('GET', '/x', b'', TIMEOUT)
    return found is Outcome.UNCLEAR


async def watch_store(client: HttpClient) -> bool:
    watch = WatchCall('x', Revision(1), TIMEOUT - WATCH_MARGIN)
    found = await DirectCaller(client, ADDRESS).watch(watch)
    return found is Outcome.UNCLEAR


async def ask_entry(client: HttpClient) -> bool:
    message = StoreCall('GET', '/x', b'', 600)
    wait = dt.timedelta(milliseconds=600)
    return await PeerClient(client).ask(ADDRESS, message, wait) is None


async def read_report(client: HttpClient) -> bool:
    return await EngineClient(client, ADDRESS).report() is None


async def give_order(client: HttpClient) -> bool:
    order = LoadOrder(
        model=ModelId('m'),
        version=WeightVersion(2),
        mode=LoadMode.RETAIN,
        holder=NodeId('agent'),
        fencing_token=FencingToken(1),
        accepted_orders=0,
    )
    return await EngineClient(client, ADDRESS).give(order) is None


async def send_usage(client: HttpClient) -> bool:
    window = UsageWindow(1)
    record = DutyRecord(NodeId('entry-0'), FencingToken(1), 'boot', window)
    receiver = Receiver(client, ADDRESS)
    receipt = await receiver.send(record, UsageReport(window, {}), TIMEOUT)
    return receipt is Receipt.OPEN


CALLERS = {
    'a call to the store': call_store,
    'a watch of the store': watch_store,
    'a message to an entry': ask_entry,
    'a request for the report': read_report,
    'an order to an engine': give_order,
    'a usage report': send_usage,
}


@when('the endless server gets {call}')
def make_call(context: Any, call: str) -> None:
    async def scene() -> None:
        await context.server.start()
        client = HttpClient(virtual_clock())
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        context.call_failed = await CALLERS[call](client)
        context.took_s = loop.time() - began_s
        await asyncio.sleep(CLOSE_S)
        context.open_connections = context.server.open_connections
        await client.close()
        context.server.stop()

    context.longest_turn_s = run_measured(scene())


@then('the call fails within its time, and the connection is closed')
def call_fails(context: Any) -> None:
    assert context.call_failed
    most_s = 2 * TIMEOUT.total_seconds() + ANSWER_MARGIN_S
    assert context.took_s <= most_s, context.took_s
    assert not context.open_connections, context.open_connections


@given('a caller that sends a body in {count:d} chunks of one byte')
def chunked_caller(context: Any, count: int) -> None:
    context.count = count


@when('the server reads the body')
def read_chunks(context: Any) -> None:
    async def handle(request: HttpRequest) -> HttpResponse:
        context.body = await request.read_body(MAX_BODY_BYTES)
        return HttpResponse(status=200)

    async def scene() -> None:
        server = HttpServer(ADDRESS, handle, HttpLimits(), virtual_clock())
        await server.start()
        reader, writer = await asyncio.open_connection(ADDRESS.ip, ADDRESS.port)
        writer.write(
            b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
        )
        writer.write(b'1\r\na\r\n' * context.count)
        writer.write(b'0\r\n\r\n')
        assert b' 200 ' in await reader.readuntil(b'\r\n')
        writer.close()
        await server.stop(dt.timedelta())

    context.longest_turn_s = run_measured(scene())


@then('the body is whole, and the event loop was not held')
def body_is_whole(context: Any) -> None:
    assert context.body == b'a' * context.count
    assert context.longest_turn_s < MAX_TURN_S, context.longest_turn_s
