"""Joins the parts of an agent process together."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.agent.cleanup import CleanupAgent
from bergamotdoor.agent.engine import EngineClient
from bergamotdoor.agent.evacuation import EvacuationAgent
from bergamotdoor.agent.weights import WeightsAgent
from bergamotdoor.clock import Clock, LoopClock
from bergamotdoor.http import HttpClient
from bergamotdoor.objects import Watch, Watcher
from bergamotdoor.objects.job_store import JobStore
from bergamotdoor.peers.access import StoreAccess
from bergamotdoor.peers.directory import home_order
from bergamotdoor.peers.messages import EngineLoaded
from bergamotdoor.platform import headers as names
from bergamotdoor.tasks import Tasks

if TYPE_CHECKING:
    from bergamotdoor.settings.document import Address
    from bergamotdoor.settings.node import NodeSettings
    from bergamotdoor.types import ModelId, WeightVersion

#: Versions of several models that are named together are taken together.
_GATHER: Final = dt.timedelta(milliseconds=100)

_log = logging.getLogger('bergamotdoor.agent')


class AgentDaemon:
    """One process beside an engine, or on a VM with a disk."""

    def __init__(
        self, settings: NodeSettings, clock: Clock | None = None
    ) -> None:
        self._settings = settings
        self._clock = clock or LoopClock()
        self._client = HttpClient(self._clock)
        self._access = StoreAccess(settings, self._client, self._clock)
        self._tasks = Tasks()

    async def start(self) -> None:
        """Begin to work."""
        _log.info('agent: %s starts', self._settings.node)
        if self._settings.engine is None:
            evacuations = EvacuationAgent(
                self._access.store, self._settings.node
            )
            self._follow(names.EVACUATION_KIND, evacuations)
            self._tasks.start(evacuations.run())
            cleanup = CleanupAgent(
                JobStore(self._access.store),
                self._settings.retention,
                self._clock,
            )
            self._tasks.start(cleanup.run())
            return
        self._tasks.start(self._access.directory.run())
        weights = WeightsAgent(
            self._access.store,
            EngineClient(self._client, self._settings.engine),
            self._settings.node,
            self._clock,
            self._announce,
        )
        self._follow(names.VERSION_KIND, weights)
        self._tasks.start(weights.run())

    async def stop(self) -> None:
        """End at once: nothing here is in progress for a caller."""
        _log.info('agent: %s stops', self._settings.node)
        await self._tasks.stop()
        await self._client.close()

    def use_settings(self, settings: NodeSettings) -> None:
        """Take the store's address of changed settings."""
        self._access.use_settings(settings)
        self._settings = settings

    def _announce(self, model: ModelId, version: WeightVersion) -> None:
        """Tell the entry that runs the model's jobs of a loaded version.

        Its own view of the registrations is a second late by design, and
        the engine would get no items of the new version until then.
        """
        entries = self._access.directory.entries
        near = home_order(model, entries, self._settings.zone)
        engine = self._settings.engine
        if near and engine is not None:
            message = EngineLoaded(engine, model, version)
            self._tasks.start(self._tell(entries[near[0]].address, message))

    async def _tell(self, address: Address, message: EngineLoaded) -> None:
        await self._access.peers.ask(address, message)

    def _follow(self, kind: str, view: EvacuationAgent | WeightsAgent) -> None:
        watch = Watch(kind, _GATHER)
        watcher = Watcher(
            self._access.store, self._access.news, watch, view, self._clock
        )
        self._tasks.start(watcher.run())
