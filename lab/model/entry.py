"""An entry without sockets: all that it has for batch jobs, and its tasks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from bergamotdoor.entry.context import Context
from bergamotdoor.entry.startup import Knowledge
from bergamotdoor.gateway.wiring import JobParts
from bergamotdoor.peers import StoreAccess, serve_peer
from bergamotdoor.tasks import Tasks
from lab.model.network import Network, NetworkClient
from lab.model.pausing import Process

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.http.messages import HttpRequest, HttpResponse
    from bergamotdoor.settings.document import Address
    from bergamotdoor.settings.node import NodeSettings

#: From a request to stop until the process ends.
_STOP_S: Final = 2.5
_RESUME_S: Final = 0.3


class ModelEntry:
    """One start of an entry.

    Parameters
    ----------
    settings
        Which entry it is.
    network
        Where it is reached, and reaches others.
    clock
        The time.
    manifests
        The manifest in force.
    seed
        Of its random numbers.
    """

    def __init__(
        self,
        settings: NodeSettings,
        network: Network,
        clock: Clock,
        manifests: ManifestView,
        seed: str,
    ) -> None:
        self.name = settings.node
        self.process = Process()
        self._network = network
        client = NetworkClient(network, self.name)
        self._access = StoreAccess(settings, client, clock)
        self._access.rng.seed(seed)
        self._context = Context.fresh(settings, self._access, client, clock)
        for knowledge in Knowledge:
            self._context.startup.learned(knowledge)
        self._tasks = Tasks()
        self.parts = JobParts(
            self._context, self._access, manifests, self._tasks
        )
        self.stopping = False
        #: How often it was paused or killed.
        self.pauses = 0

    @property
    def address(self) -> Address:
        """Where other entries reach it."""
        return self._context.own_address

    def start(self, upstreams: list[Upstream]) -> None:
        """Serve, and go on with the jobs of the process before."""
        for upstream in upstreams:
            self._context.fleet.put(upstream)
        self._network.serve(self.address, self.name, self._answer)
        self.process.start(self._start())

    def ask(self, request: HttpRequest) -> asyncio.Task[HttpResponse]:
        """Begin to answer a caller."""
        return self.process.start(self.parts.front.handle(request))

    def begin_stop(self) -> None:
        """Stop as planned."""
        self.stopping = True
        self.process.start(self._stop())

    def pause(self) -> None:
        """Run nothing for a while."""
        self.pauses += 1
        self.process.pause()

    def kill(self) -> None:
        """End at once."""
        self.pauses += 1
        if not self.process.gone:
            self._network.drop(self.address)
        self.process.kill()

    async def _answer(self, origin: str, request: HttpRequest) -> HttpResponse:
        handle = self.parts.peer_service.handle
        return await self.process.start(serve_peer(request, handle))

    async def _start(self) -> None:
        self.parts.owner.start()
        directory = self._access.directory
        self._tasks.start(directory.register(self._context.own_entry))
        self._tasks.start(directory.run())
        self._tasks.start(self._resume())

    async def _resume(self) -> None:
        while not await self.parts.resume():
            await asyncio.sleep(_RESUME_S)

    async def _stop(self) -> None:
        began = asyncio.get_running_loop().time()
        await self.parts.hand_over.run()
        spent_s = asyncio.get_running_loop().time() - began
        await asyncio.sleep(max(_STOP_S - spent_s, 0))
        await self.parts.owner.stop()
        await self._tasks.stop()
        self.kill()
