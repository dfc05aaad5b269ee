"""The configuration in force in this entry, from store and peers.

Examples
--------
>>> task = ConfigurationTask(store, group, clock, random.Random())
>>> task.subscribe(on_configuration)
>>> await task.start()
>>> await task.wait_ready(dt.timedelta(seconds=10)) is StartState.READY
True
"""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.entry.configuration_holder import ConfigurationHolder
from bergamotdoor.entry.configuration_store import ConfigurationSource
from bergamotdoor.entry.group_tasks import cancel_all
from bergamotdoor.membership.spread import Alarms, Ask, Stamp
from bergamotdoor.membership.starting import Situation, StartGate, StartState
from bergamotdoor.membership.watchers import is_watcher
from bergamotdoor.types import EntryId
from bergamotdoor.wire.messages import ConfigBody, ConfigOffer, ConfigRequest

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.entry.configuration_holder import Subscriber
    from bergamotdoor.entry.group import EntryGroupTask
    from bergamotdoor.membership.chance import Chance
    from bergamotdoor.settings.document import Configuration
    from bergamotdoor.store.protocols import ObjectStore

_KEY: Final = 'config-watch'
_TICK: Final = dt.timedelta(seconds=1) / 4
_REVIEW: Final = dt.timedelta(seconds=1)


class ConfigurationState(msgspec.Struct, frozen=True):
    """The configuration as a state dump shows it."""

    held: Stamp
    start: StartState
    watching: bool
    behind: bool
    alarms: Alarms


class ConfigurationTask:
    """Implements ``ConfigurationView``.

    Parameters
    ----------
    store
        Holds the object ``config/current``.
    group
        Carries generations and bodies between entries.
    clock, chance
        Time and spread the calls of the store.

    Attributes
    ----------
    own
        The id of this entry.
    """

    def __init__(
        self,
        store: ObjectStore,
        group: EntryGroupTask,
        clock: Clock,
        chance: Chance,
    ) -> None:
        self._source = ConfigurationSource(store, chance)
        self._group = group
        self.clock = clock
        self.own = group.own
        self._holder = ConfigurationHolder(clock)
        self._gate: StartGate | None = None
        self._tasks: tuple[asyncio.Task[None], ...] = ()
        self._holder.subscribe(self._tell_group)
        group.inbound.on_stamp(self._holder.hear_stamp)
        group.inbound.handle(ConfigRequest, self._answer_peer)
        group.inbound.handle(ConfigBody, self._holder.take_from_peer)

    def current(self) -> Configuration | None:
        """Return the highest configuration seen; None before the first."""
        return self._holder.current

    def state(self) -> StartState:
        """Return whether this process may serve, or what it waits for."""
        if self._gate is None:
            return StartState.WAITING
        spread = self._holder.spread
        return self._gate.state(
            self.clock.elapsed(),
            Situation(
                held=spread.held.generation,
                store=self._source.answer,
                peer_heard=self._holder.peer_heard,
                peers_expected=self._group.expects_peers(),
                behind=spread.behind,
                unreadable=bool(spread.alarms.unreadable),
            ),
        )

    async def wait_ready(self, timeout: dt.timedelta) -> StartState:
        """Wait until this process may serve, at most `timeout`."""
        until = self.clock.elapsed() + timeout
        while self.clock.elapsed() < until:
            if self.state() is StartState.READY:
                break
            await self.clock.sleep(_TICK)
        return self.state()

    def subscribe(self, subscriber: Subscriber) -> None:
        """Have `subscriber` told of each configuration from now on."""
        self._holder.subscribe(subscriber)

    def accept(self, configuration: Configuration) -> bool:
        """Put in force what the store has just been seen to hold.

        Call it only once the conditional write is known to have taken
        effect; return whether it is newer than the one in force.
        """
        return self._holder.accept(configuration)

    def offers_for_link_up(self) -> ConfigOffer | None:
        """Return what to tell a sidecar when its link comes up."""
        return self._holder.offer()

    def answer(
        self, request: ConfigRequest, *, packed: bool = False
    ) -> ConfigBody | None:
        """Return the body in force, if it is newer than asked for."""
        if packed:
            return self._holder.answer_peer(request)
        return self._holder.answer(request)

    async def start(self) -> None:
        """Begin to read, to watch if chosen, and to ask peers."""
        self._gate = StartGate(self.clock.elapsed())
        self._tasks = (
            asyncio.create_task(self._follow_store(), name='config-store'),
            asyncio.create_task(self._follow_peers(), name='config-peers'),
        )

    async def stop(self) -> None:
        """End the tasks; the configuration stays readable."""
        await cancel_all(self._tasks)

    def dump(self) -> ConfigurationState:
        """Return what is in force and what is wrong."""
        spread = self._holder.spread
        return ConfigurationState(
            held=spread.held,
            start=self.state(),
            watching=_watches(self._group),
            behind=spread.behind,
            alarms=spread.alarms,
        )

    async def _follow_store(self) -> None:
        await self._read_store()
        while True:
            if self._holder.current is None or _watches(self._group):
                body = await self._source.next_body()
                if body is not None:
                    self._holder.take_stored(body)
                await self.clock.sleep(self._source.pause())
            else:
                await self.clock.sleep(_REVIEW)

    async def _follow_peers(self) -> None:
        spread = self._holder.spread
        while True:
            action = spread.next_action(self.clock.elapsed())
            if isinstance(action, Ask):
                request = ConfigRequest(action.above)
                peer = EntryId(action.peer)
                if not await self._group.send_to(peer, request):
                    spread.forget_peer(action.peer)
            elif action is None:
                await self.clock.sleep(_TICK)
            else:
                await self._read_store()

    async def _read_store(self) -> None:
        body = await self._source.read()
        if body is not None:
            self._holder.take_stored(body)

    def _answer_peer(self, peer: EntryId, request: ConfigRequest) -> None:
        body = self._holder.answer_peer(request)
        if body is not None:
            self._group.post(peer, body)

    def _tell_group(self, found: Configuration) -> None:
        self._group.set_stamp(found.generation, found.digest)


def _watches(group: EntryGroupTask) -> bool:
    return is_watcher(group.own, group.zones(), _KEY)
