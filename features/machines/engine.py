"""Engines and plain services that speak the platform's protocol."""

from __future__ import annotations

import asyncio
import datetime as dt
import json
from typing import TYPE_CHECKING, Any, NamedTuple

from bergamotdoor.http.messages import Headers, HttpRequest, HttpResponse
from bergamotdoor.http.server import HttpServer
from features.machines.store import LIMITS, Lost, cut_off

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bergamotdoor.settings.document import Address

EVENT_S = 0.04


class Seen(NamedTuple):
    """A request that was begun."""

    request: str
    headers: dict[str, str]


class Upstream:
    """Runs requests, and remembers what it was sent."""

    def __init__(
        self, name: str, service: str, address: Address, clock: Any
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.seen: list[Seen] = []
        #: Requests that run now.
        self.running: set[str] = set()
        #: 'good', 'full', 'broken', 'failing', 'dark' or 'impossible'.
        self.mode = 'good'
        self.work_s = 0.03
        self._server = HttpServer(address, self.handle, LIMITS, clock, name)

    async def start(self) -> None:
        await self._server.start()

    async def stop(self) -> None:
        await self._server.stop(dt.timedelta())

    def registration(self, **extra: Any) -> dict[str, Any]:
        return {
            'service': self.service,
            'address': f'{self.address.ip}:{self.address.port}',
            'zone': 'here',
            'slots': 4,
            'state': 'ready',
            'cold_left_ms': 0,
            **extra,
        }

    def fields(self, request_id: str) -> list[tuple[str, str]]:
        return [
            ('X-Bergamotdoor-Request-Id', request_id),
            ('X-Bergamotdoor-Server-Stamp', f'proof of {self.name}'),
            (
                'X-Bergamotdoor-Server-Load',
                f'{len(self.running)},0,4',
            ),
        ]

    async def handle(self, request: HttpRequest) -> HttpResponse:
        headers = {field.name: field.value for field in request.headers}
        request_id = headers.get('x-bergamotdoor-request-id', '')
        body = await request.read_body(10_000_000)
        expected = headers.get('x-bergamotdoor-expect-instance', self.name)
        if expected != self.name:
            return HttpResponse(
                status=421,
                headers=Headers.of([('X-Bergamotdoor-Instance-Id', self.name)]),
            )
        if self.mode == 'full':
            return HttpResponse(
                status=503,
                headers=Headers.of([('X-Bergamotdoor-Not-Executed', '1')]),
            )
        self.seen.append(Seen(request_id, headers))
        if self.mode == 'dark':
            await asyncio.Event().wait()
        self.running.add(request_id)
        try:
            return await self.run(request, request_id, headers, body)
        finally:
            self.running.discard(request_id)

    async def run(
        self,
        request: HttpRequest,
        request_id: str,
        headers: dict[str, str],
        body: bytes,
    ) -> HttpResponse:
        await asyncio.sleep(self.work_s)
        if self.mode == 'broken':
            return cut_off()
        status = 500 if self.mode == 'failing' else 200
        return HttpResponse(
            status=status,
            headers=Headers.of(self.fields(request_id)),
            body=f'{self.name} ran {request.target} {len(body)}'.encode(),
        )


class Engine(Upstream):
    """Generates as many events as the item's body says."""

    def __init__(
        self, name: str, service: str, address: Address, clock: Any
    ) -> None:
        super().__init__(name, service, address, clock)
        self.version = 1
        self.event_s = EVENT_S
        self.orders: list[dict[str, Any]] = []
        self.loading = False
        #: How many of the next orders get no answer and are done later.
        self.late_orders = 0
        #: A stream breaks off behind so many events; -1 is never.
        self.break_after = -1
        self.load_s = 0.9

    def registration(self, **extra: Any) -> dict[str, Any]:
        models = [{'name': 'm', 'version': self.version, 'adapters': []}]
        return super().registration(models=models, **extra)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        if request.target == '/-/report':
            report = {
                'models': [{'name': 'm', 'version': self.version}],
                'busy': self.loading,
                'seq': len(self.orders),
                'running': len(self.running),
                'waiting': 0,
            }
            return HttpResponse(status=200, body=json.dumps(report).encode())
        if request.target == '/-/order':
            order = json.loads(await request.read_body(10_000))
            return await self._ordered(order)
        return await super().handle(request)

    async def _ordered(self, order: dict[str, Any]) -> HttpResponse:
        if self.late_orders:
            self.late_orders -= 1
            asyncio.get_running_loop().call_later(3, self._accept, order)
            return cut_off()
        return HttpResponse(status=self._accept(order))

    def _accept(self, order: dict[str, Any]) -> int:
        if self.loading or order['expected'] != len(self.orders):
            return 409
        self.orders.append(order)
        self.loading = True
        asyncio.get_running_loop().call_later(
            self.load_s, self._loaded, order['version']
        )
        return 202

    def _loaded(self, version: int) -> None:
        self.version = version
        self.loading = False

    async def run(
        self,
        request: HttpRequest,
        request_id: str,
        headers: dict[str, str],
        body: bytes,
    ) -> HttpResponse:
        if self.mode == 'failing':
            return HttpResponse(status=500)
        if self.mode == 'impossible':
            return HttpResponse(status=422)
        first = int(headers.get('last-event-id', '0')) + 1
        fields = [
            *self.fields(request_id),
            ('Content-Type', 'text/event-stream'),
            ('X-Bergamotdoor-Weight-Versions', str(self.version)),
        ]
        return HttpResponse(
            status=200,
            headers=Headers.of(fields),
            body=self._events(request_id, first, int(body)),
        )

    async def _events(
        self, request_id: str, first: int, count: int
    ) -> AsyncIterator[bytes]:
        version = self.version
        self.running.add(request_id)
        try:
            for number in range(first, count + 1):
                await asyncio.sleep(self.event_s)
                while self.loading:
                    await asyncio.sleep(0.01)
                if number - first == self.break_after:
                    yield b'id: '
                    raise Lost
                event = f'id: {number}\ndata: {request_id}/{number}\n\n'
                if self.version != version:
                    version = self.version
                    name = 'x-bergamotdoor-weight-versions'
                    event = f'{name}: {version}\n{event}'
                yield event.encode()
        finally:
            self.running.discard(request_id)
