"""Servers that send bytes without end."""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final, NamedTuple
from unittest import mock

from lab.virtual import run_virtual

if TYPE_CHECKING:
    from collections.abc import Coroutine, Mapping

    from bergamotdoor.settings.document import Address

#: The most processor time that the event loop may spend in one turn, as a part
#: of the 120 ms within which an event of a stream must be passed on.
MAX_TURN_S: Final = 0.1
#: Bytes that are sent at once, and the pause before the next ones, in seconds.
BLOCK_BYTES: Final = 32_768
FAST_PAUSE_S: Final = 0.002
SLOW_PAUSE_S: Final = 0.4
#: A complete response that leaves its connection open.
WHOLE_RESPONSE: Final = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n'
_HEAD: Final = b'HTTP/1.1 200 OK\r\n'
_CHUNKED: Final = b'transfer-encoding: chunked\r\n\r\n'


class EndlessBytes(NamedTuple):
    """What a server sends: a begin, and a unit that it repeats."""

    begin: bytes
    unit: bytes


#: Bytes without end, by the part of a response that never ends. The fields of
#: the head follow its first line.
ENDLESS: Final[Mapping[str, EndlessBytes]] = MappingProxyType(
    {
        'a head': EndlessBytes(_HEAD, b'x: aaaaaaaa\r\n'),
        'a status line': EndlessBytes(b'HTTP/1.1 200 ', b'a'),
        'no head': EndlessBytes(b'', b'a'),
        'informational heads': EndlessBytes(
            b'', b'HTTP/1.1 102 Processing\r\n\r\n'
        ),
        'a body with a length': EndlessBytes(
            b'%scontent-length: 999999999999\r\n\r\n' % _HEAD, b'a'
        ),
        'a body up to the close': EndlessBytes(b'%s\r\n' % _HEAD, b'a'),
        'chunks of one byte': EndlessBytes(_HEAD + _CHUNKED, b'1\r\na\r\n'),
        'a chunk header': EndlessBytes(b'%s%s1;' % (_HEAD, _CHUNKED), b'a'),
        'trailers': EndlessBytes(
            b'%s%s0\r\n' % (_HEAD, _CHUNKED), b'x: aaaaaaaa\r\n'
        ),
        'events of one byte': EndlessBytes(_HEAD + _CHUNKED, b'1\r\n\n\r\n'),
    }
)


class EndlessServer:
    """Server that answers each request with bytes that never end.

    Parameters
    ----------
    address
        Where it listens.
    part
        The part of its responses that never ends, or ``after a response``.
    pause_s
        The pause between two blocks of bytes; a slow server sends single
        units.
    """

    def __init__(
        self, address: Address, part: str, pause_s: float = FAST_PAUSE_S
    ) -> None:
        self._address = address
        self._part = part
        self._pause_s = pause_s
        self._server: asyncio.Server | None = None
        #: How many requests it answers completely before.
        self.whole_responses = int(part == 'after a response')
        self.open_connections = 0
        self.connections = 0
        #: Bytes that a connection took at most.
        self.most_bytes = 0

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, self._address.ip, self._address.port
        )

    def stop(self) -> None:
        """Stop to listen."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_connections += 1
        self.connections += 1
        try:
            await self._answer(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self.open_connections -= 1

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        fields = response_fields(await reader.readuntil(b'\r\n\r\n'))
        while self.whole_responses:
            self.whole_responses -= 1
            writer.write(b'%s%s\r\n' % (WHOLE_RESPONSE, fields))
            if self._part == 'after a response':
                break
            fields = response_fields(await reader.readuntil(b'\r\n\r\n'))
        await self._send_endless(writer, fields)

    async def _send_endless(
        self, writer: asyncio.StreamWriter, fields: bytes
    ) -> None:
        sent = ENDLESS.get(self._part, EndlessBytes(b'', b'a'))
        line, separator, rest = sent.begin.partition(b'\r\n')
        block = sent.unit
        if self._pause_s < SLOW_PAUSE_S:
            block *= BLOCK_BYTES // len(sent.unit)
        # Without a first line there is no head that could have fields.
        writer.write(line + separator)
        if separator:
            writer.write(fields)
        writer.write(rest)
        sent_bytes = 0
        while not writer.transport.is_closing():
            writer.write(block)
            sent_bytes += len(block)
            self.most_bytes = max(self.most_bytes, sent_bytes)
            await writer.drain()
            await asyncio.sleep(self._pause_s)


def response_fields(request_head: bytes) -> bytes:
    """Return the fields by which a response is taken for the request's."""
    found = re.search(rb'(?i)x-bergamotdoor-request-id: *(\S+)', request_head)
    request_id = found.group(1) if found else b'none'
    return (
        b'x-bergamotdoor-request-id: %s\r\n'
        b'x-bergamotdoor-server-stamp: proof\r\n'
        b'x-bergamotdoor-weight-versions: 1\r\n' % request_id
    )


class LongestTurn:
    """The most processor time that one callback of the event loop took."""

    def __init__(self) -> None:
        self.seconds = float()

    @contextlib.contextmanager
    def measure(self) -> Any:
        """Measure all callbacks that run in the context."""
        run = asyncio.Handle._run

        def timed_run(handle: asyncio.Handle) -> None:
            began_s = time.thread_time()
            run(handle)
            took_s = time.thread_time() - began_s
            self.seconds = max(self.seconds, took_s)

        with mock.patch.object(asyncio.Handle, '_run', timed_run):
            yield


def run_measured(work: Coroutine[Any, Any, None]) -> float:
    """Run in virtual time; return the longest turn in seconds."""
    longest = LongestTurn()
    with longest.measure():
        run_virtual(work)
    return longest.seconds
