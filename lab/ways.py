"""Ways between processes of a deployment in virtual time, to be cut."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.http.server import HttpServer
from lab.site import Site, at
from lab.store import LIMITS

if TYPE_CHECKING:
    from bergamotdoor.gateway.daemon import GatewayDaemon
    from bergamotdoor.http.messages import HttpRequest, HttpResponse

_FIRST_PORT: Final = 9700


class StoreWay:
    """The way of one process to the store.

    Parameters
    ----------
    site
        The deployment with the store.
    process
        The name of the process, which is started later.
    """

    def __init__(self, site: Site, process: str) -> None:
        self._store = site.store
        self._is_silent = False
        self._cut_count = 0
        address = at(_FIRST_PORT + len(site.store_addresses))
        site.store_addresses = {**site.store_addresses, process: address}
        self._server = HttpServer(
            address, self._handle, LIMITS, site.clock, 'way'
        )

    async def start(self) -> None:
        """Start the server."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server and end all calls."""
        await self._server.stop(dt.timedelta())

    def silence(self) -> None:
        """Lose all calls in progress and all that are sent from now on."""
        self._is_silent = True
        self._cut_count += 1

    def heal(self) -> None:
        """Pass calls on that are sent from now on."""
        self._is_silent = False

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        cut_count = self._cut_count
        if self._is_silent:
            await asyncio.Event().wait()
        response = await self._store.handle(request)
        if cut_count != self._cut_count:
            await asyncio.Event().wait()
        return response


class Freezer:
    """Freezes an entry as other entries see it.

    Its replies, those in progress included, wait until the entry goes on.
    Its own calls and those of callers are not affected.
    """

    def __init__(self, entry: GatewayDaemon) -> None:
        self._thawed = asyncio.Event()
        self._thawed.set()
        service = entry._components.peer_service
        self._handle = service.handle
        service.handle = self._handle_when_thawed  # type: ignore[method-assign]

    def freeze(self) -> None:
        """Hold back replies from now on."""
        self._thawed.clear()

    def thaw(self) -> None:
        """Send the replies that were held back, and all later ones."""
        self._thawed.set()

    async def _handle_when_thawed(self, message: Any) -> Any:
        await self._thawed.wait()
        reply = await self._handle(message)
        await self._thawed.wait()
        return reply
