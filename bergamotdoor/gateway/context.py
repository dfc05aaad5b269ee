"""What the tasks of an entry process share."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.clock import Clock
from bergamotdoor.fleet.fleet import Fleet
from bergamotdoor.fleet.loads import Loads
from bergamotdoor.http.messages import Client
from bergamotdoor.objects.client import ObjectClient
from bergamotdoor.platform.settings import NodeSettings
from bergamotdoor.settings.document import Address

if TYPE_CHECKING:
    from collections.abc import Coroutine


class Context(msgspec.Struct, frozen=True):
    """Shared state and services of one process."""

    settings: NodeSettings
    clock: Clock
    rng: random.Random
    #: To upstreams and to other entries.
    client: Client
    store: ObjectClient
    fleet: Fleet
    loads: Loads

    @property
    def own_address(self) -> Address:
        """Where other processes reach this one."""
        return peer_address(self.settings.ip, self.settings.first_port)


def peer_address(ip: str, first_port: int) -> Address:
    """Return where an entry on a VM listens for other processes."""
    return Address(ip=ip, port=first_port)


class Tasks:
    """Background work that is kept alive, logged and ended together."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run `work` beside the caller."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    async def stop(self) -> None:
        """Cancel all, and wait for them."""
        running = tuple(self._tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            loop = asyncio.get_running_loop()
            loop.call_exception_handler(
                {'message': 'a task failed', 'exception': task.exception()}
            )
