"""Steps for bergamotdoor.http.client."""

from __future__ import annotations

import asyncio
import contextlib
import datetime as dt
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from bergamotdoor.http.messages import (
    BodyBrokenError,
    ClientFailure,
    ClientRequest,
)
from features.http_rig import (
    ADDRESS,
    Notes,
    Upstream,
    expand_bytes,
    open_client,
    run_without_leftover_tasks,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

    from bergamotdoor.http.client import HttpClient

    Reader = asyncio.StreamReader
    Writer = asyncio.StreamWriter
    Script = Callable[[Reader, Writer], Coroutine[Any, Any, None]]
    Action = Callable[[HttpClient], Coroutine[Any, Any, str]]

RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'
REFUSING_RESPONSE = RESPONSE.replace(b'200 OK', b'413 Too Large')
ENDLESS_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n'
)
LARGE_BODY = bytes(1_000_000)


def build_request(target: str = '/', **fields: Any) -> ClientRequest:
    """Return a GET request with a timeout of three seconds.

    `fields` override the fields of the request.
    """
    values = {'method': 'GET', 'timeout': dt.timedelta(seconds=3), **fields}
    return ClientRequest(address=ADDRESS, target=target, **values)


async def send_and_read(client: HttpClient, request: ClientRequest) -> str:
    """Send a request, read the response, and return the outcome.

    The outcome is ``not sent``, ``sent`` (no response), ``broken``
    (incomplete body), or the status and the body.
    """
    response = await client.send(request)
    if isinstance(response, ClientFailure):
        return 'sent' if response.sent else 'not sent'
    try:
        body = await response.read_body(1_000)
    except BodyBrokenError:
        return 'broken'
    return f'{response.status} {body.decode()}'


def responds_and_closes(response: bytes, stay_s: float = 0) -> Script:
    """Return a script that answers one request and then closes.

    The connection stays open for `stay_s` seconds after the response.
    """

    async def script(reader: Reader, writer: Writer) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(response)
        await asyncio.sleep(stay_s)

    return script


async def responds_twice(reader: Reader, writer: Writer) -> None:
    await reader.readuntil(b'\r\n\r\n')
    for body in (b'body', b'evil'):
        writer.write(RESPONSE.replace(b'body', body))
        await asyncio.sleep(0.1)
    await reader.read()


async def refuses_slowly(reader: Reader, writer: Writer) -> None:
    reader._transport.pause_reading()  # type: ignore[attr-defined]
    for part in (REFUSING_RESPONSE[:-4], b'bo', b'dy'):
        writer.write(part)
        await asyncio.sleep(2)
    await asyncio.sleep(4)


async def responds_to_all(reader: Reader, writer: Writer) -> None:
    while True:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(RESPONSE)


SCRIPTS = {
    'closes': responds_and_closes(b''),
    'is silent': responds_and_closes(b'', stay_s=60),
    'answers all': responds_to_all,
    'answers and closes': responds_and_closes(RESPONSE),
    'answers once and goes silent': responds_and_closes(RESPONSE, stay_s=60),
    'answers one request twice': responds_twice,
    'refuses and closes': responds_and_closes(REFUSING_RESPONSE),
    'refuses slowly': refuses_slowly,
}


@given('an HTTP upstream that answers with {response}')
def answers_with(context: Any, response: str) -> None:
    context.upstream = Upstream(responds_and_closes(expand_bytes(response)))


@given('HTTP connections to an upstream that {scripts}')
def upstream_that(context: Any, scripts: str) -> None:
    names = scripts.split(', then ')
    context.upstream = Upstream(*(SCRIPTS[name] for name in names))


async def sends(client: HttpClient) -> str:
    return await send_and_read(client, build_request())


async def sends_once(client: HttpClient) -> str:
    request = build_request(method='POST', idempotent=False)
    return await send_and_read(client, request)


async def sends_without_time(client: HttpClient) -> str:
    return await send_and_read(client, build_request(timeout=dt.timedelta()))


async def uploads(client: HttpClient) -> str:
    return await send_and_read(
        client, build_request(method='POST', body=LARGE_BODY)
    )


async def sends_three(client: HttpClient) -> str:
    outcomes = await asyncio.gather(*(sends(client) for _ in range(3)))
    return ', '.join(outcomes)


async def waits(_: HttpClient) -> str:
    await asyncio.sleep(5)
    return 'waited'


ACTIONS: dict[str, Action] = {
    'sends': sends,
    'sends at most once': sends_once,
    'sends with no time left': sends_without_time,
    'uploads': uploads,
    'sends three at once': sends_three,
    'waits 5 s': waits,
}


@when('the HTTP client {actions}')
def client_does(context: Any, actions: str) -> None:
    context.notes = Notes()

    async def work() -> None:
        async with context.upstream, open_client() as client:
            for action in actions.split(', then '):
                outcome = await ACTIONS[action](client)
                idle = client.idle_connections
                context.notes.note(f'{outcome}; {idle} idle')
                await asyncio.sleep(0.5)

    run_without_leftover_tasks(work())


@then('the HTTP outcomes are')
def outcomes_are(context: Any) -> None:
    expected = [line.strip() for line in context.text.splitlines()]
    assert context.notes == expected, context.notes


@then('the HTTP upstream saw {count:d} connections')
def connections_counted(context: Any, count: int) -> None:
    assert context.upstream.seen == count, context.upstream.seen


@then('the HTTP client gets {outcome}')
def client_gets(context: Any, outcome: str) -> None:
    async def work() -> str:
        async with context.upstream, open_client() as client:
            return await sends(client)

    found = run_without_leftover_tasks(work())
    assert found == outcome, found


@then('an HTTP request to an address where nothing listens is not sent')
def not_sent_without_listener(_: Any) -> None:
    async def work() -> str:
        async with open_client() as client:
            return await sends(client)

    assert run_without_leftover_tasks(work()) == 'not sent'


@then('the HTTP upstream sees a close when a response is abandoned')
def abandoned_response_closes(_: Any) -> None:
    notes = Notes()

    async def script(reader: Reader, writer: Writer) -> None:
        head = await reader.readuntil(b'\r\n\r\n')
        if b'/silent' not in head:
            writer.write(ENDLESS_RESPONSE)
        await reader.read()
        notes.note('closed')

    async def work() -> None:
        async with Upstream(script), open_client() as client:
            response = await client.send(build_request())
            assert not isinstance(response, ClientFailure)
            assert await anext(response.body) == b'body'
            await asyncio.sleep(1)
            await response.body.aclose()  # type: ignore[attr-defined]
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1):
                    await client.send(build_request('/silent'))
            assert await sends(client) == 'broken'
            await asyncio.sleep(1)
            assert client.idle_connections == 0

    run_without_leftover_tasks(work())
    assert notes == ['1.0 closed', '2.0 closed', '5.0 closed'], notes


@then('the HTTP upstream sees no end of an incomplete upload')
def truncated_upload_has_no_end(_: Any) -> None:
    uploaded = []

    async def script(reader: Reader, _: Writer) -> None:
        uploaded.append(await reader.read())

    async def body() -> AsyncIterator[bytes]:
        yield b'half'
        await asyncio.sleep(1)
        raise BodyBrokenError('the caller went away')

    async def work() -> None:
        async with Upstream(script), open_client() as client:
            request = build_request(method='POST', body=body())
            failure = await client.send(request)
            assert isinstance(failure, ClientFailure)
            assert failure.sent
            assert 'the caller went away' in failure.detail
            await asyncio.sleep(1)

    run_without_leftover_tasks(work())
    assert uploaded[0].endswith(b'\r\n\r\n4\r\nhalf\r\n'), uploaded
