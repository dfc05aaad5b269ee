"""One entry process: its servers, watches and their order of life."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.clock import Clock, LoopClock
from bergamotdoor.entry.context import Context
from bergamotdoor.entry.views import ManifestView
from bergamotdoor.gateway.following import follow_platform
from bergamotdoor.gateway.inspection import GatewayInspector
from bergamotdoor.gateway.limits import caller_limits
from bergamotdoor.gateway.refusals import readiness
from bergamotdoor.gateway.servers import Servers
from bergamotdoor.gateway.wiring import JobParts
from bergamotdoor.http import HttpClient
from bergamotdoor.peers import StoreAccess, serve_peer
from bergamotdoor.tasks import Tasks

if TYPE_CHECKING:
    import socket

    from bergamotdoor.http.messages import HttpRequest, HttpResponse
    from bergamotdoor.settings.document import Address
    from bergamotdoor.settings.node import NodeSettings

#: The balancer asks once a second and gives up after two refusals. Until
#: then new callers still come.
_LAME_DUCK_S: Final = 2.2
_LAME_DUCK: Final = dt.timedelta(seconds=_LAME_DUCK_S)
#: Kept of the grace for the last writes.
_STOP_MARGIN_S: Final = 1.5
_STOP_MARGIN: Final = dt.timedelta(seconds=_STOP_MARGIN_S)
_RESUME_PAUSE_MS: Final = 300
_RESUME_PAUSE: Final = dt.timedelta(milliseconds=_RESUME_PAUSE_MS)
_EXPIRY_TICK_MS: Final = 500
_EXPIRY_TICK: Final = dt.timedelta(milliseconds=_EXPIRY_TICK_MS)

_log = logging.getLogger('bergamotdoor.gateway')


class GatewayDaemon:
    """One entry process.

    Parameters
    ----------
    settings
        What the platform says of this process.
    clock
        The time.
    listening
        A socket that listens for callers already.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock | None = None,
        listening: socket.socket | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock or LoopClock()
        self._client = HttpClient(self._clock)
        self._tasks = Tasks()
        self._stopping = False
        self._access = StoreAccess(settings, self._client, self._clock)
        self._context = Context.fresh(
            settings, self._access, self._client, self._clock
        )
        self._manifests = ManifestView(
            self._manifest_changed, self._context.startup
        )
        self._parts = JobParts(
            self._context, self._access, self._manifests, self._tasks
        )
        self._inspector = GatewayInspector(
            self._context,
            self._manifests,
            self._parts.owner,
            self._access.store.counts,
            self._parts.usage,
        )
        self._servers = Servers(self, self._clock, listening)

    async def start(self) -> None:
        """Serve; not ready before manifest and upstreams are known."""
        _log.info('gateway: %s starts', self._settings.node)
        await self._servers.start()
        self._parts.owner.start()
        follow_platform(
            self._context,
            self._access.news,
            self._manifests,
            self._parts.owner,
            self._tasks,
        )
        self._tasks.start(self._resume_jobs())
        self._tasks.start(self._expire_upstreams())
        self._start_sharing()

    async def stop(self) -> None:
        """Leave the balancer's rotation, finish what is open, end."""
        _log.info('gateway: %s stops', self._settings.node)
        until = self._clock.elapsed() + self._settings.grace - _STOP_MARGIN
        await self._leave_rotation()
        # Handing jobs on may have taken longer than the lame duck.
        left = until - self._clock.elapsed()
        await self._servers.callers.stop(max(left, dt.timedelta()))
        if self._parts.usage is not None:
            await self._parts.usage.close()
        await self._end()

    def use_settings(self, settings: NodeSettings) -> None:
        """Take the store's address and the bounds of changed settings."""
        self._access.use_settings(settings)
        self._settings = settings

    async def kill(self) -> None:
        """End at once, as a crash would; for tests."""
        await self._parts.owner.stop()
        await self._tasks.stop()
        await self._servers.callers.stop(dt.timedelta())
        await self._end()

    async def callers(self, request: HttpRequest) -> HttpResponse:
        """Answer a caller."""
        return await self._parts.front.handle(request)

    async def readiness(self, request: HttpRequest) -> HttpResponse:
        """Tell the balancer whether to send callers here."""
        known = self._manifests.manifest is not None
        upstreams = len(self._context.fleet) > 0
        return readiness(known and upstreams and not self._stopping)

    async def inspection(self, request: HttpRequest) -> HttpResponse:
        """Show metrics and state."""
        return await self._inspector.handle(request)

    async def other_entries(self, request: HttpRequest) -> HttpResponse:
        """Answer another process of the system."""
        return await serve_peer(request, self._parts.peer_service.handle)

    def address_of(self, name: str) -> Address:
        """Return where one of the servers listens.

        Raises
        ------
        ValueError
            If the settings name no address for it.
        """
        found = {
            'callers': self._settings.callers,
            'readiness': self._settings.readiness,
            'other_entries': self._context.own_address,
            'inspection': self._context.settings.inspection,
        }[name]
        if found is None:
            raise ValueError(f'settings: no address for {name}')
        return found

    async def _leave_rotation(self) -> None:
        self._stopping = True
        self._parts.news_source.closed = True
        self._servers.callers.end_connections()
        began = self._clock.elapsed()
        await self._parts.hand_over.run()
        spent = self._clock.elapsed() - began
        await self._clock.sleep(_LAME_DUCK - spent)

    async def _end(self) -> None:
        await self._parts.owner.stop()
        await self._tasks.stop()
        await self._servers.stop_inner()
        await self._client.close()

    def _start_sharing(self) -> None:
        """Know the other entries, and share with them what all must know."""
        directory = self._access.directory
        self._tasks.start(directory.register(self._context.own_entry))
        self._tasks.start(directory.run())
        self._context.strikes.start(self._tasks)
        if self._parts.usage is not None:
            self._tasks.start(self._parts.usage.run())

    def _manifest_changed(self) -> None:
        manifest = self._manifests.manifest
        if manifest is not None:
            self._servers.callers.use_limits(caller_limits(manifest.limits))
            if self._parts.usage is not None:
                self._parts.usage.wanted = bool(manifest.accounts)
        self._parts.owner.poke()

    async def _resume_jobs(self) -> None:
        while not await self._parts.resume():
            await self._clock.sleep(_RESUME_PAUSE)

    async def _expire_upstreams(self) -> None:
        while True:
            await self._clock.sleep(_EXPIRY_TICK)
            self._context.fleet.expire(self._clock.elapsed())
