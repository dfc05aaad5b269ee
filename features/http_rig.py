"""Callers, a server and scripted upstreams for the HTTP features.

All observable events are recorded as notes. A note is one line that begins
with the virtual time in seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
import datetime as dt
import logging
import re
import warnings
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

import h11

from bergamotdoor.http.client import HttpClient
from bergamotdoor.http.server import HttpServer
from bergamotdoor.settings.document import Address
from bergamotdoor.settings.process import HttpLimits
from lab.virtual import run_virtual, virtual_clock

if TYPE_CHECKING:
    from collections.abc import (
        AsyncIterator,
        Awaitable,
        Callable,
        Coroutine,
        Iterator,
    )

    from bergamotdoor.http.messages import Handler

Result = TypeVar('Result')

ADDRESS = Address(ip='127.0.0.1', port=8000)
LIMITS = HttpLimits(
    max_header_bytes=2_000,
    header_timeout_ms=1_000,
    body_timeout_ms=2_000,
    idle_timeout_ms=5_000,
    max_connections=3,
)

DRAIN_TIMEOUT = dt.timedelta(seconds=4)

logging.getLogger('bergamotdoor.http').addHandler(logging.NullHandler())
logging.getLogger('bergamotdoor.http').propagate = False
warnings.filterwarnings('ignore', message='Ignoring socket option')


def run_without_leftover_tasks(work: Coroutine[Any, Any, Result]) -> Result:
    """Run `work` in virtual time; fail if it leaves tasks running."""

    async def watched() -> Result:
        outcome = await work
        await asyncio.sleep(0.1)
        left = asyncio.all_tasks() - {asyncio.current_task()}
        assert not left, left
        return outcome

    return run_virtual(watched())


def expand_bytes(text: str) -> bytes:
    """Return the bytes of `text` with its escapes expanded.

    ``(a x 3)`` stands for ``aaa``.
    """
    expanded = re.sub(
        r'\((\w) x (\d+)\)',
        lambda match: match.group(1) * int(match.group(2)),
        text,
    )
    return expanded.encode().decode('unicode_escape').encode('latin-1')


class Notes(list[str]):
    """Observed events, each with the time at which it was observed."""

    def note(self, event: str) -> None:
        self.append(f'{asyncio.get_running_loop().time():.1f} {event}')


class Caller:
    """Caller that sends arbitrary bytes.

    Each complete response and the close of the connection are noted.
    """

    def __init__(self, name: str, notes: Notes) -> None:
        self.name = name
        self.notes = notes
        self.methods: list[str] = []

    async def connect(self) -> None:
        streams = await asyncio.open_connection(ADDRESS.ip, ADDRESS.port)
        self.reader = streams[0]
        self.writer = streams[1]
        self.collecting = asyncio.create_task(self.collect())

    def send(self, sent: bytes) -> None:
        self.methods += re.findall('(GET|HEAD|POST) /', sent.decode('latin-1'))
        self.writer.write(sent)

    def stop_reading(self) -> None:
        self.reader._transport.pause_reading()  # type: ignore[attr-defined]

    async def close(self) -> None:
        self.writer.close()
        self.collecting.cancel()
        await asyncio.gather(self.collecting, return_exceptions=True)

    async def collect(self) -> None:
        received = b''
        piece = b'begin'
        while piece:
            piece = await self.reader.read(100_000)
            received = self.take(received + piece, ended=not piece)
        part = ' on a part' if received else ''
        self.notes.note(f'{self.name} closed{part}')

    def take(self, received: bytes, ended: bool) -> bytes:
        """Note the complete responses in `received`; return the rest."""
        while received:
            method = self.methods[0] if self.methods else 'GET'
            response = parse_response(received, method, ended)
            if response is None:
                return received
            if response.status >= 200:
                self.methods = self.methods[1:]
            self.notes.note(f'{self.name} got {response.summary()}')
            self.last = response
            received = response.rest
        return received


class Parsed(NamedTuple):
    """Complete response, and the bytes after it."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    rest: bytes

    def summary(self) -> str:
        """Return the words by which a note describes the response.

        These are the status, verdict, ``retry-after``, a short body of a
        200 response, whether there is a length without a body, and whether
        the connection closes.
        """
        verdict = self.headers.get(b'bergamotdoor-verdict', b'')
        retry_s = self.headers.get(b'retry-after', b'')
        parts = [str(self.status), verdict.decode()]
        if retry_s:
            parts.append(f'retry {retry_s.decode()}')
        if int(self.headers.get(b'content-length', 0)) > len(self.body):
            parts.append('length without body')
        if self.status == 200 and len(self.body) < 30:
            parts.append(self.body.decode())
        if self.headers.get(b'connection') == b'close':
            parts.append('closing')
        return ' '.join(part for part in parts if part)


def parse_response(received: bytes, method: str, ended: bool) -> Parsed | None:
    """Return the first response in `received`.

    The result is ``None`` if that response is incomplete or malformed.

    Parameters
    ----------
    received
        All bytes that no earlier response has used.
    method
        Method of the request.
    ended
        Whether the connection has ended.
    """
    machine = h11.Connection(h11.CLIENT)
    machine.send(
        h11.Request(method=method, target='/', headers=[('host', 'a')])
    )
    machine.send(h11.EndOfMessage())
    machine.receive_data(received)
    if ended:
        machine.receive_data(b'')
    try:
        events = list(response_events(machine))
    except h11.RemoteProtocolError:
        return None
    if events[-1] is h11.NEED_DATA:
        return None
    body = b''.join(
        bytes(event.data) for event in events if isinstance(event, h11.Data)
    )
    return Parsed(
        status=events[0].status_code,
        headers=dict(events[0].headers),
        body=body,
        rest=machine.trailing_data[0],
    )


def response_events(machine: h11.Connection) -> Iterator[Any]:
    """Yield the events of the first response, up to its end.

    If the response is incomplete, the last event is ``h11.NEED_DATA``.
    """
    last = (h11.EndOfMessage, h11.InformationalResponse)
    event: Any = machine.next_event()
    while event is not h11.NEED_DATA and not isinstance(event, last):
        yield event
        event = machine.next_event()
    yield event


class Play:
    """Runs the lines of a scenario's script one after another.

    The lines are ``wait 500`` (milliseconds), ``turn 2`` (turns of the event
    loop), ``stop`` (stops the server in the background, with four seconds to
    drain), and ``count`` (notes the number of open connections). The lines
    for a caller ``a`` are ``a connects``, ``a sends BYTES``,
    ``a trickles BYTES`` (sends a byte every 200 ms in the background),
    ``a stops reading`` and ``a closes``.
    """

    def __init__(self, handler: Handler, notes: Notes) -> None:
        self.server = HttpServer(ADDRESS, handler, LIMITS, virtual_clock())
        self.notes = notes
        self.callers: dict[str, Caller] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Play:
        await self.server.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*self.tasks)
        for caller in self.callers.values():
            await caller.close()
        await self.server.stop(DRAIN_TIMEOUT)
        assert self.server.connections == 0, self.server.state

    async def run(self, lines: str) -> None:
        for line in lines.splitlines():
            await self.step(*line.split(' ', 2))

    async def step(self, who: str, what: str = '', more: str = '') -> None:
        if who == 'wait':
            await asyncio.sleep(int(what) / 1000)
        elif who == 'turn':
            for _ in range(int(what)):
                await asyncio.sleep(0)
        elif who == 'stop':
            self.tasks.append(asyncio.create_task(self.stop()))
        elif who == 'count':
            self.notes.note(f'{self.server.connections} open')
        else:
            await self.call(who, what, more)

    async def stop(self) -> None:
        await self.server.stop(DRAIN_TIMEOUT)
        self.notes.note('stopped')

    async def call(self, name: str, what: str, more: str) -> None:
        if name not in self.callers:
            self.callers[name] = Caller(name, self.notes)
            await self.callers[name].connect()
        caller = self.callers[name]
        if what == 'sends':
            caller.send(expand_bytes(more))
        elif what == 'trickles':
            self.tasks.append(
                asyncio.create_task(send_slowly(caller, expand_bytes(more)))
            )
        elif what == 'stops':
            caller.stop_reading()
        elif what == 'closes':
            await caller.close()


async def send_slowly(caller: Caller, sent: bytes) -> None:
    """Send a byte every 200 ms until the server closes the connection."""
    for byte in sent:
        if not caller.collecting.done():
            caller.send(bytes([byte]))
            await asyncio.sleep(0.2)


class Upstream:
    """Upstream that runs one script for each connection.

    Connections after the last script repeat the last script.
    """

    def __init__(
        self,
        *scripts: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
    ) -> None:
        self.scripts = list(scripts)
        self.tasks: list[asyncio.Task[Any]] = []

    @property
    def seen(self) -> int:
        """Number of connections that the upstream has accepted."""
        return len(self.tasks)

    async def __aenter__(self) -> Upstream:
        self.server = await asyncio.start_server(
            self.play, ADDRESS.ip, ADDRESS.port
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def play(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        script = self.scripts[min(self.seen, len(self.scripts) - 1)]
        task = asyncio.current_task()
        assert task is not None
        self.tasks.append(task)
        with contextlib.suppress(
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            await script(reader, writer)
        writer.close()


@contextlib.asynccontextmanager
async def open_client() -> AsyncIterator[HttpClient]:
    """Open an HTTP client, and close it at the end of the block."""
    client = HttpClient(virtual_clock())
    try:
        yield client
    finally:
        await client.close()
