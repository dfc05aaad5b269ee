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
from lab.store import LIMITS, LostError, Store, cut_off, reset_connection

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bergamotdoor.clock import Clock
    from bergamotdoor.settings.document import Address

#: The time in which an engine generates an event.
EVENT_S: Final = 0.04
_DEFAULT_WORK_S: Final = 0.03
_DEFAULT_LOAD_S: Final = 0.9
#: The time after which a delayed order is accepted.
_ORDER_DELAY_S: Final = 3
#: The interval at which a stream checks whether the weights are loaded.
_LOAD_POLL_INTERVAL_S: Final = 0.01
_MAX_BODY_BYTES: Final = 10_000_000
_HEADER_PREFIX: Final = 'x-bergamotdoor-'
_MODEL: Final = 'm'
#: The start time of each upstream, an arbitrary one; restarts are later.
_FIRST_START_MS: Final = 1_700_000_000_000
_MS_PER_S: Final = 1000
_USUAL_PERCENT: Final = 100


class UpstreamMode(enum.Enum):
    """How an upstream responds to requests."""

    GOOD = 'good'
    #: Rejects requests, with the statement that they did not run.
    FULL = 'full'
    #: Runs a request and breaks its connection.
    BROKEN = 'broken'
    #: Accepts a request and resets its connection without a response.
    RESET = 'reset'
    #: Responds with 500.
    FAILING = 'failing'
    #: Accepts requests and never responds.
    DARK = 'dark'
    #: Responds with 504: the request ran out of time.
    LATE = 'late'
    #: Responds with 422: the item can never run.
    IMPOSSIBLE = 'impossible'


class Seen(NamedTuple):
    """A request that an upstream accepted."""

    request: str
    headers: dict[str, str]
    target: str = ''
    body: bytes = b''
    #: The time of its arrival on the event loop's clock.
    at_s: float = 0


class Upstream:
    """A model of a service that runs requests and records them."""

    #: The time that work takes, in percent of ``work_s``; ``None`` is usual
    #: and not reported.
    pace_percent: int | None = None
    slots: int = 4
    #: Whether it has drained or removed its registration and serves on.
    is_leaving: bool = False
    #: Whether it refuses requests beyond its slots.
    refuses_beyond_slots: bool = False

    def __init__(
        self, name: str, service: str, address: Address, clock: Clock
    ) -> None:
        #: The id of the incarnation; requests that expect another one are
        #: rejected.
        self.name = name
        self.service = service
        self.address = address
        #: The registered start time; 0 for an upstream that registers none.
        self.born_ms = _FIRST_START_MS
        self.seen: list[Seen] = []
        #: Ids of the requests that run now.
        self.running: set[str] = set()
        self.mode = UpstreamMode.GOOD
        #: Ids of the requests that fail whenever they run.
        self.always_fail: set[str] = set()
        #: Stamps of the successful responses, by the request's id.
        self._proofs: dict[str, set[str]] = {}
        self._restart_lock = asyncio.Lock()
        #: How often each request got a response with 500, by its id.
        self.failures: Counter[str] = Counter()
        self.work_s = _DEFAULT_WORK_S
        self._clock = clock
        self._server = self._new_server()

    @functools.cached_property
    def crashes(self) -> Crashes:
        """The requests that crash the upstream."""
        return Crashes()

    @functools.cached_property
    def late_statuses(self) -> list[HTTPStatus]:
        """The statuses of late responses to another request.

        Each is sent in place of the response to an accepted request.
        """
        return []

    async def start(self) -> None:
        """Start the server."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server and end all requests."""
        await self._server.stop(dt.timedelta())

    def registration(self, **extra: Any) -> dict[str, Any]:
        """Return the registration for the store."""
        return {
            'service': self.service,
            'address': written(self.address),
            'zone': 'here',
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
            **self.start_told(),
            **extra,
        }

    def start_told(self) -> dict[str, int]:
        """Return the field with the start time, if it is registered.

        Older versions of upstreams register no start time.
        """
        return {'born': self.born_ms} if self.born_ms else {}

    async def restart(self, down_s: float) -> None:
        """End all requests and start again under the same name.

        Failure: two faults restart one upstream at the same time. Symptom:
        the second start finds the address in use and ends the run. The second
        restart therefore waits for the first one.

        Parameters
        ----------
        down_s
            How long the upstream is down.
        """
        async with self._restart_lock:
            await self.stop()
            await asyncio.sleep(down_s)
            self.running.clear()
            self.born_ms += int(down_s * _MS_PER_S) + 1
            self._server = self._new_server()
            await self._server.start()

    def fields(self, request_id: str) -> list[tuple[str, str]]:
        """Return the header fields of a response."""
        pace = '' if self.pace_percent is None else f',{self.pace_percent}'
        return [
            (f'{_HEADER_PREFIX}request-id', request_id),
            (f'{_HEADER_PREFIX}server-stamp', self.stamp(request_id)),
            (
                f'{_HEADER_PREFIX}server-load',
                f'{len(self.running)},0,{self.slots}{pace}',
            ),
        ]

    def proofs(self, request_id: str) -> set[str]:
        """Return the stamps of all successful responses to a request."""
        return self._proofs.get(request_id, set())

    def stamp(self, request_id: str) -> str:
        """Return the stamp that proves which upstream ran a request."""
        return f'proof of {self.name} {request_id}'

    def at_pace(self, work_s: float) -> float:
        """Return the time that work takes now, in seconds."""
        return work_s * (self.pace_percent or _USUAL_PERCENT) / _USUAL_PERCENT

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request as the mode says."""
        headers = {field.name: field.value for field in request.headers}
        request_id = headers.get(f'{_HEADER_PREFIX}request-id', '')
        body = await request.read_body(_MAX_BODY_BYTES)
        expected = headers.get(f'{_HEADER_PREFIX}expect-instance', self.name)
        if expected != self.name:
            return _rejection(
                HTTPStatus.MISDIRECTED_REQUEST, 'instance-id', self.name
            )
        is_full = self.refuses_beyond_slots and len(self.running) >= self.slots
        if is_full or self.mode is UpstreamMode.FULL:
            return _rejection(
                HTTPStatus.SERVICE_UNAVAILABLE, 'not-executed', '1'
            )
        loop = asyncio.get_running_loop()
        self.seen.append(
            Seen(request_id, headers, request.target, body, loop.time())
        )
        if self.late_statuses:
            return _late_response(self.late_statuses.pop())
        if self.mode is UpstreamMode.DARK:
            await asyncio.Event().wait()
        if self.mode is UpstreamMode.RESET:
            await reset_connection()
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
        """Run a request that was accepted; return the response."""
        await asyncio.sleep(self.at_pace(self.work_s))
        if self.mode is UpstreamMode.BROKEN:
            return cut_off()
        status = HTTPStatus.OK
        request_id = headers.get(f'{_HEADER_PREFIX}request-id', '')
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
    """A model of an engine; an item's body gives its number of events."""

    def __init__(
        self, name: str, service: str, address: Address, clock: Clock
    ) -> None:
        super().__init__(name, service, address, clock)
        self.version = 1
        self.event_s = EVENT_S
        self.orders: list[dict[str, Any]] = []
        #: When the last event of each item was generated, by the item's id.
        self.made_at_s: dict[str, float] = {}
        self.loading = False
        #: The number of next orders that get no response and are accepted
        #: later.
        self.late_orders = 0
        #: The number of events after which a stream breaks; -1 for never.
        self.break_after = -1
        self.load_s = _DEFAULT_LOAD_S
        #: Ids of the items that can never run.
        self.impossible: set[str] = set()
        #: How often the engine was started.
        self._start_count = 1

    def registration(self, **extra: Any) -> dict[str, Any]:
        """Return the registration for the store, with the loaded model."""
        models = [{'name': _MODEL, 'version': self.version, 'adapters': []}]
        return super().registration(models=models, **extra)

    async def restart(self, down_s: float) -> None:
        """Restart the engine; only its weights stay as they were."""
        self.orders.clear()
        self.loading = False
        self._start_count += 1
        await super().restart(down_s)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Respond to the engine's agent, or run an item."""
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
            return self._handle_order(order)
        return await super().handle(request)

    async def run(
        self, request: HttpRequest, headers: dict[str, str], body: bytes
    ) -> HttpResponse:
        """Stream the events of an item."""
        request_id = headers[f'{_HEADER_PREFIX}request-id']
        failing = self.mode is UpstreamMode.FAILING
        if failing or request_id in self.always_fail:
            self.failures[request_id] += 1
            return HttpResponse(status=int(HTTPStatus.INTERNAL_SERVER_ERROR))
        if (
            self.mode is UpstreamMode.IMPOSSIBLE
            or request_id in self.impossible
        ):
            return HttpResponse(status=int(HTTPStatus.UNPROCESSABLE_ENTITY))
        first = int(headers.get('last-event-id', '0')) + 1
        fields = [
            *self.fields(request_id),
            ('content-type', 'text/event-stream'),
            (f'{_HEADER_PREFIX}weight-versions', str(self.version)),
        ]
        return HttpResponse(
            status=int(HTTPStatus.OK),
            headers=Headers.of(fields),
            body=self._stream_events(request_id, first, int(body)),
        )

    def _handle_order(self, order: dict[str, Any]) -> HttpResponse:
        if self.late_orders:
            self.late_orders -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(_ORDER_DELAY_S, self._accept_order, order)
            return cut_off()
        return HttpResponse(status=int(self._accept_order(order)))

    def _accept_order(self, order: dict[str, Any]) -> HTTPStatus:
        if self.loading or order['expected'] != len(self.orders):
            return HTTPStatus.CONFLICT
        self.orders.append(order)
        self.loading = True
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.load_s, self._finish_load, order['version'], self._start_count
        )
        return HTTPStatus.ACCEPTED

    def _finish_load(self, version: int, start_count: int) -> None:
        # A load that began before a restart has ended with the restart.
        if start_count == self._start_count:
            self.version = version
            self.loading = False

    async def _stream_events(
        self, request_id: str, first: int, count: int
    ) -> AsyncIterator[bytes]:
        version = self.version
        self.running.add(request_id)
        try:
            for number in range(first, count + 1):
                await self._generate_event()
                if number - first == self.break_after:
                    yield b'id: '
                    raise LostError
                event = f'id: {number}\ndata: {request_id}/{number}\n\n'
                if self.version != version:
                    version = self.version
                    event = (
                        f'{_HEADER_PREFIX}weight-versions: {version}\n{event}'
                    )
                loop = asyncio.get_running_loop()
                self.made_at_s[request_id] = loop.time()
                yield event.encode()
        finally:
            self.running.discard(request_id)

    async def _generate_event(self) -> None:
        await asyncio.sleep(self.at_pace(self.event_s))
        while self.loading:
            await asyncio.sleep(_LOAD_POLL_INTERVAL_S)


def _rejection(status: HTTPStatus, name: str, text: str) -> HttpResponse:
    headers = Headers.of([(f'{_HEADER_PREFIX}{name}', text)])
    return HttpResponse(status=int(status), headers=headers)


def _late_response(status: HTTPStatus) -> HttpResponse:
    """Return a response that belongs to another request."""
    response = _rejection(status, 'request-id', 'another')
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        not_executed = (f'{_HEADER_PREFIX}not-executed', '1')
        response.headers = response.headers.plus(not_executed)
    return response


def written(address: Address) -> str:
    """Return an address in the form that registrations have."""
    return f'{address.ip}:{address.port}'


def register(store: Store, upstream: Upstream, **extra: Any) -> None:
    """Register an upstream unless the store has the same registration."""
    registration = upstream.registration(**extra)
    if store.table.specs('servers').get(upstream.name) != registration:
        store.put('servers', upstream.name, registration)
