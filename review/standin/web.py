# flake8: noqa
"""HTTP/1.1 server and client, as small as the stand-ins need them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import socket
import struct
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

#: ``struct linger`` with zero seconds: the close sends a reset.
LINGER_RESET = struct.pack('ii', 1, 0)


@dataclasses.dataclass
class Request:
    """A request with its whole body; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class Response:
    """A response; the body is whole, or a stream that is sent in chunks."""

    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes | AsyncIterator[bytes] = b''


class CutError(Exception):
    """Raised by a handler: the connection is reset without a response."""


def json_response(status: int, body: Any) -> Response:
    return Response(
        status,
        {'content-type': 'application/json'},
        json.dumps(body).encode(),
    )


class Server:
    """A server that cancels a handler when its client closes."""

    def __init__(
        self,
        ip: str,
        port: int,
        handle: Callable[[Request], Awaitable[Response]],
    ) -> None:
        self.ip = ip
        self.port = port
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=1 << 20
        )

    def stop(self) -> None:
        """Stop listening, and reset all connections, as a dead process."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The run ends; the task's caller would only log this.
            pass
        except CutError:
            reset(writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await read_request(reader)
        if request is None:
            return False
        work = asyncio.ensure_future(self._answer(request, writer))
        # The product never pipelines, so any input now is the end of it.
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait(
                (work, gone), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                return False
            work.result()
            return not gone.done()
        finally:
            for task in (work, gone):
                task.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)

    async def _answer(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        response = await self._handle(request)
        headers = dict(response.headers)
        whole = isinstance(response.body, bytes)
        if whole:
            headers['content-length'] = str(len(response.body))
        else:
            headers['transfer-encoding'] = 'chunked'
        lines = [f'HTTP/1.1 {response.status} X']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        if whole:
            writer.write(response.body)
            await writer.drain()
            return
        async with contextlib.aclosing(response.body) as pieces:
            async for piece in pieces:
                writer.write(b'%x\r\n%s\r\n' % (len(piece), piece))
                await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await _read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(' ', 2)
    body = await _read_body(reader, headers, until_close=False)
    return Request(method, target, headers, body)


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    line = await reader.readline()
    if not line:
        return None
    headers: dict[str, str] = {}
    field = await reader.readline()
    while field not in (b'\r\n', b''):
        name, _, text = field.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()
        field = await reader.readline()
    if not field:
        raise asyncio.IncompleteReadError(b'', None)
    return line.decode('latin-1').rstrip('\r\n'), headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], until_close: bool
) -> bytes:
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        pieces = []
        size = int((await reader.readline()).split(b';')[0], 16)
        while size:
            pieces.append(await reader.readexactly(size))
            await reader.readexactly(2)
            size = int((await reader.readline()).split(b';')[0], 16)
        await reader.readline()
        return b''.join(pieces)
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read(-1) if until_close else b''


@dataclasses.dataclass
class Reply:
    """What a client got: a whole response, or the reason why it got none."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''
    #: ``whole``, ``cut`` (the connection ended early), ``no connection`` or
    #: ``time limit``.
    end: str = 'whole'

    @property
    def json(self) -> Any:
        return json.loads(self.body)


async def send(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    limit_s: float = 5,
    host: str = 'site.example',
) -> Reply:
    """Send a request on a new connection and read the whole response."""
    try:
        async with asyncio.timeout(limit_s):
            return await _send(address, method, target, headers, body, host)
    except TimeoutError:
        return Reply(end='time limit')


async def _send(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    host: str,
) -> Reply:
    try:
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    except OSError:
        return Reply(end='no connection')
    try:
        fields = {'host': host, **headers, 'content-length': str(len(body))}
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in fields.items()]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
        head = await _read_head(reader)
        if head is None:
            return Reply(end='cut')
        first, received = head
        status = int(first.split(' ')[1])
        try:
            content = await _read_body(reader, received, until_close=True)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return Reply(status, received, end='cut')
        return Reply(status, received, content)
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return Reply(end='cut')
    finally:
        writer.close()
