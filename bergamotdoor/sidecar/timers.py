"""What a sidecar does by the clock."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.sidecar.configuration import read_configuration
from bergamotdoor.wire.messages import ConfigRequest

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.sidecar.service import SidecarService
    from bergamotdoor.store.protocols import ObjectStore
    from bergamotdoor.wire.link import Link

_TICK: Final = dt.timedelta(milliseconds=100)
#: A tick that comes later than this after the last one does not count as
#: age: the process stood still, or is so busy that its links age slower.
_PAUSE_MS: Final = 300
_WATCH_INTERVAL: Final = dt.timedelta(seconds=1)


class Timers:
    """Owns the periodic tasks.

    Parameters
    ----------
    service
        What ticks.
    clock
        Paces the tasks and shows pauses.
    store
        Where the first configuration may be read.
    links
        The open links; the daemon adds and removes them.
    """

    def __init__(
        self,
        service: SidecarService,
        clock: Clock,
        store: ObjectStore,
        links: set[Link],
    ) -> None:
        self._service = service
        self._clock = clock
        self._store = store
        self._links = links
        self._tasks: tuple[asyncio.Task[None], ...] = ()

    async def start(self) -> None:
        """Learn the upstream's state and the configuration; go on so."""
        await self._service.probe()
        await self._configure()
        self._tasks = (
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._watch()),
        )

    async def stop(self) -> None:
        """End the tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _tick(self) -> None:
        last = self._clock.elapsed()
        while True:
            await self._clock.sleep(_TICK)
            passed = self._clock.elapsed() - last
            last += passed
            paused = passed > utils.from_ms(_PAUSE_MS)
            self._service.tick(passed if paused else dt.timedelta())

    async def _watch(self) -> None:
        while True:
            await self._clock.sleep(_WATCH_INTERVAL)
            await self._service.probe()
            await self._configure()
            await self._ask_newer_peers()

    async def _configure(self) -> None:
        """Take the stored configuration while there is none at all."""
        if self._service.policy.generation:
            return
        configuration = await read_configuration(self._store)
        if configuration is not None:
            self._service.apply(configuration)

    async def _ask_newer_peers(self) -> None:
        own = self._service.policy.generation
        for link in tuple(self._links):
            if link.peer_generation > own:
                await link.send(ConfigRequest(own))
