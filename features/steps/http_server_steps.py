"""Steps for bergamotdoor.http.server."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from bergamotdoor.http.messages import (
    BodyBrokenError,
    Headers,
    HttpRequest,
    HttpResponse,
)
from features.http_rig import Notes, Play, run_without_leftover_tasks

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class Body:
    """Streamed body of a response.

    Parameters
    ----------
    notes
        Notes to which events are added.
    then
        What the body does after its only piece: ``raises``, ``waits`` or
        ``ends``. With ``flows`` it yields pieces without end instead.
    """

    def __init__(self, notes: Notes, then: str) -> None:
        self.notes = notes
        self.then = then
        self.given = 0

    def __aiter__(self) -> Body:
        return self

    async def __anext__(self) -> bytes:
        if self.then == 'flows':
            self.given += 30_000
            await asyncio.sleep(0.001)
            return b'x' * 30_000
        if not self.given:
            self.given = 5
            return b'piece'
        if self.then == 'raises':
            self.notes.note('raising')
            raise BodyBrokenError('upstream went away')
        if self.then == 'waits':
            await asyncio.sleep(60)
        raise StopAsyncIteration

    async def aclose(self) -> None:
        if self.then in {'flows', 'waits'}:
            self.notes.note('body closed')


class Handlers:
    """Handlers that the scenarios choose from; they note what they do."""

    def __init__(self) -> None:
        self.notes = Notes()
        self.raising: list[BaseException] = [
            asyncio.CancelledError(),
            ValueError('a fault'),
        ]
        self.body = Body(self.notes, 'flows')

    async def echo(self, request: HttpRequest) -> HttpResponse:
        body = await request.read_body(1_000)
        self.notes.note(f'ran {request.target}')
        return HttpResponse(status=200, body=request.target.encode() + body)

    async def fail(self, request: HttpRequest) -> HttpResponse:
        if self.raising:
            raise self.raising.pop()
        return await self.echo(request)

    async def wait(self, request: HttpRequest) -> HttpResponse:
        self.notes.note(f'ran {request.target}')
        await self.wait_long('cancelled')
        return HttpResponse(status=200)

    async def wait_long(self, event: str) -> None:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            self.notes.note(event)
            raise

    async def refuse(self, request: HttpRequest) -> HttpResponse:
        await asyncio.sleep(1)
        if request.target == '/refuse':
            return HttpResponse(status=403)
        return await self.echo(request)

    async def break_line(self, _: HttpRequest) -> HttpResponse:
        value = 'x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
        return HttpResponse(status=200, headers=Headers.of([('a', value)]))

    async def stream(self, _: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200, body=self.body)

    async def read_pieces(self, request: HttpRequest) -> HttpResponse:
        try:
            await self.note_pieces(request.body)
        except BodyBrokenError:
            self.notes.note('read no whole body')
        await self.wait_long('then cancelled')
        return HttpResponse(status=200)

    async def act_on_pieces(self, request: HttpRequest) -> HttpResponse:
        await self.note_pieces(request.body)
        return HttpResponse(status=200)

    async def note_pieces(self, body: AsyncIterator[bytes]) -> None:
        async for piece in body:
            self.notes.note(f'read {piece.decode()}')

    async def answer(self, _: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200)

    async def answer_long(self, _: HttpRequest) -> HttpResponse:
        return HttpResponse(status=200, body=b'x' * 120_000)

    async def pass_on(self, request: HttpRequest) -> HttpResponse:
        names = ' '.join(field.name for field in request.headers)
        self.notes.note(f'ran with {names}')
        fields = Headers.of(
            [
                ('connection', 'x-private'),
                ('x-private', '1'),
                ('keep-alive', '5'),
                ('x-public', '2'),
            ]
        )
        return HttpResponse(status=200, headers=fields)


HANDLERS = {
    'echoes': Handlers.echo,
    'raises, is cancelled inside, and echoes': Handlers.fail,
    'returns a line break in a header': Handlers.break_line,
    'waits': Handlers.wait,
    'waits 1 s and refuses or echoes': Handlers.refuse,
    'reads piece by piece and then waits': Handlers.read_pieces,
    'streams without end': Handlers.stream,
    'answers without reading': Handlers.answer,
    'acts on each piece': Handlers.act_on_pieces,
    'returns 120 kB': Handlers.answer_long,
    'returns hop-by-hop fields': Handlers.pass_on,
}


@given('an HTTP handler that {does}')
def handler_that(context: Any, does: str) -> None:
    handlers = Handlers()
    if does.startswith('streams a piece and'):
        handlers.body = Body(handlers.notes, does.rpartition(' ')[-1])
    context.handlers = handlers
    context.handler = functools.partial(
        HANDLERS.get(does, Handlers.stream), handlers
    )


@when('HTTP callers run this script')
def run_script(context: Any) -> None:
    async def work() -> None:
        async with Play(context.handler, context.handlers.notes) as play:
            context.play = play
            await play.run(context.text)

    run_without_leftover_tasks(work())


@then('the HTTP notes are')
def notes_are(context: Any) -> None:
    expected = [line.strip() for line in context.text.splitlines()]
    # Events of the same moment may be noted in any order.
    noted = sorted(context.handlers.notes)
    assert noted == sorted(expected), noted


@then("the HTTP handler's stream yielded less than {limit_bytes:d} bytes")
def stream_is_bounded(context: Any, limit_bytes: int) -> None:
    assert 0 < context.handlers.body.given < limit_bytes


@then('HTTP caller a got x-public, but neither x-private nor keep-alive')
def only_public_header_passed_on(context: Any) -> None:
    headers = context.play.callers['a'].last.headers
    assert headers[b'x-public'] == b'2'
    assert not {b'x-private', b'keep-alive'} & set(headers)
