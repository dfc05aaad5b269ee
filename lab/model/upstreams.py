"""Engines and a scoring service, in memory."""

from __future__ import annotations

import asyncio
from collections import Counter
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.http.messages import BodyBrokenError, Headers, HttpResponse
from bergamotdoor.platform import headers as names
from lab.model.pausing import start_outside

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from bergamotdoor.http.messages import HttpRequest

#: Events come in pieces of so many.
_EVENTS_EACH: Final = 5
_PIECE_S: Final = 0.12
_SCORE_S: Final = 0.02
_MOST_BYTES: Final = 100_000
_PROOF: Final = 'proof of '


class ModelEngine:
    """Generates as many events as an item's body says.

    Parameters
    ----------
    started
        Told of each item that is begun, and of the process that asked.
    """

    def __init__(self, started: Callable[[str, str], None]) -> None:
        self.version = 1
        #: Streams under way, by the process that reads them.
        self._runs: set[_Run] = set()
        self._started = started

    async def handle(self, origin: str, request: HttpRequest) -> HttpResponse:
        """Run one item."""
        item = request.headers.first(names.REQUEST_ID)
        last = int(request.headers.first(names.LAST_EVENT_ID, '0'))
        length = int(await request.read_body(_MOST_BYTES))
        self._started(origin, item)
        run = _Run(self, origin, item, range(last + 1, length + 1))
        self._runs.add(run)
        run.task.add_done_callback(lambda _: self._runs.discard(run))
        fields = [
            (names.REQUEST_ID, item),
            (names.STAMP, proof_of(item)),
            (names.WEIGHT_VERSION, str(self.version)),
        ]
        return HttpResponse(
            status=int(HTTPStatus.OK),
            headers=Headers.of(fields),
            body=run.pieces(),
        )

    def break_streams(self) -> None:
        """Cut all streams."""
        for run in tuple(self._runs):
            run.cut()

    def drop(self, origin: str) -> None:
        """End the streams of a process that is gone."""
        for run in tuple(self._runs):
            if run.origin == origin:
                run.task.cancel()


class _Run:
    """One stream; generated whether or not its reader is paused."""

    def __init__(
        self, engine: ModelEngine, origin: str, item: str, events: range
    ) -> None:
        self.origin = origin
        self._engine = engine
        self._item = item
        self._events = events
        #: An empty piece is the end, None a break.
        self._pieces: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.task = start_outside(self._generate())

    async def pieces(self) -> AsyncIterator[bytes]:
        """Return what is generated, until the reader leaves."""
        try:
            while piece := await self._pieces.get():
                yield piece
        finally:
            self.task.cancel()
        if piece is None:
            raise BodyBrokenError('cut')

    def cut(self) -> None:
        """Break off."""
        self.task.cancel()
        self._pieces.put_nowait(None)

    async def _generate(self) -> None:
        version = self._engine.version
        for first in self._events[::_EVENTS_EACH]:
            await asyncio.sleep(_PIECE_S)
            told = self._engine.version != version
            version = self._engine.version
            end = min(first + _EVENTS_EACH, self._events.stop)
            events = [
                self._event(number, version) for number in range(first, end)
            ]
            if told:
                events.insert(0, f'{names.WEIGHT_VERSION}: {version}\n')
            self._pieces.put_nowait(''.join(events).encode())
        self._pieces.put_nowait(b'')

    def _event(self, number: int, version: int) -> str:
        line = text_line(self._item, number, version)
        return f'id: {number}\ndata: {line}\n\n'


class ModelScorer:
    """Scores texts; fails on them as often as it is told to."""

    def __init__(self) -> None:
        self.fail_next = 0
        #: How often each call was answered with a failure.
        self.failures: Counter[str] = Counter()

    async def handle(self, origin: str, request: HttpRequest) -> HttpResponse:
        """Score one text."""
        await asyncio.sleep(_SCORE_S)
        call = request.headers.first(names.REQUEST_ID)
        status = HTTPStatus.OK
        if self.fail_next:
            self.fail_next -= 1
            self.failures[call] += 1
            status = HTTPStatus.INTERNAL_SERVER_ERROR
        fields = [(names.REQUEST_ID, call), (names.STAMP, proof_of(call))]
        return HttpResponse(
            status=int(status), headers=Headers.of(fields), body=b'scored'
        )


def proof_of(request_id: str) -> str:
    """Return what proves an answer to a request."""
    return f'{_PROOF}{request_id}'


def text_line(item: str, number: int, version: int) -> str:
    """Return what an engine generates as one event."""
    return f'{item}/{number}/v{version}'
