"""Tells all entries under which requests upstreams ended."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.fleet.quarantine import Quarantine, Strike, newest
from bergamotdoor.peers.directory import ENTRY_KIND
from bergamotdoor.peers.messages import Done, StrikesLearned
from bergamotdoor.stored import Outcome, UnreadableError, reading

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.peers.directory import Directory
    from bergamotdoor.settings.document import Address
    from bergamotdoor.tasks import Tasks
    from bergamotdoor.types import NodeId

#: How often an entry that does not answer is told, and the pause between:
#: for longer than entries are cut off for a moment. One that is away for
#: longer finds them in the store.
_TELL_ATTEMPTS: Final = 10
_PAUSE: Final = dt.timedelta(seconds=1)
#: Strikes are gathered for so long before the other entries are told: one
#: message to each, not one for each request that ran at an upstream.
_GATHER_MS: Final = 50
_GATHER: Final = dt.timedelta(milliseconds=_GATHER_MS)
#: Strikes that are kept in the store, some 100 bytes each.
_MOST_KEPT: Final = 128

_log = logging.getLogger('bergamotdoor.peers')


class _Kept(msgspec.Struct, frozen=True):
    """What an entry writes to the status of its own record."""

    strikes: tuple[Strike, ...] = ()


class StrikeSharing:
    """Passes strikes on to the other entries, and keeps them.

    Failure: a request comes again at an entry that has not seen what it
    did, or after all entries have lost power. Symptom: it ends as many
    upstreams there as it ended before. Entries are told within
    milliseconds; the record that each entry has in the store anyway, and
    that all others list, holds what a new process has to know.

    Parameters
    ----------
    quarantine
        What this process knows.
    store
        Where entries have their records.
    peers, directory
        The other entries.
    node
        This process.
    clock
        For the pauses.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        store: ObjectClient,
        peers: PeerClient,
        directory: Directory,
        node: NodeId,
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._store = store
        self._peers = peers
        self._directory = directory
        self._node = node
        self._clock = clock
        self._untold: list[Strike] = []
        self._to_tell = asyncio.Event()
        self._to_keep = asyncio.Event()
        directory.on_status = self.take_kept

    def start(self, tasks: Tasks) -> None:
        """Tell and keep from now on."""
        tasks.start(self._keep())
        tasks.start(self._tell_all(tasks))

    def add(self, strike: Strike) -> None:
        """Take a strike that this process has seen."""
        if self._quarantine.add(strike, self._clock.elapsed()):
            self._untold.append(strike)
            self._to_tell.set()
            self._to_keep.set()

    def take(self, message: StrikesLearned) -> None:
        """Take what another entry has seen."""
        now = self._clock.elapsed()
        for strike in message.strikes:
            self._quarantine.add(strike, now)

    def take_kept(self, status: bytes, *, own: bool) -> None:
        """Take what an entry keeps in its record.

        Parameters
        ----------
        status
            Of the record.
        own
            Whether it is this node's record, of an earlier process. What
            it keeps is written again with what is new.
        """
        try:
            with reading('strikes'):
                kept = msgspec.json.decode(status, type=_Kept | None)
        except UnreadableError as error:
            _log.warning('peers: a record is left out: %s', error)
            return
        if kept is not None:
            self.take(StrikesLearned(kept.strikes))
        if own and kept is not None:
            self._to_keep.set()

    async def _tell_all(self, tasks: Tasks) -> None:
        while True:
            await self._to_tell.wait()
            # All that ran at an upstream breaks within milliseconds.
            await self._clock.sleep(_GATHER)
            self._to_tell.clear()
            message = StrikesLearned(tuple(self._untold))
            self._untold.clear()
            for entry in self._directory.entries.values():
                tasks.start(self._tell(entry.address, message))

    async def _tell(self, address: Address, message: StrikesLearned) -> None:
        for _ in range(_TELL_ATTEMPTS):
            if isinstance(await self._peers.ask(address, message), Done):
                return
            await self._clock.sleep(_PAUSE)

    async def _keep(self) -> None:
        while True:
            await self._to_keep.wait()
            self._to_keep.clear()
            kept = _Kept(newest(self._quarantine, _MOST_KEPT))
            found = await self._store.put_status(
                ENTRY_KIND, self._node, msgspec.json.encode(kept)
            )
            if isinstance(found, Outcome):
                # Also where the record is not written yet.
                self._to_keep.set()
                await self._clock.sleep(_PAUSE)
