"""TCP connections whose reads and writes have timeouts."""

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

#: The largest number of bytes that one read returns.
READ_BYTES: Final = 65536

#: ``struct linger`` with zero seconds: the close sends a reset.
_LINGER_RESET: Final = struct.pack('ii', 1, 0)

#: An open connection can lose all its packets for good while new connections
#: work. The first keepalive probe is sent after a second of silence, and two
#: lost probes end the connection, so the failure is detected within three
#: seconds. Without probes a read would wait until its own timeout, which is
#: half a minute for a watch. Unacknowledged data is the other sign of this
#: failure; the user timeout bounds it in the same way.
_KEEPALIVE_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2500),
)

#: A VM that is down does not answer connection requests. Where a round trip
#: takes milliseconds, a connection is established in far less than this.
CONNECT_TIMEOUT_S: Final = 0.5


class WatchedProtocol(asyncio.StreamReaderProtocol):
    """Protocol that records received bytes and the end of the connection.

    Both are known as soon as they happen, also while nobody reads.

    Parameters
    ----------
    connected
        Callback that receives the stream when the connection is established.
    """

    def __init__(
        self, connected: Callable[[Stream], None] | None = None
    ) -> None:
        #: How many bytes were received in total.
        self.received = 0
        #: Whether the remote side closed its output or the connection ended.
        self.gone = False
        #: Whether the connection no longer exists.
        self.lost = False
        #: Whether the connection was reset or timed out, instead of being
        #: closed in order.
        self.broken = False
        #: Callback that is called once when the remote side closes.
        self.on_gone: Callable[[], None] | None = None
        self.stream: Stream | None = None
        self._on_connected = connected
        super().__init__(
            asyncio.StreamReader(limit=READ_BYTES), self._create_stream
        )

    def data_received(self, data: bytes) -> None:
        """Count received bytes, and make them readable."""
        self.received += len(data)
        super().data_received(data)

    def eof_received(self) -> bool | None:
        """Record that the remote side closed its output."""
        keep_open = super().eof_received()
        self._mark_closed()
        return keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection.

        The reader sees an end of input also after an error. The error would
        hide bytes that arrived before it, such as the refusal of an upload.
        The HTTP framing shows whether these bytes are complete.
        """
        super().connection_lost(None)
        self.lost = True
        self.broken = exc is not None
        self._mark_closed()

    def _create_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.stream = Stream(reader, writer, self)
        if self._on_connected is not None:
            self._on_connected(self.stream)

    def _mark_closed(self) -> None:
        self.gone = True
        if self.on_gone is not None:
            # A waiting reader must see the end of input before the callback
            # cancels its task, so that it can raise the error that names the
            # incomplete body.
            asyncio.get_running_loop().call_soon(self.on_gone)
            self.on_gone = None


class Stream:
    """Connection with timeouts on its reads and writes.

    Parameters
    ----------
    reader, writer
        Streams of the connection.
    protocol
        Protocol of the connection, which records its state.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        protocol: WatchedProtocol,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._protocol = protocol
        self._consumed_bytes = 0
        #: Whether a task is waiting for bytes in ``read``.
        self.reading = False

    @property
    def peer(self) -> str:
        """Address of the remote side, for logs."""
        name = self._writer.get_extra_info('peername')
        return f'{name[0]}:{name[1]}' if name else ''

    @property
    def gone(self) -> bool:
        """Whether either side has closed; there may still be unread bytes."""
        return self._protocol.gone or self._writer.is_closing()

    @property
    def broken(self) -> bool:
        """Whether the connection was reset or timed out.

        It is false after an orderly close.
        """
        return self._protocol.broken

    @property
    def has_input(self) -> bool:
        """Whether received bytes have not been read yet."""
        return self._protocol.received > self._consumed_bytes

    def watch(self, on_gone: Callable[[], None]) -> None:
        """Set the callback that is called once when the remote side closes."""
        self._protocol.on_gone = on_gone

    async def read(self, timeout: dt.timedelta) -> bytes:
        """Return the next bytes, or ``b''`` at the end of the input.

        Parameters
        ----------
        timeout
            Longest wait for the first byte.

        Raises
        ------
        TimeoutError
            If nothing arrives for `timeout`.
        """
        if self.has_input:
            # This read doesn't wait, and a timer would cost as much as the
            # read itself.
            piece = await self._reader.read(READ_BYTES)
        else:
            piece = await self._wait_and_read(timeout)
        self._consumed_bytes += len(piece)
        return piece

    def write(self, piece: bytes) -> None:
        """Write `piece` without waiting until the socket accepts it."""
        self._writer.write(piece)

    async def send(self, piece: bytes, timeout: dt.timedelta) -> None:
        """Write `piece` and wait until the socket accepts more.

        Parameters
        ----------
        piece
            Bytes to write.
        timeout
            Longest wait until the write buffer has room.

        Raises
        ------
        TimeoutError
            If the remote side doesn't read for `timeout`.
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
        """Close the output, and discard input until the remote side closes.

        A close with unread input resets the connection, and the remote side
        would lose the part of the response that it has not read yet.

        Parameters
        ----------
        timeout
            Longest time to wait for the close of the remote side.
        """
        if not self._writer.is_closing():
            self._writer.write_eof()
        if self.reading:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                await self._discard_input()

    def close(self) -> None:
        """Close after all written bytes are sent; don't wait for it."""
        self._writer.close()

    async def finish(self, timeout: dt.timedelta) -> None:
        """Close, and wait until all written bytes are sent.

        A caller that never reads its response would otherwise keep the
        response in memory and the socket open for ever.

        Parameters
        ----------
        timeout
            Time after which the connection is reset.
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
        """Reset the connection and drop unsent bytes.

        Unlike an orderly close, a reset can't be mistaken for the end of a
        body without a declared length.
        """
        if self._protocol.lost:
            return
        sock = self._writer.get_extra_info('socket')
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self._writer.transport.abort()

    async def _discard_input(self) -> None:
        piece = b'none yet'
        while piece:
            piece = await self._reader.read(READ_BYTES)

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
    """Open a connection.

    Parameters
    ----------
    address
        IP address and port of the upstream.

    Raises
    ------
    OSError
        If nothing listens at the address, it can't be reached, or the
        connection is not established within ``CONNECT_TIMEOUT_S``.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        transport, protocol = await loop.create_connection(
            WatchedProtocol, address.ip, address.port
        )
    if protocol.stream is None:
        raise ConnectionResetError(f'{address} closed at once')
    _enable_keepalive(transport.get_extra_info('socket'))
    return protocol.stream


def _enable_keepalive(sock: socket.socket) -> None:
    for level, option, setting in _KEEPALIVE_OPTIONS:
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, setting)
