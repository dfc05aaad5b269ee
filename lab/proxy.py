"""A proxy on loopback that delays, cuts, silences and resets connections."""

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

_PIECE_BYTES: Final = 65_536
#: Long enough that a call is slow, far below every timeout.
_DELAY_S: Final = 0.2
_STOP_S: Final = 2
#: Lingering for no time makes a close a reset.
_RESET: Final = struct.pack('ii', 1, 0)


class Link(enum.Enum):
    """What the proxy does with what it is sent."""

    OPEN = 'open'
    #: Each piece is held for a while.
    DELAYED = 'delayed'
    #: What the client sends arrives, the answers do not.
    ONE_WAY = 'one-way'
    #: Nothing arrives, and no connection is closed.
    SILENT = 'silent'
    #: New connections are closed at once, open ones are reset.
    CUT = 'cut'


class Proxy:
    """Passes connections on to one address.

    Parameters
    ----------
    listen
        Where clients connect.
    target
        Where the connections go.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self.listen = listen
        self._target = target
        #: How many connections came.
        self.accepted = 0
        self._link = Link.OPEN
        self._opened = asyncio.Event()
        self._opened.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._starting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._accept, self.listen.ip, self.listen.port
        )

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.use(Link.OPEN)
        self.reset()
        # Connections that are reset end by themselves.
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_STOP_S)

    def refuse(self) -> None:
        """Listen no more, and reset what is open, as an ended process does."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def accept_again(self) -> None:
        """Listen again."""
        self._starting = asyncio.create_task(self.start())

    def use(self, link: Link) -> None:
        """Change what happens from now on, also on open connections."""
        self._link = link
        if link in {Link.OPEN, Link.DELAYED}:
            self._opened.set()
        else:
            self._opened.clear()
        if link is Link.CUT:
            self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in tuple(self._writers):
            _reset(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        task = asyncio.ensure_future(self._pass_on(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with self._kept(writer):
            if self._link is Link.CUT:
                return
            try:
                there, back = await asyncio.open_connection(
                    self._target.ip, self._target.port
                )
            except OSError:
                _reset(writer)
                return
            with self._kept(back):
                await self._join(reader, writer, there, back)

    async def _join(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        there: asyncio.StreamReader,
        back: asyncio.StreamWriter,
    ) -> None:
        ways = (
            asyncio.create_task(self._carry(reader, back, answers=False)),
            asyncio.create_task(self._carry(there, writer, answers=True)),
        )
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)

    async def _carry(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            piece = await source.read(_PIECE_BYTES)
            while piece:
                await self._hold(answers=answers)
                sink.write(piece)
                await sink.drain()
                piece = await source.read(_PIECE_BYTES)

    async def _hold(self, *, answers: bool) -> None:
        if self._link is Link.DELAYED:
            await asyncio.sleep(_DELAY_S)
        if self._link is not Link.ONE_WAY or answers:
            await self._opened.wait()

    @contextlib.contextmanager
    def _kept(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        self._writers.add(writer)
        try:
            yield
        finally:
            self._writers.discard(writer)
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info('socket')
    if connection is not None:
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


async def break_way(way: Proxy, rng: random.Random) -> None:
    """Break a way for a while, in one of the manners there are."""
    links = tuple(link for link in Link if link is not Link.OPEN)
    way.use(rng.choice(links))
    await asyncio.sleep(span_s(rng))
    way.use(Link.OPEN)
