"""A model of the platform's store, with its faults."""

from __future__ import annotations

import asyncio
import datetime as dt
import enum
import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Final, NamedTuple
from urllib.parse import parse_qs, unquote

from bergamotdoor.http.messages import Headers, HttpRequest, HttpResponse
from bergamotdoor.http.server import HttpServer
from bergamotdoor.settings.process import HttpLimits
from lab.objects import ObjectTable, Stored, WriteCall

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bergamotdoor.clock import Clock
    from bergamotdoor.settings.document import Address

LIMITS: Final = HttpLimits()
ANSWER_S: Final = 0.004
#: Less than this is no time: virtual clocks have a resolution.
_TICK_S: Final = 0.0005
#: Small, so that listings of a test's objects take several pages.
_PAGE: Final = 50
#: When a write that was delayed is done.
_LATE_S: Final = 2
_MAX_BODY_BYTES: Final = 10_000_000
#: Paths are ``/-/objects/KIND/NAME``.
_PREFIX_PARTS: Final = 3


class StoreMode(enum.Enum):
    """How the store takes calls."""

    UP = 'up'
    #: Refuses with 503.
    BUSY = 'busy'
    #: Takes calls and never answers.
    SILENT = 'silent'


class LostError(Exception):
    """The connection ends before a whole answer."""


class _Query(NamedTuple):
    """What a reading call asks for."""

    kind: str
    name: str
    after: str
    since: int | None
    wait_s: float


class Store:
    """Serves objects over the protocol, with switches for faults."""

    def __init__(self, address: Address, clock: Clock) -> None:
        self.address = address
        self.table = ObjectTable()
        self.calls: list[str] = []
        self.mode = StoreMode.UP
        #: Watches hear nothing while this is set.
        self.deaf = False
        #: How many of the next writes are done and not answered.
        self.lose_answers = 0
        #: How many of the next writes get no answer and are done later.
        self.delay_writes = 0
        #: How long each call takes.
        self.answer_s = ANSWER_S
        #: How long a listing takes beyond other calls.
        self.list_s = float()
        #: The same for single kinds.
        self.kind_s: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._cut = asyncio.Event()
        self._ended = asyncio.Event()
        self._server = HttpServer(address, self.handle, LIMITS, clock, 'store')

    async def start(self) -> None:
        """Serve."""
        await self._server.start()

    async def stop(self) -> None:
        """End all calls."""
        self.cut_watches()
        await self._server.stop(dt.timedelta())

    def put(self, kind: str, name: str, spec: object) -> Stored:
        """Write an object as operators, trainers and engines do."""
        stored = self.table.put(kind, name, spec)
        self._wake()
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.table.remove(kind, name)
        self._wake()

    def drop_history(self) -> None:
        """Forget what has changed, and cut the watches that wait."""
        self.table.forget()
        self.cut_watches()

    def cut_watches(self) -> None:
        """Break the connections of the watches that wait."""
        self._cut.set()
        self._cut = asyncio.Event()

    def end_watches(self) -> None:
        """End the watches that wait, as if their time were up."""
        self._ended.set()
        self._ended = asyncio.Event()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call of the protocol."""
        self.calls.append(f'{request.method} {request.target}')
        body = await request.read_body(_MAX_BODY_BYTES)
        if self.mode is StoreMode.SILENT:
            await asyncio.Event().wait()
        await asyncio.sleep(self.answer_s)
        if self.mode is StoreMode.BUSY:
            return HttpResponse(status=int(HTTPStatus.SERVICE_UNAVAILABLE))
        path, _, query = request.target.partition('?')
        parts = tuple(unquote(part) for part in path.split('/')[_PREFIX_PARTS:])
        if request.method == 'GET':
            return await self._read(_parse(parts, query))
        return self._write(WriteCall(request.method, parts, body))

    async def _read(self, query: _Query) -> HttpResponse:
        known = self.table.of_kind(query.kind)
        if query.name:
            stored = known.get(query.name)
            if stored is None:
                return answer(HTTPStatus.NOT_FOUND)
            return answer(HTTPStatus.OK, stored)
        if query.since is not None:
            return await self._watch(query.kind, query.since, query.wait_s)
        names = sorted(name for name in known if name > query.after)
        page = {
            'items': [known[name] for name in names[:_PAGE]],
            'more_pages': len(names) > _PAGE,
            'as_of': self.table.revision,
        }
        # The page is as old as its way is long when it arrives.
        listed = answer(HTTPStatus.OK, page)
        await asyncio.sleep(self.list_s + self.kind_s.get(query.kind, 0))
        return listed

    async def _watch(
        self, kind: str, since: int, wait_s: float
    ) -> HttpResponse:
        if since < self.table.forgotten:
            return answer(HTTPStatus.GONE)
        cut = asyncio.create_task(self._cut.wait())
        ended = asyncio.create_task(self._ended.wait())
        try:
            await self._wait(kind, since, wait_s, (cut, ended))
            if cut.done():
                return cut_off()
        finally:
            cut.cancel()
            ended.cancel()
        changes = {
            'events': self._told(kind, since),
            'as_of': self.table.revision,
        }
        return answer(HTTPStatus.OK, changes)

    async def _wait(
        self,
        kind: str,
        since: int,
        wait_s: float,
        ends: tuple[asyncio.Task[bool], ...],
    ) -> None:
        """Wait for news, an end of the watch or its time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while not self._told(kind, since):
            left_s = until - loop.time()
            if left_s <= _TICK_S or any(end.done() for end in ends):
                return
            news = asyncio.create_task(self._changed.wait())
            try:
                await asyncio.wait(
                    (news, *ends),
                    timeout=left_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                news.cancel()

    def _told(self, kind: str, since: int) -> list[Stored]:
        if self.deaf:
            return []
        return [
            {'object': written.stored, 'removed': written.removed}
            for written in self.table.since(kind, since)
        ]

    def _write(self, call: WriteCall) -> HttpResponse:
        if self.delay_writes:
            self.delay_writes -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(_LATE_S, self._apply, call)
            return cut_off()
        done = self._apply(call)
        if self.lose_answers:
            self.lose_answers -= 1
            return cut_off()
        return done

    def _apply(self, call: WriteCall) -> HttpResponse:
        found = self.table.write(call)
        self._wake()
        if found.refusal is not None:
            return answer(HTTPStatus(found.refusal.value), found.stored)
        return answer(HTTPStatus.OK, found.stored)

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def answer(status: HTTPStatus, body: object = None) -> HttpResponse:
    """Return an answer in JSON."""
    return HttpResponse(status=int(status), body=json.dumps(body).encode())


def cut_off() -> HttpResponse:
    """Return an answer that ends with its connection before it is whole."""
    return HttpResponse(
        status=int(HTTPStatus.OK),
        headers=Headers.of([('content-length', '100')]),
        body=_broken(),
    )


def _parse(parts: tuple[str, ...], query: str) -> _Query:
    asked = {name: found[0] for name, found in parse_qs(query).items()}
    since = asked.get('watch')
    return _Query(
        kind=parts[0],
        name=parts[1] if len(parts) > 1 else '',
        after=asked.get('after', ''),
        since=None if since is None else int(since),
        wait_s=int(asked.get('wait_ms', 0)) / 1000,
    )


async def _broken() -> AsyncIterator[bytes]:
    yield b'{'
    raise LostError
