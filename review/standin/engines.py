# flake8: noqa
"""Engines of plain services and model engines."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING, Any

from standin.web import Request, Response, Server, json_response

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from standin.record import Record

PREFIX = 'x-bergamotdoor-'
#: Time between two events of a stream.
EVENT_S = 0.04


@dataclasses.dataclass
class Run:
    """A request that an engine began to run."""

    request: str
    engine: str
    began_s: float
    #: When the engine stopped work on it, and why: ``done``, ``dropped`` (the
    #: connection was closed) or ``exit`` (the engine has ended).
    ended_s: float = 0.0
    end: str = ''


class Engine:
    """An engine; the body of a request says how long it works on it.

    The body is the work in milliseconds. A request with the path prefix
    ``/draft/`` or of a batch job is answered by a stream of events.
    """

    def __init__(
        self,
        name: str,
        service: str,
        ip: str,
        port: int,
        zone: str,
        record: Record,
        slots: int = 16,
        model: str = '',
    ) -> None:
        self.name = name
        self.service = service
        self.address = f'{ip}:{port}'
        self.zone = zone
        self.slots = slots
        self.model = model
        self.runs: list[Run] = []
        self.running = 0
        self._record = record
        self._exited = False
        self._born_ms = int(time.time() * 1000)
        self._server = Server(ip, port, self._handle)

    async def start(self) -> None:
        await self._server.start()

    def exit(self) -> None:
        """End at once, with all requests that run."""
        self._exited = True
        self._server.stop()

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_left_ms': 0,
            'seq': 1,
            'born': self._born_ms,
        }
        if self.model:
            entry['models'] = [
                {'name': self.model, 'version': 1, 'adapters': []}
            ]
        return entry

    async def _handle(self, request: Request) -> Response:
        if request.target == '/healthz':
            return Response(200, {f'{PREFIX}instance-id': self.name})
        if request.target == '/-/report':
            return json_response(200, self._report())
        headers = request.headers
        expected = headers.get(f'{PREFIX}expect-instance', self.name)
        if expected != self.name:
            return Response(421, {f'{PREFIX}not-executed': '1'})
        if self.running >= self.slots:
            return Response(503, {f'{PREFIX}not-executed': '1'})
        name = headers[f'{PREFIX}request-id']
        run = Run(name, self.name, time.monotonic())
        self.runs.append(run)
        self._record.add(f'{self.name}: {name} reaches it and runs')
        self.running += 1
        fields = {
            f'{PREFIX}request-id': name,
            f'{PREFIX}server-stamp': f'{self.name}.{name}',
            f'{PREFIX}server-load': f'{self.running},0,{self.slots}',
        }
        work_s = int(request.body) / 1000
        if self.model or request.target.startswith('/draft/'):
            fields['content-type'] = 'text/event-stream'
            fields[f'{PREFIX}weight-versions'] = '1'
            first = int(headers.get('last-event-id', '0')) + 1
            return Response(200, fields, self._stream(run, first, work_s))
        try:
            await asyncio.sleep(work_s)
        except asyncio.CancelledError:
            self._end(run, 'exit' if self._exited else 'dropped')
            raise
        self._end(run, 'done')
        return Response(200, fields, b'booked')

    async def _stream(
        self, run: Run, first: int, work_s: float
    ) -> AsyncIterator[bytes]:
        end = 'exit' if self._exited else 'dropped'
        try:
            for number in range(first, round(work_s / EVENT_S) + 1):
                await asyncio.sleep(EVENT_S)
                yield f'id: {number}\ndata: {run.request}/{number}\n\n'.encode()
            end = 'done'
        finally:
            self._end(run, end)

    def _end(self, run: Run, end: str) -> None:
        self.running -= 1
        run.ended_s = time.monotonic()
        run.end = end
        self._record.add(f'{self.name}: {run.request} {end}')

    def _report(self) -> dict[str, Any]:
        return {
            'stage': 'prefill_decode',
            'models': [{'name': self.model, 'version': 1, 'adapters': []}],
            'busy': False,
            'seq': 0,
            'waiting': 0,
            'running': self.running,
            'kv_used': 0,
            'kv_total': 48026,
            'handles': 0,
            'born': self._born_ms,
        }
