"""A model of the platform's store, with switches for faults."""

from __future__ import annotations

import asyncio
import datetime as dt
import enum
import json
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Final
from urllib.parse import unquote

from bergamotdoor.http.messages import Headers, HttpRequest, HttpResponse
from bergamotdoor.http.server import HttpServer
from bergamotdoor.settings.process import HttpLimits
from lab.objects import (
    ObjectTable,
    PastTables,
    ReadQuery,
    Stored,
    WriteCall,
    parse_query,
)
from lab.outages import Loss, WriteFaults

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bergamotdoor.clock import Clock
    from bergamotdoor.settings.document import Address

LIMITS: Final = HttpLimits()
#: The time that each call takes unless a test or fault sets another one.
ANSWER_S: Final = 0.004
#: A shorter rest of a time limit counts as none, since virtual clocks have a
#: limited resolution.
_CLOCK_RESOLUTION_S: Final = 0.0005
#: Small, so that listings of a test's objects take several pages.
_PAGE_SIZE: Final = 50
_MAX_BODY_BYTES: Final = 10_000_000
#: Paths are ``/-/objects/KIND/NAME``.
_PATH_PREFIX_PARTS: Final = 3


class StoreMode(enum.Enum):
    """How the store responds to calls."""

    UP = 'up'
    #: Rejects calls with 503.
    BUSY = 'busy'
    #: Rejects calls with 429.
    LIMITED = 'limited'
    #: Resets the connections of calls.
    RESETTING = 'resetting'
    #: Accepts calls and never responds.
    SILENT = 'silent'


_REJECTION_STATUSES: Final = MappingProxyType(
    {
        StoreMode.BUSY: HTTPStatus.SERVICE_UNAVAILABLE,
        StoreMode.LIMITED: HTTPStatus.TOO_MANY_REQUESTS,
    }
)


class LostError(Exception):
    """The connection ends before the response is complete."""


class Store:
    """A server of objects over the protocol, with switches for faults."""

    def __init__(self, address: Address, clock: Clock) -> None:
        self.address = address
        self.table = ObjectTable()
        self.calls: list[str] = []
        self.mode = StoreMode.UP
        #: While this is set, watches report no changes.
        self.deaf = False
        self.write_faults = WriteFaults()
        #: The time that each call takes.
        self.answer_s = ANSWER_S
        #: The extra time that each listing takes.
        self.list_s = float()
        #: The extra time that listings of a kind take, by kind.
        self.kind_s: dict[str, float] = {}
        #: How old the answers to calls are that allow for old ones.
        self.stale_s = float()
        self._past = PastTables()
        self._objects_changed = asyncio.Event()
        self._watches_cut = asyncio.Event()
        self._watches_ended = asyncio.Event()
        self._server = HttpServer(address, self.handle, LIMITS, clock, 'store')

    async def start(self) -> None:
        """Start the server."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server and end all calls."""
        self.cut_watches()
        await self._server.stop(dt.timedelta())

    def put(self, kind: str, name: str, spec: object) -> Stored:
        """Write an object as operators, trainers and engines do."""
        self._past.keep(self.table, self.stale_s)
        stored = self.table.put(kind, name, spec)
        self._notify_watches()
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._past.keep(self.table, self.stale_s)
        self.table.remove(kind, name)
        self._notify_watches()

    def drop_history(self) -> None:
        """Drop the history of changes, and cut open watches."""
        self.table.forget()
        self.cut_watches()

    def cut_watches(self) -> None:
        """Break the connections of open watches."""
        self._watches_cut.set()
        self._watches_cut = asyncio.Event()

    def end_watches(self) -> None:
        """End open watches as if their time limit had passed."""
        self._watches_ended.set()
        self._watches_ended = asyncio.Event()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond to one call of the protocol."""
        self.calls.append(f'{request.method} {request.target}')
        body = await request.read_body(_MAX_BODY_BYTES)
        if _mode_for(self, request.peer) is StoreMode.SILENT:
            await asyncio.Event().wait()
        await asyncio.sleep(self.answer_s)
        mode = _mode_for(self, request.peer)
        if mode is StoreMode.RESETTING:
            await reset_connection()
        rejection = _REJECTION_STATUSES.get(mode)
        if rejection is not None:
            return HttpResponse(status=int(rejection))
        path, _, query = request.target.partition('?')
        parts = tuple(
            unquote(part) for part in path.split('/')[_PATH_PREFIX_PARTS:]
        )
        if request.method == 'GET':
            return await self._read(parse_query(parts, query))
        return await self._write(WriteCall(request.method, parts, body))

    async def _read(self, query: ReadQuery) -> HttpResponse:
        table = self.table
        if query.may_be_stale and self.stale_s:
            table = self._past.find(self.stale_s) or table
        known = table.of_kind(query.kind)
        if query.name:
            stored = known.get(query.name)
            if stored is None:
                return answer(HTTPStatus.NOT_FOUND)
            return answer(HTTPStatus.OK, stored)
        if query.since is not None:
            return await self._watch(query.kind, query.since, query.wait_s)
        names = sorted(name for name in known if name > query.after)
        page = {
            'items': [known[name] for name in names[:_PAGE_SIZE]],
            'more_pages': len(names) > _PAGE_SIZE,
            'as_of': table.revision,
        }
        # The page is built before the delay, so it can be outdated when it
        # arrives.
        listed = answer(HTTPStatus.OK, page)
        if page['more_pages']:
            self.write_faults.write_between_pages(query.kind)
        await asyncio.sleep(self.list_s + self.kind_s.get(query.kind, 0))
        return listed

    async def _watch(
        self, kind: str, since: int, wait_s: float
    ) -> HttpResponse:
        if since < self.table.forgotten:
            return answer(HTTPStatus.GONE)
        cut = asyncio.create_task(self._watches_cut.wait())
        ended = asyncio.create_task(self._watches_ended.wait())
        try:
            await self._wait_for_changes(kind, since, wait_s, (cut, ended))
            if cut.done():
                return cut_off()
        finally:
            cut.cancel()
            ended.cancel()
        changes = {
            'events': self._visible_changes(kind, since),
            'as_of': self.table.revision,
        }
        return answer(HTTPStatus.OK, changes)

    async def _wait_for_changes(
        self,
        kind: str,
        since: int,
        wait_s: float,
        ends: tuple[asyncio.Task[bool], ...],
    ) -> None:
        """Wait for changes, an end of the watch or its time limit."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while not self._visible_changes(kind, since):
            left_s = until - loop.time()
            if left_s <= _CLOCK_RESOLUTION_S or any(end.done() for end in ends):
                return
            change = asyncio.create_task(self._objects_changed.wait())
            try:
                await asyncio.wait(
                    (change, *ends),
                    timeout=left_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                change.cancel()

    def _visible_changes(self, kind: str, since: int) -> list[Stored]:
        if self.deaf:
            return []
        return [
            {'object': written.stored, 'removed': written.removed}
            for written in self.table.since(kind, since)
        ]

    async def _write(self, call: WriteCall) -> HttpResponse:
        fault = self.write_faults.next_fault(call)
        if fault is None:
            return self._apply_write(call)
        if fault.delay_s:
            loop = asyncio.get_running_loop()
            loop.call_later(fault.delay_s, self._apply_write, call)
        else:
            self._apply_write(call)
        return await _lose_response(fault.loss)

    def _apply_write(self, call: WriteCall) -> HttpResponse:
        self._past.keep(self.table, self.stale_s)
        outcome = self.table.write(call)
        self._notify_watches()
        if outcome.refusal is not None:
            return answer(HTTPStatus(outcome.refusal.value), outcome.stored)
        return answer(HTTPStatus.OK, outcome.stored)

    def _notify_watches(self) -> None:
        self._objects_changed.set()
        self._objects_changed = asyncio.Event()


def answer(status: HTTPStatus, body: object = None) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status=int(status), body=json.dumps(body).encode())


def _mode_for(store: Store, peer: str) -> StoreMode:
    """Return how the store responds to a client at an address."""
    outage = store.write_faults.outage_for(peer.partition(':')[0])
    return store.mode if outage is None else outage.mode


async def _lose_response(loss: Loss) -> HttpResponse:
    if loss is Loss.RESET:
        await reset_connection()
    if loss is Loss.SILENCE:
        await asyncio.Event().wait()
    return cut_off()


async def reset_connection() -> None:
    """Reset the connection of the present request, without a response.

    It is called by the request's handler, which does not continue.
    """
    connection_task = asyncio.current_task()
    assert connection_task is not None
    connection_task.cancel()
    await asyncio.Event().wait()


def cut_off() -> HttpResponse:
    """Return a response whose connection ends before it is complete."""
    return HttpResponse(
        status=int(HTTPStatus.OK),
        headers=Headers.of([('content-length', '100')]),
        body=_truncated_body(),
    )


async def _truncated_body() -> AsyncIterator[bytes]:
    yield b'{'
    raise LostError
