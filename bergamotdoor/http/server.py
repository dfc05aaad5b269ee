"""HTTP server that accepts connections and bounds their number."""

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

#: How many connections above the limit may be open at a time while their 503
#: response is written and read. Further connections are reset.
_MAX_REFUSALS_IN_PROGRESS: Final = 64

#: A request can have reached the kernel but not this process when the server
#: stops. Closing its seemingly idle connection would reset it. After this many
#: turns of the event loop such a request has been read and counts as in
#: progress, so it is answered.
_LOOP_TURNS_BEFORE_CLOSE: Final = 3

#: How long cancelled handlers may take to finish their cleanup.
_CANCEL_TIMEOUT: Final = dt.timedelta(seconds=10)

_logger = logging.getLogger('bergamotdoor.http')


class ServerState(msgspec.Struct, frozen=True):
    """Snapshot of a server, for state dumps.

    ``connections`` are open now, and ``busy`` of them have a request in
    progress. ``refused`` connections and ``requests`` are counted since the
    start of the server.
    """

    name: str
    listen: Address
    stopping: bool
    connections: int
    busy: int
    refused: int
    requests: int


class HttpServer:
    """Server that passes the requests of all its connections to one handler.

    Parameters
    ----------
    listen
        IP address and port to listen on; port 0 selects a free port.
    handler
        Handler that is called once for each request, in the task of the
        connection. It is cancelled when the caller closes the connection.
    limits
        Bounds on sizes, times and the number of connections.
    clock
        Source of the time in the ``date`` header.
    name
        Name of the server in logs and state dumps; a process may have
        several servers.
    listening
        Socket that already listens at the address; ``None`` to open one.
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
        self._listening_socket = listening
        self._handler = handler
        self._limits = limits
        self._clock = clock
        self._name = name
        self._server: asyncio.Server | None = None
        self._stopping = False
        self._is_draining = False
        self._connection_by_task: dict[
            asyncio.Task[None], ServerConnection
        ] = {}
        self._refusal_tasks: set[asyncio.Task[None]] = set()
        self._totals = _Totals()

    def use_limits(self, limits: HttpLimits) -> None:
        """Use `limits` for all connections accepted from now on."""
        self._limits = limits

    def end_connections(self) -> None:
        """Close each connection after its next response.

        New connections are still accepted until ``stop``; each of them
        serves one request.
        """
        self._is_draining = True
        for connection in self._connection_by_task.values():
            connection.end_after_next()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connection_by_task)

    @property
    def state(self) -> ServerState:
        """Current state, for state dumps."""
        connections = self._connection_by_task.values()
        return ServerState(
            name=self._name,
            listen=self._listen,
            stopping=self._stopping,
            connections=len(connections),
            busy=sum(connection.busy for connection in connections),
            refused=self._totals.refused,
            requests=self._totals.requests
            + sum(connection.requests for connection in connections),
        )

    async def start(self) -> Address:
        """Start to listen, and return the bound address.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        if self._listening_socket is None:
            self._server = await loop.create_server(
                self._create_protocol, self._listen.ip, self._listen.port
            )
        else:
            self._server = await loop.create_server(
                self._create_protocol, sock=self._listening_socket
            )
        bound = self._server.sockets[0].getsockname()
        self._listen = Address(ip=bound[0], port=bound[1])
        _logger.info(
            'http: %s listens on %s:%d', self._name, bound[0], bound[1]
        )
        return self._listen

    async def stop(self, drain: dt.timedelta) -> None:
        """Stop the server after the requests in progress.

        Idle connections are closed at once. Responses to requests in
        progress have ``connection: close``.

        Parameters
        ----------
        drain
            Time after which the requests still in progress are cancelled
            and their connections reset.
        """
        self._stopping = True
        if self._server is not None:
            self._server.close()
        for connection in self._connection_by_task.values():
            connection.end()
        for _ in range(_LOOP_TURNS_BEFORE_CLOSE):
            await asyncio.sleep(0)
        for connection in self._connection_by_task.values():
            connection.close_if_idle()
        await self._wait_for_tasks(drain)
        for task in (*self._connection_by_task, *self._refusal_tasks):
            task.cancel()
        await self._wait_for_tasks(_CANCEL_TIMEOUT)
        if self._connection_by_task:
            _logger.error(
                'http: %s: %d handlers still run after cancellation',
                self._name,
                len(self._connection_by_task),
            )

    async def _wait_for_tasks(self, timeout: dt.timedelta) -> None:
        tasks = (*self._connection_by_task, *self._refusal_tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=timeout.total_seconds())

    def _create_protocol(self) -> WatchedProtocol:
        return WatchedProtocol(self._accept)

    def _accept(self, stream: Stream) -> None:
        connection = ServerConnection(
            stream, self._handler, self._limits, self._clock
        )
        if self._stopping:
            stream.abort()
        elif len(self._connection_by_task) < self._limits.max_connections:
            self._serve(connection)
        elif len(self._refusal_tasks) < _MAX_REFUSALS_IN_PROGRESS:
            self._refuse(connection)
        else:
            self._totals.refused += 1
            stream.abort()

    def _serve(self, connection: ServerConnection) -> None:
        if self._is_draining:
            connection.end_after_next()
        task = asyncio.create_task(connection.run())
        self._connection_by_task[task] = connection
        task.add_done_callback(self._on_connection_end)

    def _refuse(self, connection: ServerConnection) -> None:
        self._totals.refused += 1
        max_connections = self._limits.max_connections
        response = full(
            f'{max_connections} connections are open, the most allowed'
        )
        task = asyncio.create_task(connection.refuse(response))
        self._refusal_tasks.add(task)
        task.add_done_callback(self._refusal_tasks.discard)

    def _on_connection_end(self, task: asyncio.Task[None]) -> None:
        connection = self._connection_by_task.pop(task)
        self._totals.requests += connection.requests
        if not task.cancelled() and task.exception() is not None:
            _logger.error('http: connection failed: %r', task.exception())


class _Totals(msgspec.Struct):
    """Totals of connections that are not open now.

    ``refused`` counts connections above the limit; ``requests`` counts the
    requests on served connections that have ended.
    """

    refused: int = 0
    requests: int = 0
