"""Directory of the entry processes and their addresses."""

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
#: Pauses before the first, the second, and each further refresh. Entries
#: change rarely, and a listing that may be stale costs a tenth of a call. A new
#: entry is needed as a relay to the store soon after its start, but not
#: immediately.
_REFRESH_PAUSES_S: Final = (1, 3, 15)

_log = logging.getLogger('bergamotdoor.peers')


class EntryRecord(msgspec.Struct, frozen=True):
    """The address and availability zone of an entry."""

    address: Address
    zone: ZoneId = ZoneId('')
    #: Bandwidth of the VM's network link in Mbit/s; 0 if it is not known.
    link_mbps: float = 0


def home_order(
    model: ModelId, entries: Mapping[NodeId, EntryRecord], zone: ZoneId
) -> list[NodeId]:
    """Return the entries that may run a model's jobs, the preferred one first.

    All steps of a trainer are run by the same entry. It reuses its
    connections to the engines (202 new connections instead of 473 on a quiet
    day with five engines), and knows the items of all overlapping steps when
    it assigns items to engines. Entries of the availability zone in which the
    trainer submits its steps are preferred, since the bodies and results of
    the steps would otherwise cross zone borders twice. Among these, entries
    with the fastest link are preferred.

    Failure: the preferred entry has a link of 30 Mbit/s, and the last groups
    of a step are 400 kB, which the entry sends to the store and then to the
    reader's entry. Symptom: each transfer takes 0.1 s, and with pages that are
    small enough for the link the trainer needs two or three reads, half a
    second apart.

    Parameters
    ----------
    model
        Model of the trainer.
    entries
        All known entries by node.
    zone
        Availability zone in which the job was submitted.
    """
    order = [NodeId(name) for name in hrw_order(model, entries)]
    return sorted(
        order,
        key=lambda name: (entries[name].zone != zone, -entries[name].link_mbps),
    )


class OnStatus(Protocol):
    """Callback for changes of the status of entry records."""

    def __call__(self, status: bytes, *, own: bool) -> None:
        """Handle a changed status.

        Parameters
        ----------
        status
            The encoded status of the record.
        own
            Whether the record belongs to this node.
        """


class OnEntries(Protocol):
    """Callback for entries that this process did not know."""

    def __call__(self, entries: Mapping[NodeId, EntryRecord]) -> None:
        """Handle entries that are new or have a new record."""


class Directory:
    """Cached list of the entries that are registered in the store.

    Parameters
    ----------
    store
        Client of the store in which entries register.
    node
        Node of this process, which is not part of ``entries``.
    clock
        Clock for the pauses between refreshes and retries.
    """

    def __init__(self, store: ObjectClient, node: NodeId, clock: Clock) -> None:
        self._store = store
        self._node = node
        self._clock = clock
        self.entries: dict[NodeId, EntryRecord] = {}
        #: Record of this process; ``None`` if it is not a registered entry.
        self._own_record: EntryRecord | None = None
        #: Entries that made themselves known since the last listing.
        self._announced: dict[NodeId, EntryRecord] = {}
        self._is_listed = False
        self._reader = ObjectReader(_log, 'peers')
        #: Called with each status of a record that has changed.
        self.on_status: OnStatus | None = None
        self._last_statuses: dict[str, bytes] = {}
        #: Called with entries that were not known before.
        self.on_entries: OnEntries | None = None

    @property
    def with_own(self) -> dict[NodeId, EntryRecord]:
        """All known entries, including this process if it is an entry."""
        own = {} if self._own_record is None else {self._node: self._own_record}
        return {**self.entries, **own}

    async def register(self, entry: EntryRecord) -> bool:
        """Write this entry's record to the store; retry until that is done.

        Returns
        -------
        bool
            Whether the record is new, so that other entries may not know it.
        """
        self._own_record = entry
        is_new = True
        spec = msgspec.json.encode(entry)
        is_registered = False
        while not is_registered:
            created = await self._store.create(ENTRY_KIND, self._node, spec)
            is_registered = not isinstance(created, Outcome)
            if isinstance(created, Conflict) and created.current is not None:
                self._notify_status(created.current)
                is_new = not self._is_current(created.current, entry)
                is_registered = not is_new or await self._replace_record(spec)
            if not is_registered:
                await self._clock.sleep(_refresh_pause(0))
        return is_new

    def add(self, node: NodeId, entry: EntryRecord) -> None:
        """Add an entry that has made itself known.

        It is kept until the second listing from now on: the next one may be
        older than its record. Before the first listing, the cached list stays
        empty: entries that start together would otherwise see different parts
        of it and choose different sources of news.
        """
        if node == self._node:
            return
        self._announced[node] = entry
        if self._is_listed:
            self._use_entries({**self.entries, node: entry})

    async def run(self) -> None:
        """Refresh the list of entries periodically until cancelled.

        Failure: a process starts while the store is away, and its first
        listings fail. Symptom: for 15 s it knows no other entry. Only listings
        that succeed lengthen the pause.
        """
        refreshes = 0
        while True:
            await self._clock.sleep(_refresh_pause(refreshes))
            refreshes += await self._refresh()

    async def list_entries(self) -> dict[NodeId, EntryRecord] | None:
        """List the other entries, and leave the cached list as it is.

        Returns
        -------
        dict of NodeId to EntryRecord, or None
            ``None`` if the listing failed.
        """
        listing = await self._store.listing(ENTRY_KIND, stale=True)
        if isinstance(listing, Outcome):
            return None
        for entry in listing.objects:
            self._notify_status(entry)
        return {
            NodeId(stored.name): record
            for stored in listing.objects
            if stored.name != self._node
            and (record := self._reader.read(stored, _parse_record)) is not None
        }

    async def _refresh(self) -> bool:
        """Replace the cached list; return whether the listing succeeded."""
        listed = await self.list_entries()
        if listed is None:
            return False
        self._use_entries({**listed, **self._announced})
        self._announced.clear()
        self._is_listed = True
        return True

    def _use_entries(self, entries: dict[NodeId, EntryRecord]) -> None:
        known = self.entries
        self.entries = entries
        new = {
            node: entry
            for node, entry in entries.items()
            if known.get(node) != entry
        }
        if new and self.on_entries is not None:
            self.on_entries(new)

    def _notify_status(self, stored: StoredObject) -> None:
        """Call `on_status` if the status of a record has changed."""
        if self._last_statuses.get(stored.name) == stored.status:
            return
        self._last_statuses[stored.name] = stored.status
        if stored.status and self.on_status is not None:
            self.on_status(stored.status, own=stored.name == self._node)

    def _is_current(self, stored: StoredObject, entry: EntryRecord) -> bool:
        return self._reader.read(stored, _parse_record) == entry

    async def _replace_record(self, spec: bytes) -> bool:
        """Replace the record of an earlier process.

        Returns
        -------
        bool
            Whether the store now holds `spec` as this entry's record.
        """
        _log.info('peers: replacing the earlier record of %s', self._node)
        outcome = await self._store.delete(ENTRY_KIND, self._node)
        if outcome is not Outcome.ABSENT:
            return False
        created = await self._store.create(ENTRY_KIND, self._node, spec)
        return not isinstance(created, (Outcome, Conflict))


def _parse_record(stored: StoredObject) -> EntryRecord:
    with reading('entry'):
        return msgspec.json.decode(stored.spec, type=EntryRecord)


def _refresh_pause(refreshes: int) -> dt.timedelta:
    """Return the pause after a number of refreshes since the start."""
    return dt.timedelta(
        seconds=_REFRESH_PAUSES_S[min(refreshes, len(_REFRESH_PAUSES_S) - 1)]
    )
