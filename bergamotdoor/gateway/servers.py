"""The HTTP servers of an entry process."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Protocol

from bergamotdoor.gateway.limits import INNER_LIMITS
from bergamotdoor.http import HttpServer

if TYPE_CHECKING:
    import socket

    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import Handler, HttpRequest, HttpResponse
    from bergamotdoor.settings.document import Address


class Listening(Protocol):
    """Handlers of the HTTP servers; each server is named after its handler."""

    async def callers(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a caller or a trainer."""

    async def readiness(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a readiness probe of the balancer."""

    async def other_entries(self, request: HttpRequest) -> HttpResponse:
        """Return the response to another process of the system."""

    async def inspection(self, request: HttpRequest) -> HttpResponse:
        """Return the metrics or the state of this process."""

    def address_of(self, name: str) -> Address:
        """Return the address on which the server of a handler listens."""


class Servers:
    """HTTP servers of an entry process, one for each handler.

    Parameters
    ----------
    daemon
        The handlers and the addresses of the servers.
    clock
        The clock of the process.
    listening
        A socket that already listens for callers; ``None`` if the server
        for callers opens one.
    """

    def __init__(
        self,
        daemon: Listening,
        clock: Clock,
        listening: socket.socket | None = None,
    ) -> None:
        self.callers = _make_server(daemon, daemon.callers, clock, listening)
        self._internal = (
            _make_server(daemon, daemon.readiness, clock),
            _make_server(daemon, daemon.other_entries, clock),
            _make_server(daemon, daemon.inspection, clock),
        )

    async def start(self) -> None:
        """Start all servers, the one for callers last."""
        for server in (*self._internal, self.callers):
            await server.start()

    async def stop_inner(self) -> None:
        """Stop all servers but the one for callers."""
        await asyncio.gather(
            *(server.stop(dt.timedelta()) for server in self._internal)
        )


def _make_server(
    daemon: Listening,
    handler: Handler,
    clock: Clock,
    listening: socket.socket | None = None,
) -> HttpServer:
    name = handler.__name__
    return HttpServer(
        daemon.address_of(name), handler, INNER_LIMITS, clock, name, listening
    )
