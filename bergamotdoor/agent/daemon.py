"""The agent process: creates its parts and connects them."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.agent.cleanup import CleanupAgent
from bergamotdoor.agent.engine import EngineClient
from bergamotdoor.agent.evacuation import EvacuationAgent
from bergamotdoor.agent.notifier import EntryNotifier
from bergamotdoor.agent.weights import WeightsAgent
from bergamotdoor.clock import Clock, LoopClock
from bergamotdoor.http import HttpClient
from bergamotdoor.objects import Watch, Watcher
from bergamotdoor.objects.job_store import JobStore
from bergamotdoor.peers.access import StoreAccess
from bergamotdoor.platform import headers as names
from bergamotdoor.tasks import Tasks

if TYPE_CHECKING:
    from bergamotdoor.settings.node import NodeSettings
    from bergamotdoor.types import ModelId, WeightVersion

#: Versions of several models that are published within this time are
#: applied in one batch.
_BATCH_TIME: Final = dt.timedelta(milliseconds=100)

_log = logging.getLogger('bergamotdoor.agent')


class AgentDaemon:
    """Agent process beside an engine, or on a VM with a disk.

    Parameters
    ----------
    settings
        The settings of the process. With an engine address it keeps the
        weights of that engine up to date; without one it completes
        evacuations of its VM and removes old jobs from the store.
    clock
        The clock of all parts; ``None`` uses that of the event loop.
    """

    def __init__(
        self, settings: NodeSettings, clock: Clock | None = None
    ) -> None:
        self._settings = settings
        self._clock = clock or LoopClock()
        self._client = HttpClient(self._clock)
        self._access = StoreAccess(settings, self._client, self._clock)
        self._tasks = Tasks()

    async def start(self) -> None:
        """Start the background tasks and return."""
        _log.info('agent: %s starts', self._settings.node)
        if self._settings.engine is None:
            evacuations = EvacuationAgent(
                self._access.store, self._settings.node
            )
            self._start_watcher(names.EVACUATION_KIND, evacuations)
            self._tasks.start(evacuations.run())
            cleanup = CleanupAgent(
                JobStore(self._access.store),
                self._settings.retention,
                self._clock,
            )
            self._tasks.start(cleanup.run())
            return
        self._tasks.start(self._access.directory.run())
        notifier = EntryNotifier(
            self._settings.engine,
            self._settings.zone,
            self._access,
            self._tasks,
            self._clock,
        )
        weights = WeightsAgent(
            self._access.store,
            EngineClient(self._client, self._settings.engine),
            self._settings.node,
            self._clock,
            notifier.announce_load
            if self._settings.announces_loads
            else _announce_nothing,
            notifier.notify_of_load,
        )
        self._start_watcher(names.VERSION_KIND, weights)
        self._tasks.start(weights.run())

    async def stop(self) -> None:
        """Stop at once: this process has no requests of callers in progress."""
        _log.info('agent: %s stops', self._settings.node)
        await self._tasks.stop()
        await self._client.close()

    def use_settings(self, settings: NodeSettings) -> None:
        """Apply the address of the store from changed settings."""
        self._access.use_settings(settings)
        self._settings = settings

    def _start_watcher(
        self, kind: str, view: EvacuationAgent | WeightsAgent
    ) -> None:
        watch = Watch(kind, _BATCH_TIME)
        watcher = Watcher(
            self._access.store, self._access.news, watch, view, self._clock
        )
        self._tasks.start(watcher.run())


async def _announce_nothing(_: ModelId, version: WeightVersion) -> None:
    """Leave it to the owners of jobs to notice that an engine loads."""
