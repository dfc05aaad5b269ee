"""In-memory models of the engines and of the scoring service."""

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

_EVENTS_PER_CHUNK: Final = 5
_CHUNK_INTERVAL_S: Final = 0.12
_SCORE_DURATION_S: Final = 0.02
_MAX_BODY_BYTES: Final = 100_000
_PROOF_PREFIX: Final = 'proof of '


class ModelEngine:
    """Engine that generates as many events as the body of an item states.

    Parameters
    ----------
    started
        Called when an item starts, with the name of the process that sent it
        and the id of the item.
    """

    def __init__(self, started: Callable[[str, str], None]) -> None:
        #: Version of the weights.
        self.version = 1
        #: Streams in flight.
        self._streams: set[_EventStream] = set()
        self._started = started

    async def handle(self, origin: str, request: HttpRequest) -> HttpResponse:
        """Start to generate an item; return the stream of its events."""
        item = request.headers.first(names.REQUEST_ID)
        last = int(request.headers.first(names.LAST_EVENT_ID, '0'))
        length = int(await request.read_body(_MAX_BODY_BYTES))
        self._started(origin, item)
        stream = _EventStream(self, origin, item, range(last + 1, length + 1))
        self._streams.add(stream)
        stream.task.add_done_callback(lambda _: self._streams.discard(stream))
        fields = [
            (names.REQUEST_ID, item),
            (names.STAMP, proof_of(item)),
            (names.WEIGHT_VERSION, str(self.version)),
        ]
        return HttpResponse(
            status=int(HTTPStatus.OK),
            headers=Headers.of(fields),
            body=stream.chunks(),
        )

    def break_streams(self) -> None:
        """Break the connections of all streams."""
        for stream in tuple(self._streams):
            stream.break_off()

    def drop(self, origin: str) -> None:
        """End the streams to a process that was killed."""
        for stream in tuple(self._streams):
            if stream.origin == origin:
                stream.task.cancel()


class _EventStream:
    """Stream of the events of an item, also generated if its reader is paused.

    Parameters
    ----------
    engine
        Engine that generates the events.
    origin
        Name of the process that reads the stream.
    item
        Id of the item.
    events
        Numbers of the events that are still to be generated.
    """

    def __init__(
        self, engine: ModelEngine, origin: str, item: str, events: range
    ) -> None:
        self.origin = origin
        self._engine = engine
        self._item = item
        self._events = events
        #: Chunks that were generated; an empty one is the end of the stream,
        #: ``None`` a broken connection.
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.task = start_outside(self._generate())

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the generated chunks; stop generation if the reader leaves."""
        try:
            while chunk := await self._chunks.get():
                yield chunk
        finally:
            self.task.cancel()
        if chunk is None:
            raise BodyBrokenError('connection broken')

    def break_off(self) -> None:
        """Stop the generation, and break the connection to the reader."""
        self.task.cancel()
        self._chunks.put_nowait(None)

    async def _generate(self) -> None:
        version = self._engine.version
        for first in self._events[::_EVENTS_PER_CHUNK]:
            await asyncio.sleep(_CHUNK_INTERVAL_S)
            version_changed = self._engine.version != version
            version = self._engine.version
            end = min(first + _EVENTS_PER_CHUNK, self._events.stop)
            events = [
                self._format_event(number, version)
                for number in range(first, end)
            ]
            if version_changed:
                events.insert(0, f'{names.WEIGHT_VERSION}: {version}\n')
            self._chunks.put_nowait(''.join(events).encode())
        self._chunks.put_nowait(b'')

    def _format_event(self, number: int, version: int) -> str:
        line = text_line(self._item, number, version)
        return f'id: {number}\ndata: {line}\n\n'


class ModelScorer:
    """Scoring service whose next calls can be made to fail."""

    def __init__(self) -> None:
        #: Number of the next calls that fail.
        self.fail_next = 0
        #: Number of failures returned for each score call, by request id.
        self.failures: Counter[str] = Counter()

    async def handle(self, origin: str, request: HttpRequest) -> HttpResponse:
        """Return the score of a text, or a failure."""
        await asyncio.sleep(_SCORE_DURATION_S)
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
    """Return the stamp which proves that a response answers a request."""
    return f'{_PROOF_PREFIX}{request_id}'


def text_line(item: str, number: int, version: int) -> str:
    """Return the text line that an engine generates as one event."""
    return f'{item}/{number}/v{version}'
