"""One entry process: the start and stop of its servers and tasks."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.clock import Clock, LoopClock
from bergamotdoor.entry.context import Context
from bergamotdoor.entry.views import ManifestView
from bergamotdoor.gateway.background_tasks import start_background_tasks
from bergamotdoor.gateway.inspection import GatewayInspector
from bergamotdoor.gateway.planned_stop import PlannedStop
from bergamotdoor.gateway.responses import readiness_response
from bergamotdoor.gateway.servers import Servers
from bergamotdoor.gateway.wiring import EntryComponents
from bergamotdoor.http import HttpClient
from bergamotdoor.peers import StoreAccess, serve_peer
from bergamotdoor.tasks import Tasks

if TYPE_CHECKING:
    import socket

    from bergamotdoor.http.messages import HttpRequest, HttpResponse
    from bergamotdoor.settings.document import Address
    from bergamotdoor.settings.node import NodeSettings

_RESUME_RETRY_MS: Final = 300
_RESUME_RETRY: Final = dt.timedelta(milliseconds=_RESUME_RETRY_MS)

_NO_TIME: Final = dt.timedelta()

_log = logging.getLogger('bergamotdoor.gateway')


class GatewayDaemon:
    """One entry process.

    Parameters
    ----------
    settings
        The settings that the platform gives this process.
    clock
        The clock of the process; ``None`` uses the event loop's.
    listening
        A socket that already listens for callers; ``None`` if the process
        opens one.
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
        #: Tasks that a planned stop completes, as time allows.
        self._final_tasks = Tasks()
        self._stopping = False
        self._access = StoreAccess(settings, self._client, self._clock)
        self._context = Context.create(
            settings, self._access, self._client, self._clock
        )
        self._manifests = ManifestView(
            self._on_manifest_change, self._context.startup
        )
        self._components = EntryComponents(
            self._context,
            self._access,
            self._manifests,
            self._tasks,
            self._final_tasks,
        )
        self._inspector = GatewayInspector(
            self._context,
            self._manifests,
            self._components.owner,
            self._access.store.counts,
            self._components.usage,
            self._components.planner,
        )
        self._servers = Servers(self, self._clock, listening)

    async def start(self) -> None:
        """Start the servers and the background tasks.

        Readiness probes fail until a manifest and an upstream are known.
        """
        _log.info('gateway: %s starts', self._settings.node)
        await self._servers.start()
        self._components.owner.start()
        start_background_tasks(
            self._context,
            self._access,
            self._manifests,
            self._components,
            self._tasks,
        )
        self._tasks.start(self._resume_jobs())

    async def stop(self) -> None:
        """Stop as planned, within the grace period."""
        _log.info('gateway: %s stops', self._settings.node)
        self._stopping = True
        planned_stop = PlannedStop(
            self._context,
            self._components,
            self._servers.callers,
            self._final_tasks,
        )
        drain = await planned_stop.run(self._settings.grace)
        await self._servers.stop_internal(drain)
        await self._shut_down()

    def use_settings(self, settings: NodeSettings) -> None:
        """Apply changed settings while the process runs.

        Parameters
        ----------
        settings
            The new settings, of which the store's address and the bounds
            take effect.
        """
        self._access.use_settings(settings)
        self._settings = settings

    async def kill(self) -> None:
        """Stop at once without a drain, as a crash would; for tests only."""
        await self._components.owner.stop()
        await self._tasks.stop()
        await self._final_tasks.stop()
        await self._servers.callers.stop(_NO_TIME)
        await self._servers.stop_internal(_NO_TIME)
        await self._shut_down()

    async def callers(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a caller or a trainer."""
        return await self._components.router.handle(request)

    async def readiness(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a readiness probe of the balancer."""
        known = self._manifests.manifest is not None
        upstreams = len(self._context.fleet) > 0
        return readiness_response(known and upstreams and not self._stopping)

    async def inspection(self, request: HttpRequest) -> HttpResponse:
        """Return the metrics or the state of this process."""
        return await self._inspector.handle(request)

    async def other_entries(self, request: HttpRequest) -> HttpResponse:
        """Return the response to another process of the system."""
        return await serve_peer(request, self._components.peer_service.handle)

    def address_of(self, name: str) -> Address:
        """Return the address on which the server of a handler listens.

        Parameters
        ----------
        name
            The name of the handler, such as ``'callers'``.

        Raises
        ------
        ValueError
            If the settings have no address for this server.
        """
        address = {
            'callers': self._settings.callers,
            'readiness': self._settings.readiness,
            'other_entries': self._context.own_address,
            'inspection': self._context.settings.inspection,
        }[name]
        if address is None:
            raise ValueError(f'settings: no address for {name}')
        return address

    async def _shut_down(self) -> None:
        await self._components.owner.stop()
        await self._tasks.stop()
        await self._client.close()

    def _on_manifest_change(self) -> None:
        manifest = self._manifests.manifest
        if manifest is not None:
            self._servers.use_caller_limits(manifest.limits)
            if self._components.usage is not None:
                self._components.usage.wanted = bool(manifest.accounts)
        self._components.owner.wake_up()

    async def _resume_jobs(self) -> None:
        while not await self._components.resume_jobs():
            await self._clock.sleep(_RESUME_RETRY)
