"""The addresses that an entry listens on."""

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
    """What answers at the addresses."""

    async def callers(self, request: HttpRequest) -> HttpResponse:
        """Answer a caller."""

    async def readiness(self, request: HttpRequest) -> HttpResponse:
        """Tell the balancer whether to send callers here."""

    async def other_entries(self, request: HttpRequest) -> HttpResponse:
        """Answer another process of the system."""

    async def inspection(self, request: HttpRequest) -> HttpResponse:
        """Show metrics and state."""

    def address_of(self, name: str) -> Address:
        """Return where one of these listens."""


class Servers:
    """The addresses that an entry listens on.

    Parameters
    ----------
    daemon
        What answers.
    clock
        The time.
    listening
        A socket that listens for callers already.
    """

    def __init__(
        self,
        daemon: Listening,
        clock: Clock,
        listening: socket.socket | None = None,
    ) -> None:
        self.callers = _server(daemon, daemon.callers, clock, listening)
        self._inner = (
            _server(daemon, daemon.readiness, clock),
            _server(daemon, daemon.other_entries, clock),
            _server(daemon, daemon.inspection, clock),
        )

    async def start(self) -> None:
        """Listen, for callers last."""
        for server in (*self._inner, self.callers):
            await server.start()

    async def stop_inner(self) -> None:
        """Stop answering the balancer and the other entries."""
        await asyncio.gather(
            *(server.stop(dt.timedelta()) for server in self._inner)
        )


def _server(
    daemon: Listening,
    handler: Handler,
    clock: Clock,
    listening: socket.socket | None = None,
) -> HttpServer:
    name = handler.__name__
    return HttpServer(
        daemon.address_of(name), handler, INNER_LIMITS, clock, name, listening
    )
