"""Entry process without sockets: its components and background tasks."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.entry.context import Context
from bergamotdoor.entry.startup import StartupListing
from bergamotdoor.gateway.background_tasks import start_learning
from bergamotdoor.gateway.wiring import EntryComponents
from bergamotdoor.jobs.messages import JobRecord
from bergamotdoor.peers import StoreAccess, serve_peer
from bergamotdoor.tasks import Tasks
from bergamotdoor.types import JobId
from lab.model.network import Network, NetworkClient
from lab.model.pausing import Process

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.http.messages import HttpRequest, HttpResponse
    from bergamotdoor.settings.document import Address
    from bergamotdoor.settings.node import NodeSettings

#: Time from the request to stop until the process ends, if no message to
#: another entry is still unsent.
_STOP_DURATION_S: Final = 2.5
_FINAL_TASKS_TIMEOUT: Final = dt.timedelta(seconds=5)
#: Time between two tries to resume the jobs of the previous process.
_RESUME_INTERVAL_S: Final = 0.3


class ModelEntry:
    """One process of an entry; each restart creates a new one.

    Parameters
    ----------
    settings
        Settings of the entry, such as its name and address.
    network
        Network that carries the calls to and from the entry.
    clock
        Clock of the virtual time.
    manifests
        View of the manifest in force.
    seed
        Seed of the random numbers of the store client.
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
        self._context = Context.create(settings, self._access, client, clock)
        self._context.startup.mark_known(StartupListing.MANIFEST)
        self._context.startup.mark_known(StartupListing.UPSTREAMS)
        self._tasks = Tasks()
        self._final_tasks = Tasks()
        self.components = EntryComponents(
            self._context,
            self._access,
            manifests,
            self._tasks,
            self._final_tasks,
        )
        self.stopping = False
        #: Number of times that the process was paused or killed.
        self.pauses = 0

    @property
    def address(self) -> Address:
        """Address at which other entries reach this one."""
        return self._context.own_address

    def start(self, upstreams: list[Upstream]) -> None:
        """Serve peers, and resume the jobs of the entry's last process.

        Parameters
        ----------
        upstreams
            Upstreams that the entry knows from the start.
        """
        for upstream in upstreams:
            self._context.fleet.put(upstream)
        self._network.serve(self.address, self.name, self._answer_peer)
        self.process.start(self._start_tasks())

    def ask(self, request: HttpRequest) -> asyncio.Task[HttpResponse]:
        """Start to process a request of a caller; return the task."""
        return self.process.start(self.components.router.handle(request))

    def knows(self, job: str) -> bool:
        """Return whether this process knows the record of a job."""
        unknown = JobRecord(self.name, self.address, term=-1, parts=0)
        return not self.components.finder.is_newest(JobId(job), unknown)

    def begin_stop(self) -> None:
        """Start a planned stop, which hands off the entry's jobs."""
        self.stopping = True
        self.process.start(self._hand_off_and_stop())

    def pause(self) -> None:
        """Pause the process until it is resumed."""
        self.pauses += 1
        self.process.pause()

    def kill(self) -> None:
        """End the process at once; connections to it are refused."""
        self.pauses += 1
        if not self.process.gone:
            self._network.drop(self.address)
        self.process.kill()

    async def _answer_peer(
        self, origin: str, request: HttpRequest
    ) -> HttpResponse:
        handle = self.components.peer_service.handle
        return await self.process.start(serve_peer(request, handle))

    async def _start_tasks(self) -> None:
        self.components.owner.start()
        start_learning(
            self._context, self._access, self.components.owner, self._tasks
        )
        self._tasks.start(self._access.directory.run())
        self._tasks.start(self._resume_jobs())

    async def _resume_jobs(self) -> None:
        while not await self.components.resume_jobs():
            await asyncio.sleep(_RESUME_INTERVAL_S)

    async def _hand_off_and_stop(self) -> None:
        began_s = asyncio.get_running_loop().time()
        await self.components.handoff.hand_off_jobs()
        spent_s = asyncio.get_running_loop().time() - began_s
        await asyncio.sleep(max(_STOP_DURATION_S - spent_s, 0))
        await self._final_tasks.finish(_FINAL_TASKS_TIMEOUT)
        await self.components.owner.stop()
        await self._tasks.stop()
        self.kill()
