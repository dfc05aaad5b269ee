"""Models of plain services and engines."""

from __future__ import annotations

import asyncio
import datetime as dt
import enum
import functools
import json
from collections import Counter
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from bergamotdoor.http.messages import Headers, HttpRequest, HttpResponse
from bergamotdoor.http.server import HttpServer
from lab.crashes import Crashes
from lab.store import LIMITS, LostError, Store, cut_off

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bergamotdoor.clock import Clock
    from bergamotdoor.settings.document import Address

EVENT_S: Final = 0.04
_WORK_S: Final = 0.03
_LOAD_S: Final = 0.9
#: When an order that was delayed is taken.
_LATE_S: Final = 3
#: How often a stream looks whether the weights are loaded.
_PAUSE_S: Final = 0.01
_MAX_BODY_BYTES: Final = 10_000_000
_PREFIX: Final = 'x-bergamotdoor-'
_MODEL: Final = 'm'
#: Some moment; a start again comes later.
_BORN_MS: Final = 1_700_000_000_000
_MS_PER_S: Final = 1000


class UpstreamMode(enum.Enum):
    """How an upstream takes requests."""

    GOOD = 'good'
    #: Refuses, and says that it ran nothing.
    FULL = 'full'
    #: Runs a request and breaks its connection.
    BROKEN = 'broken'
    #: Answers 500.
    FAILING = 'failing'
    #: Takes requests and never answers.
    DARK = 'dark'
    #: Answers 504: it ran out of time.
    LATE = 'late'
    #: Says that the item can never be done.
    IMPOSSIBLE = 'impossible'


class Seen(NamedTuple):
    """A request that was begun."""

    request: str
    headers: dict[str, str]
    target: str = ''
    body: bytes = b''
    #: When, in the event loop's time.
    at_s: float = 0


class Upstream:
    """Runs requests, and remembers what it was sent."""

    def __init__(
        self, name: str, service: str, address: Address, clock: Clock
    ) -> None:
        #: The incarnation; another one refuses requests meant for this.
        self.name = name
        self.service = service
        self.address = address
        #: When it started, as it registers that; zero is not told.
        self.born_ms = _BORN_MS
        self.seen: list[Seen] = []
        #: Requests that run now.
        self.running: set[str] = set()
        self.mode = UpstreamMode.GOOD
        #: Requests that fail whenever they run.
        self.always_fail: set[str] = set()
        #: What proved the good answers to each request.
        self._proofs: dict[str, set[str]] = {}
        #: How often each request was answered with 500.
        self.failures: Counter[str] = Counter()
        self.work_s = _WORK_S
        self._clock = clock
        self._server = self._new_server()

    @functools.cached_property
    def crashes(self) -> Crashes:
        """The requests under which it ends."""
        return Crashes()

    async def start(self) -> None:
        """Serve."""
        await self._server.start()

    async def stop(self) -> None:
        """End all requests."""
        await self._server.stop(dt.timedelta())

    def registration(self, **extra: Any) -> dict[str, Any]:
        """Return what it registers in the store."""
        return {
            'service': self.service,
            'address': written(self.address),
            'zone': 'here',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
            **self.start_told(),
            **extra,
        }

    def start_told(self) -> dict[str, int]:
        """Return what it tells of its start; older ones tell nothing."""
        return {'born': self.born_ms} if self.born_ms else {}

    async def restart(self, down_s: float) -> None:
        """End all requests and start again under the same name."""
        await self.stop()
        await asyncio.sleep(down_s)
        self.running.clear()
        self.born_ms += int(down_s * _MS_PER_S) + 1
        self._server = self._new_server()
        await self._server.start()

    def fields(self, request_id: str) -> list[tuple[str, str]]:
        """Return the header fields of an answer."""
        return [
            (f'{_PREFIX}request-id', request_id),
            (f'{_PREFIX}server-stamp', self.stamp(request_id)),
            (f'{_PREFIX}server-load', f'{len(self.running)},0,4'),
        ]

    def proofs(self, request_id: str) -> set[str]:
        """Return what proved the good answers to a request."""
        return self._proofs.get(request_id, set())

    def stamp(self, request_id: str) -> str:
        """Return the proof of an answer."""
        return f'proof of {self.name} {request_id}'

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Run one request, as the mode says."""
        headers = {field.name: field.value for field in request.headers}
        request_id = headers.get(f'{_PREFIX}request-id', '')
        body = await request.read_body(_MAX_BODY_BYTES)
        expected = headers.get(f'{_PREFIX}expect-instance', self.name)
        if expected != self.name:
            return _refused(
                HTTPStatus.MISDIRECTED_REQUEST, 'instance-id', self.name
            )
        if self.mode is UpstreamMode.FULL:
            return _refused(HTTPStatus.SERVICE_UNAVAILABLE, 'not-executed', '1')
        loop = asyncio.get_running_loop()
        self.seen.append(
            Seen(request_id, headers, request.target, body, loop.time())
        )
        if self.mode is UpstreamMode.DARK:
            await asyncio.Event().wait()
        if self.crashes.matches(request.target, body):
            await asyncio.sleep(self.work_s)
            self.crashes.begin(self)
            await asyncio.Event().wait()
        self.running.add(request_id)
        try:
            return await self.run(request, headers, body)
        finally:
            self.running.discard(request_id)

    async def run(
        self, request: HttpRequest, headers: dict[str, str], body: bytes
    ) -> HttpResponse:
        """Answer a request that was taken."""
        await asyncio.sleep(self.work_s)
        if self.mode is UpstreamMode.BROKEN:
            return cut_off()
        status = HTTPStatus.OK
        request_id = headers.get(f'{_PREFIX}request-id', '')
        failing = self.mode is UpstreamMode.FAILING
        if failing or request_id in self.always_fail:
            self.failures[request_id] += 1
            status = HTTPStatus.INTERNAL_SERVER_ERROR
        elif self.mode is UpstreamMode.LATE:
            status = HTTPStatus.GATEWAY_TIMEOUT
        else:
            self._proofs.setdefault(request_id, set()).add(
                self.stamp(request_id)
            )
        return HttpResponse(
            status=int(status),
            headers=Headers.of(self.fields(request_id)),
            body=f'{self.name} ran {request.target} {len(body)}'.encode(),
        )

    def _new_server(self) -> HttpServer:
        return HttpServer(
            self.address, self.handle, LIMITS, self._clock, self.name
        )


class Engine(Upstream):
    """Generates as many events as the item's body says."""

    def __init__(
        self, name: str, service: str, address: Address, clock: Clock
    ) -> None:
        super().__init__(name, service, address, clock)
        self.version = 1
        self.event_s = EVENT_S
        self.orders: list[dict[str, Any]] = []
        #: When the last event of each item was made.
        self.made_at_s: dict[str, float] = {}
        self.loading = False
        #: How many of the next orders get no answer and are done later.
        self.late_orders = 0
        #: A stream breaks off behind so many events; -1 is never.
        self.break_after = -1
        self.load_s = _LOAD_S
        #: How often it was started.
        self._starts = 1

    def registration(self, **extra: Any) -> dict[str, Any]:
        """Return what it registers in the store."""
        models = [{'name': _MODEL, 'version': self.version, 'adapters': []}]
        return super().registration(models=models, **extra)

    async def restart(self, down_s: float) -> None:
        """Start again: with its weights, and nothing else of before."""
        self.orders.clear()
        self.loading = False
        self._starts += 1
        await super().restart(down_s)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer its agent, or run an item."""
        if request.target == '/-/report':
            report = {
                'models': [{'name': _MODEL, 'version': self.version}],
                'busy': self.loading,
                'seq': len(self.orders),
                'running': len(self.running),
                'waiting': 0,
                **self.start_told(),
            }
            return HttpResponse(
                status=int(HTTPStatus.OK), body=json.dumps(report).encode()
            )
        if request.target == '/-/order':
            order = json.loads(await request.read_body(_MAX_BODY_BYTES))
            return self._ordered(order)
        return await super().handle(request)

    async def run(
        self, request: HttpRequest, headers: dict[str, str], body: bytes
    ) -> HttpResponse:
        """Stream the events of an item."""
        request_id = headers[f'{_PREFIX}request-id']
        if self.mode is UpstreamMode.FAILING:
            self.failures[request_id] += 1
            return HttpResponse(status=int(HTTPStatus.INTERNAL_SERVER_ERROR))
        if self.mode is UpstreamMode.IMPOSSIBLE:
            return HttpResponse(status=int(HTTPStatus.UNPROCESSABLE_ENTITY))
        first = int(headers.get('last-event-id', '0')) + 1
        fields = [
            *self.fields(request_id),
            ('content-type', 'text/event-stream'),
            (f'{_PREFIX}weight-versions', str(self.version)),
        ]
        return HttpResponse(
            status=int(HTTPStatus.OK),
            headers=Headers.of(fields),
            body=self._events(request_id, first, int(body)),
        )

    def _ordered(self, order: dict[str, Any]) -> HttpResponse:
        if self.late_orders:
            self.late_orders -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(_LATE_S, self._accept, order)
            return cut_off()
        return HttpResponse(status=int(self._accept(order)))

    def _accept(self, order: dict[str, Any]) -> HTTPStatus:
        if self.loading or order['expected'] != len(self.orders):
            return HTTPStatus.CONFLICT
        self.orders.append(order)
        self.loading = True
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.load_s, self._loaded, order['version'], self._starts
        )
        return HTTPStatus.ACCEPTED

    def _loaded(self, version: int, starts: int) -> None:
        # A load that an earlier start began ended with it.
        if starts == self._starts:
            self.version = version
            self.loading = False

    async def _events(
        self, request_id: str, first: int, count: int
    ) -> AsyncIterator[bytes]:
        version = self.version
        self.running.add(request_id)
        try:
            for number in range(first, count + 1):
                await self._generate()
                if number - first == self.break_after:
                    yield b'id: '
                    raise LostError
                event = f'id: {number}\ndata: {request_id}/{number}\n\n'
                if self.version != version:
                    version = self.version
                    event = f'{_PREFIX}weight-versions: {version}\n{event}'
                loop = asyncio.get_running_loop()
                self.made_at_s[request_id] = loop.time()
                yield event.encode()
        finally:
            self.running.discard(request_id)

    async def _generate(self) -> None:
        await asyncio.sleep(self.event_s)
        while self.loading:
            await asyncio.sleep(_PAUSE_S)


def _refused(status: HTTPStatus, name: str, text: str) -> HttpResponse:
    headers = Headers.of([(f'{_PREFIX}{name}', text)])
    return HttpResponse(status=int(status), headers=headers)


def written(address: Address) -> str:
    """Write an address as registrations do."""
    return f'{address.ip}:{address.port}'


def register(store: Store, upstream: Upstream, **extra: Any) -> None:
    """Register an upstream, unless it is registered just so."""
    registration = upstream.registration(**extra)
    if store.table.specs('servers').get(upstream.name) != registration:
        store.put('servers', upstream.name, registration)
