"""The HTTP servers of an entry process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from bergamotdoor.gateway.limits import INTERNAL_LIMITS, caller_limits
from bergamotdoor.http import HttpServer

if TYPE_CHECKING:
    import datetime as dt
    import socket

    from bergamotdoor.calls.manifest import CallerLimits
    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import Handler, HttpRequest, HttpResponse
    from bergamotdoor.settings.document import Address


class RequestHandlers(Protocol):
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
    handlers
        The handlers and the addresses of the servers.
    clock
        The clock of the process.
    listening
        A socket that already listens for callers; ``None`` if the server
        for callers opens one.
    """

    def __init__(
        self,
        handlers: RequestHandlers,
        clock: Clock,
        listening: socket.socket | None = None,
    ) -> None:
        self.callers = _make_server(
            handlers, handlers.callers, clock, listening
        )
        self._internal = (
            _make_server(handlers, handlers.readiness, clock),
            _make_server(handlers, handlers.other_entries, clock),
            _make_server(handlers, handlers.inspection, clock),
        )

    async def start(self) -> None:
        """Start all servers, the one for callers last."""
        for server in (*self._internal, self.callers):
            await server.start()

    def use_caller_limits(self, limits: CallerLimits) -> None:
        """Use a manifest's limits for callers that connect from now on."""
        self.callers.use_limits(caller_limits(limits))

    async def stop_internal(self, drain: dt.timedelta) -> None:
        """Stop all servers but the one for callers.

        Parameters
        ----------
        drain
            Time after which the requests still in progress are cancelled.
        """
        await asyncio.gather(*(server.stop(drain) for server in self._internal))


def _make_server(
    handlers: RequestHandlers,
    handler: Handler,
    clock: Clock,
    listening: socket.socket | None = None,
) -> HttpServer:
    name = handler.__name__
    return HttpServer(
        handlers.address_of(name),
        handler,
        INTERNAL_LIMITS,
        clock,
        name,
        listening,
    )
