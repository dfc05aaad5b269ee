"""Which entries there are, and where they listen for other processes."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final, Protocol

import msgspec

from bergamotdoor.objects.reader import ObjectReader
from bergamotdoor.settings.document import Address
from bergamotdoor.stored import Conflict, Outcome, reading
from bergamotdoor.types import NodeId, ZoneId
from bergamotdoor.utils import hrw_order

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.stored import StoredObject
    from bergamotdoor.types import ModelId

ENTRY_KIND: Final = 'entries'
#: A stale list costs a tenth of a call, and entries change rarely. A new
#: entry is needed as a way round soon after its start, not at once.
_REFRESH_S: Final = (1, 3, 15)

_log = logging.getLogger('bergamotdoor.peers')


class EntryRecord(msgspec.Struct, frozen=True):
    """Where an entry listens, and in which availability zone."""

    address: Address
    zone: ZoneId = ZoneId('')
    #: The bandwidth of its VM's link, in Mbit/s; 0 is not known.
    link_mbps: float = 0


def home_order(
    model: ModelId, entries: Mapping[NodeId, EntryRecord], zone: ZoneId
) -> list[NodeId]:
    """Return the entries that may run a model's jobs, the best first.

    One entry for all steps of a trainer keeps its connections to the
    engines, 202 new ones instead of 473 on a quiet day of five engines, and
    places the items of steps that overlap knowing of both. It is one of the
    zone in which the trainer hands its steps in: their bodies and results
    would otherwise cross the zones' borders twice. Among these it is one
    with the fastest link. Failure: the home has a link of 30 Mbit/s, and a
    step's last groups are 400 kB, which it sends to the store and then to
    the reader's entry. Symptom: each takes 0.1 s, and in pages small enough
    for the link the trainer needs two or three reads, half a second apart.

    Parameters
    ----------
    model
        The trainer's model.
    entries
        All entries that are known.
    zone
        Where the job was handed in.
    """
    order = [NodeId(name) for name in hrw_order(model, entries)]
    return sorted(
        order,
        key=lambda name: (entries[name].zone != zone, -entries[name].link_mbps),
    )


class OnStatus(Protocol):
    """Takes the status of an entry's record."""

    def __call__(self, status: bytes, *, own: bool) -> None:
        """Take it; `own` says that the record is this node's."""


class Directory:
    """Keeps the addresses of the other entries.

    Parameters
    ----------
    store
        Where entries register.
    node
        This process, which is left out.
    clock
        For the pauses.
    """

    def __init__(self, store: ObjectClient, node: NodeId, clock: Clock) -> None:
        self._store = store
        self._node = node
        self._clock = clock
        self.entries: dict[NodeId, EntryRecord] = {}
        #: Of this process, if it is an entry.
        self._own: EntryRecord | None = None
        self._reader = ObjectReader(_log, 'peers')
        #: Told the status of each record that has changed.
        self.on_status: OnStatus | None = None
        self._statuses: dict[str, bytes] = {}

    @property
    def with_own(self) -> dict[NodeId, EntryRecord]:
        """All entries, this process among them if it is one."""
        own = {} if self._own is None else {self._node: self._own}
        return {**self.entries, **own}

    async def register(self, entry: EntryRecord) -> None:
        """Write where this entry listens; tried until it is known."""
        self._own = entry
        spec = msgspec.json.encode(entry)
        done = False
        while not done:
            found = await self._store.create(ENTRY_KIND, self._node, spec)
            done = not isinstance(found, Outcome)
            if isinstance(found, Conflict) and found.current is not None:
                self._take_status(found.current)
                done = await self._correct(found.current, spec)
            if not done:
                await self._clock.sleep(_pause(0))

    async def run(self) -> None:
        """Refresh until cancelled."""
        tries = 0
        while True:
            await self._clock.sleep(_pause(tries))
            tries += 1
            await self.refresh()

    async def refresh(self) -> None:
        """List the entries; those known stay if that fails."""
        listing = await self._store.listing(ENTRY_KIND, stale=True)
        if isinstance(listing, Outcome):
            return
        for entry in listing.objects:
            self._take_status(entry)
        self.entries = {
            NodeId(stored.name): record
            for stored in listing.objects
            if stored.name != self._node
            and (record := self._reader.read(stored, _record)) is not None
        }

    def _take_status(self, stored: StoredObject) -> None:
        if self._statuses.get(stored.name) == stored.status:
            return
        self._statuses[stored.name] = stored.status
        if stored.status and self.on_status is not None:
            self.on_status(stored.status, own=stored.name == self._node)

    async def _correct(self, stored: StoredObject, spec: bytes) -> bool:
        """Replace the record of an earlier process at another address."""
        written = self._reader.read(stored, _record)
        if written == msgspec.json.decode(spec, type=EntryRecord):
            return True
        _log.info('peers: %s had another address', self._node)
        outcome = await self._store.delete(ENTRY_KIND, self._node)
        if outcome is not Outcome.ABSENT:
            return False
        again = await self._store.create(ENTRY_KIND, self._node, spec)
        return not isinstance(again, (Outcome, Conflict))


def _record(stored: StoredObject) -> EntryRecord:
    with reading('entry'):
        return msgspec.json.decode(stored.spec, type=EntryRecord)


def _pause(tries: int) -> dt.timedelta:
    return dt.timedelta(seconds=_REFRESH_S[min(tries, len(_REFRESH_S) - 1)])
