"""Joins the parts of an entry process together."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
import random
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.clock import Clock, LoopClock
from bergamotdoor.fleet.fleet import Fleet
from bergamotdoor.fleet.loads import Loads
from bergamotdoor.gateway.context import Context, Tasks
from bergamotdoor.gateway.forwarding import Forwarder
from bergamotdoor.gateway.front import Front
from bergamotdoor.gateway.job_store import JobStore
from bergamotdoor.gateway.jobs_desk import JobsDesk
from bergamotdoor.gateway.owner import JobOwner
from bergamotdoor.gateway.refusals import plain
from bergamotdoor.gateway.views import FleetView, ManifestView
from bergamotdoor.http import HttpClient, HttpServer
from bergamotdoor.objects.client import DirectCaller, ObjectClient
from bergamotdoor.objects.watcher import Watcher
from bergamotdoor.peers.client import PeerClient, serve_peer
from bergamotdoor.peers.directory import Directory
from bergamotdoor.peers.relay import PeerRelay, RelayingCaller
from bergamotdoor.platform import headers as names
from bergamotdoor.settings.process import HttpLimits
from bergamotdoor.utils import to_ms

if TYPE_CHECKING:
    from bergamotdoor.http.messages import Handler, HttpRequest, HttpResponse
    from bergamotdoor.objects.watcher import View
    from bergamotdoor.platform.settings import NodeSettings
    from bergamotdoor.settings.document import Address

#: Changes of upstreams are gathered for this long. New work must stop two
#: seconds after an upstream said that it leaves.
_GATHER_FLEET: Final = dt.timedelta(milliseconds=400)
#: A manifest must be in force within two seconds, and callers notice the
#: first entry that has it.
_GATHER_MANIFEST: Final = dt.timedelta(milliseconds=20)
#: The balancer asks once a second and gives up after two refusals. Until
#: then new callers still come.
_LAME_DUCK: Final = dt.timedelta(seconds=2.2)
#: Kept of the grace for the last writes.
_STOP_MARGIN: Final = dt.timedelta(seconds=1.5)
_RESUME_PAUSE: Final = dt.timedelta(milliseconds=300)
_EXPIRY_TICK: Final = dt.timedelta(milliseconds=500)
#: Other entries and the balancer: small, trusted, and kept open.
_INNER_LIMITS: Final = HttpLimits()

_log = logging.getLogger('bergamotdoor.gateway')


class GatewayDaemon:
    """One entry process.

    Parameters
    ----------
    settings
        What the platform says of this process.
    clock
        The time.
    """

    def __init__(
        self, settings: NodeSettings, clock: Clock | None = None
    ) -> None:
        self._settings = settings
        self._clock = clock or LoopClock()
        self._client = HttpClient(self._clock)
        self._tasks = Tasks()
        self._stopping = False
        peers = PeerClient(self._client)
        direct = DirectCaller(self._client, settings.store)
        rng = random.Random(settings.node)
        caller = RelayingCaller(direct, PeerRelay(peers), self._clock, rng)
        self._context = Context(
            settings,
            self._clock,
            rng,
            self._client,
            ObjectClient(caller),
            Fleet(),
            Loads(),
        )
        self._directory = Directory(
            self._context.store, settings.node, self._clock
        )
        caller.directory = self._directory
        self._manifests = ManifestView(self._manifest_changed)
        self._fleet_view = FleetView(
            self._context.fleet, self._context.loads, self._clock, self._poke
        )
        store = JobStore(self._context.store)
        self._owner = JobOwner(self._context, store, self._manifests)
        self._desk = JobsDesk(
            self._context,
            store,
            self._owner,
            peers,
            self._directory,
            direct,
            self._tasks,
        )
        front = Front(
            self._context,
            self._manifests,
            Forwarder(self._context),
            self._desk,
        )
        self._callers = self._server(settings.callers, front.handle, 'callers')
        self._readiness = self._server(
            settings.readiness, self._ready, 'readiness'
        )
        self._peers = self._server(
            self._context.own_address, self._peer, 'peers'
        )

    async def start(self) -> None:
        """Serve; not ready before manifest and upstreams are known."""
        _log.info('gateway: %s starts', self._settings.node)
        for server in (self._readiness, self._peers, self._callers):
            await server.start()
        self._owner.start()
        self._watch(names.MANIFEST_KIND, self._manifests, _GATHER_MANIFEST)
        self._watch(names.UPSTREAM_KIND, self._fleet_view, _GATHER_FLEET)
        self._tasks.start(self._resume_jobs())
        self._tasks.start(self._directory.register(self._context.own_address))
        self._tasks.start(self._directory.run())
        self._tasks.start(self._expire_upstreams())

    async def stop(self) -> None:
        """Leave the balancer's rotation, finish what is open, end."""
        _log.info('gateway: %s stops', self._settings.node)
        self._stopping = True
        self._callers.end_connections()
        await self._clock.sleep(_LAME_DUCK)
        await self._callers.stop(
            self._settings.grace - _LAME_DUCK - _STOP_MARGIN
        )
        await self._owner.stop()
        await self._tasks.stop()
        await asyncio.gather(
            self._readiness.stop(dt.timedelta()),
            self._peers.stop(dt.timedelta()),
            self._client.close(),
        )

    def _server(
        self, listen: Address | None, handler: Handler, name: str
    ) -> HttpServer:
        if listen is None:
            raise ValueError(f'settings: no address for {name}')
        return HttpServer(listen, handler, _INNER_LIMITS, self._clock, name)

    def _watch(self, kind: str, view: View, gather: dt.timedelta) -> None:
        watcher = Watcher(self._context.store, kind, view, self._clock, gather)
        self._tasks.start(watcher.run())

    def _manifest_changed(self) -> None:
        manifest = self._manifests.manifest
        if manifest is not None:
            limits = manifest.limits
            self._callers.use_limits(
                HttpLimits(
                    max_header_bytes=limits.max_header_bytes,
                    header_timeout_ms=to_ms(limits.header_timeout),
                    idle_timeout_ms=to_ms(limits.idle_timeout),
                )
            )
        self._poke()

    def _poke(self) -> None:
        self._owner.poke()

    async def _resume_jobs(self) -> None:
        while not await self._desk.resume_own():
            await self._clock.sleep(_RESUME_PAUSE)

    async def _expire_upstreams(self) -> None:
        while True:
            await self._clock.sleep(_EXPIRY_TICK)
            self._context.fleet.expire(self._clock.elapsed())

    async def _ready(self, request: HttpRequest) -> HttpResponse:
        known = self._manifests.manifest is not None
        if known and len(self._context.fleet) and not self._stopping:
            return plain(HTTPStatus.OK, 'ready')
        return plain(HTTPStatus.SERVICE_UNAVAILABLE, 'not ready')

    async def _peer(self, request: HttpRequest) -> HttpResponse:
        return await serve_peer(request, self._desk.handle)
