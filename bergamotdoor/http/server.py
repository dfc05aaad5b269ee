"""The HTTP server."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.http._refusal import full
from bergamotdoor.http._stream import WatchedProtocol
from bergamotdoor.http.connection import ServerConnection
from bergamotdoor.settings.document import Address

if TYPE_CHECKING:
    import socket

    from bergamotdoor.clock import Clock
    from bergamotdoor.http._stream import Stream
    from bergamotdoor.http.messages import Handler
    from bergamotdoor.settings.process import HttpLimits

#: Connections above the bound that may wait for their 503 to be read.
_MAX_REFUSING: Final = 64

#: A request that has reached this machine but not this process would be
#: reset by the close of its idle connection. These turns of the event loop
#: read it first; it is then in progress and is answered.
_TURNS_BEFORE_CLOSE: Final = 3

#: How long cancelled handlers may take to clean up.
_CANCEL_TIMEOUT: Final = dt.timedelta(seconds=10)

_logger = logging.getLogger('bergamotdoor.http')


class ServerState(msgspec.Struct, frozen=True):
    """What the server is doing, for state dumps.

    All but ``listen`` and ``stopping`` are counts; ``refused`` and
    ``requests`` only grow.
    """

    name: str
    listen: Address
    stopping: bool
    connections: int
    busy: int
    refused: int
    requests: int


class HttpServer:
    """Accepts connections and hands their requests to one handler.

    Parameters
    ----------
    listen
        An IP number; port 0 takes a free one.
    handler
        Called once per request, in the connection's own task. It is
        cancelled when the caller closes the connection.
    limits
        Bounds on what callers may do.
    clock
        For the ``date`` header.
    name
        Tells servers of one process apart in logs and dumps.
    listening
        A socket that listens at the address already.
    """

    def __init__(
        self,
        listen: Address,
        handler: Handler,
        limits: HttpLimits,
        clock: Clock,
        name: str = 'http',
        listening: socket.socket | None = None,
    ) -> None:
        self._listen = listen
        self._listening = listening
        self._handler = handler
        self._limits = limits
        self._clock = clock
        self._name = name
        self._server: asyncio.Server | None = None
        self._stopping = False
        self._ending = False
        self._open: dict[asyncio.Task[None], ServerConnection] = {}
        self._refusing: set[asyncio.Task[None]] = set()
        self._past = _Counts()

    def use_limits(self, limits: HttpLimits) -> None:
        """Take other limits, for the connections that come from now on."""
        self._limits = limits

    def end_connections(self) -> None:
        """Ask callers to leave: each next response ends its connection.

        New connections are still served, once each, until ``stop``.
        """
        self._ending = True
        for connection in self._open.values():
            connection.end_after_next()

    @property
    def connections(self) -> int:
        """How many connections are open."""
        return len(self._open)

    @property
    def state(self) -> ServerState:
        """A snapshot for state dumps."""
        serving = self._open.values()
        return ServerState(
            name=self._name,
            listen=self._listen,
            stopping=self._stopping,
            connections=len(serving),
            busy=sum(connection.busy for connection in serving),
            refused=self._past.refused,
            requests=self._past.requests
            + sum(connection.requests for connection in serving),
        )

    async def start(self) -> Address:
        """Listen; return the bound address.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        if self._listening is None:
            self._server = await loop.create_server(
                self._protocol, self._listen.ip, self._listen.port
            )
        else:
            self._server = await loop.create_server(
                self._protocol, sock=self._listening
            )
        bound = self._server.sockets[0].getsockname()
        self._listen = Address(ip=bound[0], port=bound[1])
        _logger.info(
            'http: %s listens on %s:%d', self._name, bound[0], bound[1]
        )
        return self._listen

    async def stop(self, drain: dt.timedelta) -> None:
        """Stop without cutting off what is in progress.

        Idle connections close at once, requests in progress are answered
        with ``connection: close``, and what is left after `drain` is cut.
        """
        self._stopping = True
        if self._server is not None:
            self._server.close()
        for connection in self._open.values():
            connection.end()
        for _ in range(_TURNS_BEFORE_CLOSE):
            await asyncio.sleep(0)
        for connection in self._open.values():
            connection.close_if_idle()
        await self._wait(drain)
        for task in (*self._open, *self._refusing):
            task.cancel()
        await self._wait(_CANCEL_TIMEOUT)
        if self._open:
            _logger.error(
                'http: %s: %d handlers ignore their cancellation',
                self._name,
                len(self._open),
            )

    async def _wait(self, timeout: dt.timedelta) -> None:
        tasks = (*self._open, *self._refusing)
        if tasks:
            await asyncio.wait(tasks, timeout=timeout.total_seconds())

    def _protocol(self) -> WatchedProtocol:
        return WatchedProtocol(self._accept)

    def _accept(self, stream: Stream) -> None:
        connection = ServerConnection(
            stream, self._handler, self._limits, self._clock
        )
        if self._stopping:
            stream.abort()
        elif len(self._open) < self._limits.max_connections:
            self._serve(connection)
        elif len(self._refusing) < _MAX_REFUSING:
            self._refuse(connection)
        else:
            self._past.refused += 1
            stream.abort()

    def _serve(self, connection: ServerConnection) -> None:
        if self._ending:
            connection.end_after_next()
        task = asyncio.create_task(connection.run())
        self._open[task] = connection
        task.add_done_callback(self._closed)

    def _refuse(self, connection: ServerConnection) -> None:
        self._past.refused += 1
        most = self._limits.max_connections
        response = full(f'{most} connections are open, the most allowed')
        task = asyncio.create_task(connection.refuse(response))
        self._refusing.add(task)
        task.add_done_callback(self._refusing.discard)

    def _closed(self, task: asyncio.Task[None]) -> None:
        connection = self._open.pop(task)
        self._past.requests += connection.requests
        if not task.cancelled() and task.exception() is not None:
            _logger.error('http: connection failed: %r', task.exception())


class _Counts(msgspec.Struct):
    """Totals of connections that are no longer open."""

    refused: int = 0
    requests: int = 0
