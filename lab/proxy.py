"""A loopback proxy that delays, blocks, cuts and resets connections."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
from typing import TYPE_CHECKING, Final

from lab.spans import span_s

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from bergamotdoor.settings.document import Address
    from lab.contact import Begin, Span

_CHUNK_BYTES: Final = 65_536
#: The delay of a chunk: makes a call slow, and is far below every timeout.
_CHUNK_DELAY_S: Final = 0.2
_STOP_TIMEOUT_S: Final = 2
#: Lingering for zero seconds turns the close of a socket into a reset.
_ZERO_LINGER: Final = struct.pack('ii', 1, 0)


class Link(enum.Enum):
    """What the proxy does with data and connections."""

    OPEN = 'open'
    #: Each chunk is forwarded after a delay.
    DELAYED = 'delayed'
    #: Data of the client is forwarded, responses are not.
    ONE_WAY = 'one-way'
    #: Nothing is forwarded, and no connection is closed.
    SILENT = 'silent'
    #: New connections are closed at once, open ones are reset.
    CUT = 'cut'


class Proxy:
    """A proxy that forwards connections to one address.

    Parameters
    ----------
    listen
        The address at which clients connect.
    target
        The address to which connections are forwarded.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self.listen = listen
        self._target = target
        #: The number of accepted connections.
        self.accepted = 0
        self._link = Link.OPEN
        self._may_forward = asyncio.Event()
        self._may_forward.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._start_task: asyncio.Task[None] | None = None
        #: Records that the link is harmed.
        self.on_harm: Begin | None = None
        self._harm: Span | None = None

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._accept, self.listen.ip, self.listen.port
        )

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.use(Link.OPEN)
        self.reset()
        # The tasks of connections end once the connections are reset.
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_STOP_TIMEOUT_S)

    def refuse(self) -> None:
        """Stop listening and reset all connections, like an ended process."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def accept_again(self) -> None:
        """Start listening again, in the background."""
        self._start_task = asyncio.create_task(self.start())

    def use(self, link: Link) -> None:
        """Change the link, also for open connections."""
        self._link = link
        self._record_harm()
        if link in {Link.OPEN, Link.DELAYED}:
            self._may_forward.set()
        else:
            self._may_forward.clear()
        if link is Link.CUT:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        if self.on_harm is not None:
            self.on_harm().end()
        for writer in tuple(self._writers):
            _reset_connection(writer)

    def _record_harm(self) -> None:
        if self._link is Link.OPEN:
            if self._harm is not None:
                self._harm.end()
            self._harm = None
        elif self._harm is None and self.on_harm is not None:
            self._harm = self.on_harm()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        task = asyncio.ensure_future(self._forward_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with self._tracked(writer):
            if self._link is Link.CUT:
                return
            try:
                # The target sees the proxy's address, which is the client's
                # own in front of the store.
                target_reader, target_writer = await asyncio.open_connection(
                    self._target.ip,
                    self._target.port,
                    local_addr=(self.listen.ip, 0),
                )
            except OSError:
                _reset_connection(writer)
                return
            with self._tracked(target_writer):
                await self._forward_both_ways(
                    reader, writer, target_reader, target_writer
                )

    async def _forward_both_ways(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target_reader: asyncio.StreamReader,
        target_writer: asyncio.StreamWriter,
    ) -> None:
        directions = (
            asyncio.create_task(
                self._forward_bytes(reader, target_writer, is_response=False)
            ),
            asyncio.create_task(
                self._forward_bytes(target_reader, writer, is_response=True)
            ),
        )
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)

    async def _forward_bytes(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            chunk = await source.read(_CHUNK_BYTES)
            while chunk:
                await self._wait_to_forward(is_response=is_response)
                sink.write(chunk)
                await sink.drain()
                chunk = await source.read(_CHUNK_BYTES)

    async def _wait_to_forward(self, *, is_response: bool) -> None:
        if self._link is Link.DELAYED:
            await asyncio.sleep(_CHUNK_DELAY_S)
        if self._link is not Link.ONE_WAY or is_response:
            await self._may_forward.wait()

    @contextlib.contextmanager
    def _tracked(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        self._writers.add(writer)
        try:
            yield
        finally:
            self._writers.discard(writer)
            writer.close()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info('socket')
    if connection is not None:
        with contextlib.suppress(OSError):
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER
            )
    writer.transport.abort()


async def break_way(way: Proxy, rng: random.Random) -> None:
    """Break a link for a while, in a manner that is drawn at random."""
    links = tuple(link for link in Link if link is not Link.OPEN)
    way.use(rng.choice(links))
    await asyncio.sleep(span_s(rng))
    way.use(Link.OPEN)
