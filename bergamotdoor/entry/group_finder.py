"""Finds entries through the store, rarely, and keeps its names tidy."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.entry.group_registry import EntryRegistry
from bergamotdoor.membership.watchers import is_watcher
from bergamotdoor.wire.messages import MemberState

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.entry.group_registry import EntryRecord
    from bergamotdoor.membership.chance import Chance
    from bergamotdoor.membership.swim import Swim
    from bergamotdoor.store.protocols import ObjectStore
    from bergamotdoor.types import EntryId

_LOG: Final = logging.getLogger('bergamotdoor.group')
_KEY: Final = 'entry-names'
#: Between two looks of an entry that knows of no live peer.
_ALONE_INTERVAL: Final = dt.timedelta(seconds=5)
#: Between two looks of the few that look for all.
_WATCHER_INTERVAL: Final = dt.timedelta(minutes=5)
#: Between two looks of the rest, at their own object alone.
_OWN_INTERVAL: Final = dt.timedelta(hours=1)
_RETRY_INTERVAL: Final = dt.timedelta(seconds=10)
#: Objects read in one look; gossip brings the other members.
_MAX_READS: Final = 3
#: An entry dead for this long won't come back by itself under that name
#: without writing its object anew.
_REMOVE_AFTER: Final = dt.timedelta(hours=2)


class EntryFinder:
    """Registers this entry and looks for others.

    The store counts every call, so few entries look, and seldom: its load
    must not grow with the fleet. An entry that is alone looks often.

    Attributes
    ----------
    registered
        Whether the store holds this entry's object, as far as is known.
    """

    def __init__(
        self,
        store: ObjectStore,
        swim: Swim,
        clock: Clock,
        chance: Chance,
    ) -> None:
        self.registered = False
        self._registry = EntryRegistry(store, swim.gossip.own.entry)
        self._swim = swim
        self._clock = clock
        self._chance = chance
        self._others = False
        self._learned: set[EntryId] = set()

    def knows_others(self) -> bool:
        """Return whether settings or store name any other entry."""
        return self._others or bool(self._swim.contacts)

    async def run(self, record: EntryRecord) -> None:
        """Register with `record`, then look from time to time."""
        while True:
            await self._look(record)
            await self._clock.sleep(self._pause())

    async def unregister(self) -> None:
        """Remove this entry's object."""
        await self._registry.unregister()

    def _pause(self) -> dt.timedelta:
        if not self._swim.gossip.table.live():
            return _ALONE_INTERVAL
        if not self.registered:
            return _RETRY_INTERVAL
        return _WATCHER_INTERVAL if self._watches() else _OWN_INTERVAL

    def _watches(self) -> bool:
        return is_watcher(self._swim.gossip.own.entry, self._swim.zones(), _KEY)

    async def _look(self, record: EntryRecord) -> None:
        names = await self._registry.names()
        if names is None:
            return
        own = self._swim.gossip.own.entry
        # The object may be gone: another entry held this one dead for
        # long, or an operator cleared the store.
        if not self.registered or own not in names:
            self.registered = await self._registry.register(record)
        others = [name for name in names if name != own]
        self._others = bool(others)
        # A name that is gone would be tried for ever.
        for entry in self._learned.difference(others):
            self._swim.contacts.forget(entry)
        self._learned.intersection_update(others)
        await self._learn(others)
        await self._tidy(others)

    async def _learn(self, names: list[EntryId]) -> None:
        unknown = [name for name in names if not self._knows(name)]
        count = min(_MAX_READS, len(unknown))
        for name in self._chance.sample(unknown, count):
            found = await self._registry.read(name)
            if found is not None:
                self._swim.contacts.learn(name, found.address)
                self._learned.add(name)

    def _knows(self, entry: EntryId) -> bool:
        known = self._swim.gossip.table.get(entry)
        return known is not None and known.is_live()

    async def _tidy(self, names: list[EntryId]) -> None:
        now = self._clock.elapsed()
        for record in self._swim.members():
            entry = record.belief.entry
            gone = record.belief.state is MemberState.DEAD
            if gone and entry in names and now - record.since > _REMOVE_AFTER:
                _LOG.info('group: %s is long dead, forgotten', entry)
                await self._registry.remove(entry)
                self._swim.contacts.forget(entry)
