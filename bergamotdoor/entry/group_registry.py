"""The entries' names in the platform's store: hints where to begin."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.entry.group_links import format_address
from bergamotdoor.store.protocols import (
    StoredObject,
    StoreFailure,
    StoreProblem,
)
from bergamotdoor.types import (
    ABSENT,
    EntryId,
    Incarnation,
    ObjectVersion,
    ZoneId,
)
from bergamotdoor.wire.messages import MemberState, MemberUpdate

if TYPE_CHECKING:
    from bergamotdoor.settings.process import EntrySettings
    from bergamotdoor.store.protocols import ObjectStore
    from bergamotdoor.wire.link import Endpoint

ENTRY_KIND: Final = 'entry'


class EntryRecord(msgspec.Struct, frozen=True):
    """The body of the object ``entry/{entry}``."""

    address: str
    zone: ZoneId
    incarnation: Incarnation


class EntryRegistry:
    """Writes this entry's object and reads those of others.

    Nothing depends on the objects being right: whoever is dialled proves
    who it is. So a missing or outdated one only delays the finding.
    """

    def __init__(self, store: ObjectStore, own: EntryId) -> None:
        self._store = store
        self._own = own

    async def register(self, record: EntryRecord) -> bool:
        """Write this entry's object; return whether the store holds it."""
        expected = await self._version()
        if expected is None:
            return False
        written = await self._store.write(
            ENTRY_KIND, self._own, msgspec.json.encode(record), expected
        )
        return isinstance(written, StoredObject)

    async def unregister(self) -> None:
        """Delete this entry's object, if the store can be reached."""
        expected = await self._version()
        if expected:
            await self._store.delete(ENTRY_KIND, self._own, expected)

    async def remove(self, entry: EntryId) -> None:
        """Delete the object of an entry that has been dead for long."""
        stored = await self._store.read(ENTRY_KIND, entry)
        if isinstance(stored, StoredObject):
            await self._store.delete(ENTRY_KIND, entry, stored.version)

    async def names(self) -> tuple[EntryId, ...] | None:
        """Return the registered entries; None if the store is down."""
        names = await self._store.names(ENTRY_KIND)
        if isinstance(names, StoreFailure):
            return None
        return tuple(EntryId(name) for name in names)

    async def read(self, entry: EntryId) -> EntryRecord | None:
        """Return an entry's record; None if it can't be had or read."""
        stored = await self._store.read(ENTRY_KIND, entry)
        if not isinstance(stored, StoredObject):
            return None
        try:
            return msgspec.json.decode(stored.body, type=EntryRecord)
        except msgspec.DecodeError:
            return None

    async def _version(self) -> ObjectVersion | None:
        stored = await self._store.read(ENTRY_KIND, self._own)
        if isinstance(stored, StoredObject):
            return stored.version
        missing = stored.problem is StoreProblem.NOT_FOUND
        return ABSENT if missing else None


def own_record(settings: EntrySettings, endpoint: Endpoint) -> MemberUpdate:
    """Return the record with which an entry joins.

    The counter is the wall time in milliseconds: the process keeps
    nothing on disk, yet has to beat what is believed of its last life.
    """
    started = endpoint.clock.now() - dt.datetime.fromtimestamp(0, dt.UTC)
    return MemberUpdate(
        settings.id,
        format_address(settings.peer_listen),
        settings.zone,
        utils.to_ms(started),
        MemberState.ALIVE,
    )
