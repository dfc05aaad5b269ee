"""One TCP connection whose reads and writes are bounded in time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Callable

    from bergamotdoor.settings.document import Address

#: The most bytes taken from a socket at once.
READ_BYTES: Final = 65536

#: ``struct linger``: on, zero seconds.
_RESET: Final = struct.pack('ii', 1, 0)

#: An open connection can go silent for good while new ones work. Probes
#: after a second of silence, and twice again, show it within three; a wait
#: on such a connection would otherwise last until its own timeout, which
#: is half a minute for a watch. Data that stays unacknowledged is the same
#: failure, bounded alike.
_PROBES: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2500),
)
#: A dark VM answers no connection request. A network of milliseconds
#: carries one and its answer in far less.
CONNECT_TIMEOUT_S: Final = 0.5


class WatchedProtocol(asyncio.StreamReaderProtocol):
    """Tells when bytes came or the other side closed, also unread.

    Parameters
    ----------
    connected
        Takes the stream once the connection stands.
    """

    def __init__(
        self, connected: Callable[[Stream], None] | None = None
    ) -> None:
        #: How many bytes came in all.
        self.received = 0
        #: Whether the other side sent its end or the connection broke.
        self.gone = False
        #: Whether the connection no longer exists.
        self.lost = False
        #: Whether it broke, rather than being closed in order.
        self.broken = False
        self.on_gone: Callable[[], None] | None = None
        self.stream: Stream | None = None
        self._connected = connected
        super().__init__(asyncio.StreamReader(limit=READ_BYTES), self._announce)

    def data_received(self, data: bytes) -> None:
        """Pass on bytes."""
        self.received += len(data)
        super().data_received(data)

    def eof_received(self) -> bool | None:
        """Pass on the end of the input."""
        keep_open = super().eof_received()
        self._report()
        return keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the loss of the connection as the end of the input.

        An error would hide bytes that came before it, such as the refusal
        of an upload. Whether they are whole is for their framing to say.
        """
        super().connection_lost(None)
        self.lost = True
        self.broken = exc is not None
        self._report()

    def _announce(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.stream = Stream(reader, writer, self)
        if self._connected is not None:
            self._connected(self.stream)

    def _report(self) -> None:
        self.gone = True
        if self.on_gone is not None:
            # A reader that waits must see the end first, so that it can
            # say which body broke before its task is cancelled.
            asyncio.get_running_loop().call_soon(self.on_gone)
            self.on_gone = None


class Stream:
    """Reads and writes one connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        protocol: WatchedProtocol,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._protocol = protocol
        self._taken = 0
        #: Whether a task waits for bytes now.
        self.reading = False

    @property
    def peer(self) -> str:
        """The other side's address, for logs."""
        name = self._writer.get_extra_info('peername')
        return f'{name[0]}:{name[1]}' if name else ''

    @property
    def gone(self) -> bool:
        """Whether either side has closed; unread bytes may be left."""
        return self._protocol.gone or self._writer.is_closing()

    @property
    def broken(self) -> bool:
        """Whether it was reset or timed out, not closed in order."""
        return self._protocol.broken

    @property
    def has_input(self) -> bool:
        """Whether bytes came that nobody has read."""
        return self._protocol.received > self._taken

    def watch(self, on_gone: Callable[[], None]) -> None:
        """Call `on_gone` once when the other side has closed."""
        self._protocol.on_gone = on_gone

    async def read(self, timeout: dt.timedelta) -> bytes:
        """Return the next bytes, nothing at the end of the input.

        Raises
        ------
        TimeoutError
            If nothing comes for `timeout`.
        """
        if self.has_input:
            # There is nothing to wait for, and a timer costs as much as
            # the read.
            piece = await self._reader.read(READ_BYTES)
        else:
            piece = await self._wait_and_read(timeout)
        self._taken += len(piece)
        return piece

    def write(self, piece: bytes) -> None:
        """Hand `piece` to the socket without waiting."""
        self._writer.write(piece)

    async def send(self, piece: bytes, timeout: dt.timedelta) -> None:
        """Write `piece` and wait until the socket takes more.

        Raises
        ------
        TimeoutError
            If the other side doesn't read for `timeout`.
        ConnectionError
            If the connection is lost.
        """
        self._writer.write(piece)
        if self._writer.transport.get_write_buffer_size():
            async with asyncio.timeout(timeout.total_seconds()):
                await self._writer.drain()
        elif self._writer.is_closing():
            raise ConnectionResetError('the connection is closed')

    async def linger(self, timeout: dt.timedelta) -> None:
        """End the output, and skip input until the other side closes.

        A close with unread input resets the connection, and the other
        side would lose the response it has not read yet.
        """
        if not self._writer.is_closing():
            self._writer.write_eof()
        if self.reading:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                await self._skip_input()

    def close(self) -> None:
        """Close once what was written has left."""
        self._writer.close()

    async def finish(self, timeout: dt.timedelta) -> None:
        """Close, and wait for what was written to leave.

        A caller that never reads its response would keep it and the
        socket for ever; after `timeout` the connection is cut.
        """
        self._writer.close()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._writer.wait_closed()
        except TimeoutError:
            self.abort()
        except OSError:
            return

    def abort(self) -> None:
        """Cut the connection with a reset, dropping unsent bytes.

        A reset, unlike an orderly close, can't be taken for the end of a
        body that has no declared length.
        """
        if self._protocol.lost:
            return
        sock = self._writer.get_extra_info('socket')
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._writer.transport.abort()

    async def _skip_input(self) -> None:
        skipped = b'none yet'
        while skipped:
            skipped = await self._reader.read(READ_BYTES)

    async def _wait_and_read(self, timeout: dt.timedelta) -> bytes:
        self.reading = True
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._reader.read(READ_BYTES)
        except ConnectionError:
            return b''
        finally:
            self.reading = False


async def connect(address: Address) -> Stream:
    """Open a connection to an IP number.

    Raises
    ------
    OSError
        If nothing listens there, or no way leads there.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        transport, protocol = await loop.create_connection(
            WatchedProtocol, address.ip, address.port
        )
    if protocol.stream is None:
        raise ConnectionResetError(f'{address} closed at once')
    _probe(transport.get_extra_info('socket'))
    return protocol.stream


def _probe(sock: socket.socket) -> None:
    for level, option, setting in _PROBES:
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, setting)
