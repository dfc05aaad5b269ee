"""A store that speaks the platform's protocol, with its faults."""

from __future__ import annotations

import asyncio
import datetime as dt
import json
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs, unquote

from bergamotdoor.http.messages import Headers, HttpRequest, HttpResponse
from bergamotdoor.http.server import HttpServer
from bergamotdoor.settings.process import HttpLimits

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bergamotdoor.settings.document import Address

Body = dict[str, Any]
Kind = dict[str, Body]


class _Written(NamedTuple):
    """One change of an object."""

    revision: int
    kind: str
    removed: bool
    stored: Body


LIMITS = HttpLimits(max_header_bytes=32_768)
ANSWER_S = 0.004
#: Less than this is no time: virtual clocks have a resolution.
TICK_S = 0.0005
PAGE = 50


class Lost(Exception):
    """The connection ends before a whole answer."""


def cut_off() -> HttpResponse:
    """An answer that ends with its connection before it is whole."""

    async def nothing() -> AsyncIterator[bytes]:
        yield b'{'
        raise Lost

    return HttpResponse(
        status=200,
        headers=Headers.of([('content-length', '100')]),
        body=nothing(),
    )


class Store:
    """Objects by kind and name, and switches for faults."""

    def __init__(self, address: Address, clock: Any) -> None:
        self.address = address
        self.objects: dict[str, Kind] = {}
        self.history: list[_Written] = []
        self.forgotten = 0
        self.revision = 7
        self.calls: list[str] = []
        #: 'up', 'busy' (503) or 'silent'.
        self.mode = 'up'
        #: Watches hear nothing while this is set.
        self.deaf = False
        #: How many of the next writes are done and not answered.
        self.lose_answers = 0
        #: How many of the next writes get no answer and are done later.
        self.delay_writes = 0
        #: How long a listing takes beyond other calls.
        self.list_s = float()
        self._changed = asyncio.Event()
        self._cut = asyncio.Event()
        self._ended = asyncio.Event()
        self._server = HttpServer(address, self.handle, LIMITS, clock, 'store')

    async def start(self) -> None:
        await self._server.start()

    async def stop(self) -> None:
        self.cut_watches()
        await self._server.stop(dt.timedelta())

    # what operators, trainers and engines do

    def put(
        self, kind: str, name: str, spec: Any, status: Any = None
    ) -> dict[str, Any]:
        known = self.objects.setdefault(kind, {}).get(name)
        self.revision += 1
        stored = {
            'metadata': {'name': name, 'rev': self.revision},
            'spec': spec,
            'status': status if known is None else known['status'],
        }
        self.objects[kind][name] = stored
        self._note(kind, False, stored)
        return stored

    def remove(self, kind: str, name: str) -> None:
        stored = self.objects[kind].pop(name)
        self.revision += 1
        self._note(kind, True, stored)

    def drop_history(self) -> None:
        """Forget what has changed, and cut the watches that wait."""
        self.forget()
        self.cut_watches()

    def forget(self) -> None:
        """Forget what has changed; watches that wait hear of nothing."""
        self.forgotten = self.revision
        self.history.clear()

    def cut_watches(self) -> None:
        self._cut.set()
        self._cut = asyncio.Event()

    def end_watches(self) -> None:
        """End the watches that wait, as if their time were up."""
        self._ended.set()
        self._ended = asyncio.Event()

    def specs(self, kind: str) -> dict[str, Any]:
        return {
            name: stored['spec']
            for name, stored in self.objects.get(kind, {}).items()
        }

    # the protocol

    async def handle(self, request: HttpRequest) -> HttpResponse:
        self.calls.append(f'{request.method} {request.target}')
        body = await request.read_body(10_000_000)
        if self.mode == 'silent':
            await asyncio.Event().wait()
        await asyncio.sleep(ANSWER_S)
        if self.mode == 'busy':
            return HttpResponse(status=503)
        path, _, query = request.target.partition('?')
        parts = [unquote(part) for part in path.split('/')[3:]]
        asked = {name: found[0] for name, found in parse_qs(query).items()}
        if request.method == 'GET':
            return await self._read(parts, asked)
        return await self._write(request.method, parts, body)

    async def _read(
        self, parts: list[str], asked: dict[str, str]
    ) -> HttpResponse:
        known = self.objects.get(parts[0], {})
        if len(parts) > 1:
            stored = known.get(parts[1])
            return answer(404) if stored is None else answer(200, stored)
        since = asked.get('watch')
        if since is None:
            await asyncio.sleep(self.list_s)
        else:
            wait_s = int(asked['wait_ms']) / 1000
            return await self._watch(parts[0], int(since), wait_s)
        after = str(asked.get('after') or '')
        names = sorted(name for name in known if name > after)
        items = [known[name] for name in names[:PAGE]]
        page = {
            'items': items,
            'more_pages': len(names) > PAGE,
            'as_of': self.revision,
        }
        return answer(200, page)

    async def _watch(
        self, kind: str, since: int, wait_s: float
    ) -> HttpResponse:
        if since < self.forgotten:
            return answer(410)
        until = asyncio.get_running_loop().time() + wait_s
        cut = asyncio.create_task(self._cut.wait())
        ended = asyncio.create_task(self._ended.wait())
        try:
            while not self._since(kind, since) and not ended.done():
                left = until - asyncio.get_running_loop().time()
                if left <= TICK_S:
                    break
                news = asyncio.create_task(self._changed.wait())
                await asyncio.wait(
                    (news, cut, ended),
                    timeout=left,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                news.cancel()
                if cut.done():
                    return cut_off()
        finally:
            cut.cancel()
            ended.cancel()
        found = self._since(kind, since)
        return answer(200, {'events': found, 'as_of': self.revision})

    def _since(self, kind: str, since: int) -> list[dict[str, Any]]:
        if self.deaf:
            return []
        return [
            {'object': stored, 'removed': removed}
            for revision, of_kind, removed, stored in self.history
            if of_kind == kind and revision > since
        ]

    async def _write(
        self, method: str, parts: list[str], body: bytes
    ) -> HttpResponse:
        if self.delay_writes:
            self.delay_writes -= 1
            asyncio.get_running_loop().call_later(
                2, self._apply, method, parts, body
            )
            return cut_off()
        done = self._apply(method, parts, body)
        if self.lose_answers:
            self.lose_answers -= 1
            return cut_off()
        return done

    def _apply(
        self, method: str, parts: list[str], body: bytes
    ) -> HttpResponse:
        kind = parts[0]
        known = self.objects.setdefault(kind, {})
        sent = json.loads(body) if body else {}
        name = parts[1] if len(parts) > 1 else sent['metadata']['name']
        stored = known.get(name)
        if method == 'POST':
            if stored is not None:
                return answer(409, stored)
            return answer(200, self.put(kind, name, sent['spec']))
        if stored is None:
            return answer(404)
        if method == 'DELETE':
            self.remove(kind, name)
            return answer(200, stored)
        if len(parts) > 2:
            stored['status'] = sent['status']
            return answer(200, self.put(kind, name, stored['spec']))
        return self._replace(kind, stored, sent)

    def _replace(self, kind: str, stored: Body, sent: Body) -> HttpResponse:
        current = stored['metadata']
        if sent['metadata'].get('rev', current['rev']) != current['rev']:
            return answer(409, stored)
        return answer(200, self.put(kind, current['name'], sent['spec']))

    def _note(self, kind: str, removed: bool, stored: dict[str, Any]) -> None:
        self.history.append(
            _Written(self.revision, kind, removed, dict(stored))
        )
        self._changed.set()
        self._changed = asyncio.Event()


def answer(status: int, body: Any = None) -> HttpResponse:
    return HttpResponse(status=status, body=json.dumps(body).encode())
