"""Messages of an agent to the entry near its engine."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.peers.directory import home_order
from bergamotdoor.peers.messages import Done
from bergamotdoor.peers.weight_messages import EngineLoaded, LoadAnnounced

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.peers.access import StoreAccess
    from bergamotdoor.settings.document import Address
    from bergamotdoor.tasks import Tasks
    from bergamotdoor.types import ModelId, WeightVersion, ZoneId

#: How long a load waits for the reply to its announcement. An entry replies in
#: milliseconds, and a load without announcement costs little more.
_ANNOUNCE_TIMEOUT_S: Final = 0.15

_log = logging.getLogger('bergamotdoor.agent')


class EntryNotifier:
    """Client that tells the entry near the engine of weight loads.

    Parameters
    ----------
    engine
        The address of the agent's engine.
    zone
        The availability zone of this process.
    access
        The client for the entries, and their addresses.
    tasks
        Background tasks of the process.
    clock
        The clock for durations in the log.
    """

    def __init__(
        self,
        engine: Address,
        zone: ZoneId,
        access: StoreAccess,
        tasks: Tasks,
        clock: Clock,
    ) -> None:
        self._engine = engine
        self._zone = zone
        self._access = access
        self._tasks = tasks
        self._clock = clock

    async def announce_load(
        self, model: ModelId, version: WeightVersion
    ) -> None:
        """Announce a load, and wait for the reply for a short time.

        Failure: no entry replies, or the one asked is of the previous release
        and does not know the message. Symptom: the engine keeps old weights
        for as long as the agent waits. So the wait is short and its outcome
        is only logged; entries notice the load by stalls and refusals.
        """
        began_at = self._clock.elapsed()
        answered = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_ANNOUNCE_TIMEOUT_S):
                answered = await self._send(
                    LoadAnnounced(self._engine, model, version)
                )
        _log.info(
            'agent: load of %s version %d announced: %s after %d ms',
            model,
            version,
            'accepted' if answered else 'not accepted',
            utils.to_ms(self._clock.elapsed() - began_at),
        )

    def notify_of_load(self, model: ModelId, version: WeightVersion) -> None:
        """Notify the entry that runs the model's jobs of a loaded version.

        That entry's view of the registrations is a second behind by design.
        Without the notification the engine would get no items that require
        the new version for that second.
        """
        message = EngineLoaded(self._engine, model, version)
        self._tasks.start(self._notify(message))

    async def _notify(self, message: EngineLoaded) -> None:
        await self._send(message)

    async def _send(self, message: EngineLoaded | LoadAnnounced) -> bool:
        """Send a message; return whether an entry has accepted it."""
        entries = self._access.directory.entries
        preferred = home_order(message.model, entries, self._zone)
        if not preferred:
            return False
        address = entries[preferred[0]].address
        reply = await self._access.peers.ask(address, message)
        return isinstance(reply, Done)
