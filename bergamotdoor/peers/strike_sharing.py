"""Share with all entries which requests upstreams were running when they ended.

Such a pair of a request and an upstream is called a strike.
"""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from collections import deque
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.fleet.quarantine import Quarantine, Strike, newest_strikes
from bergamotdoor.observe.events import Counted
from bergamotdoor.peers.directory import ENTRY_KIND
from bergamotdoor.peers.messages import AskStrikes, Done, StrikesLearned
from bergamotdoor.stored import Outcome, UnreadableError, reading

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bergamotdoor.clock import Clock
    from bergamotdoor.observe.metrics import Metrics
    from bergamotdoor.peers.access import StoreAccess
    from bergamotdoor.peers.directory import EntryRecord
    from bergamotdoor.settings.document import Address
    from bergamotdoor.tasks import Tasks
    from bergamotdoor.types import NodeId

#: How often strikes are sent to an entry that does not answer, and the pause
#: between the attempts. Together they last longer than the usual short network
#: interruption. An entry that is unreachable for longer reads the strikes from
#: the store.
_MAX_SEND_ATTEMPTS: Final = 10
_RETRY_PAUSE: Final = dt.timedelta(seconds=1)
#: Strikes are collected for so long before they are sent, so that each entry
#: gets one message and not one for each request that an upstream was running.
_BATCH_DELAY_MS: Final = 50
_BATCH_DELAY: Final = dt.timedelta(milliseconds=_BATCH_DELAY_MS)
#: How many strikes an entry keeps in the store, some 100 bytes each.
_MAX_STORED_STRIKES: Final = 128
#: How many strikes a new process gets from each entry that it asks, some 50 KB.
_MAX_SENT_STRIKES: Final = 512

_log = logging.getLogger('bergamotdoor.peers')


class _StoredStrikes(msgspec.Struct, frozen=True):
    """The strikes in the status of an entry's record."""

    strikes: tuple[Strike, ...] = ()


class StrikeSharing:
    """Sends strikes to the other entries and keeps them in the store.

    Failure: a request that makes upstreams crash arrives again at an entry
    that has no strikes of it, or after all entries have lost power. Symptom:
    it ends as many upstreams there as it ended before. Strikes reach the other
    entries within milliseconds. They are also kept in the record that each
    entry has in the store anyway. All entries list these records, so a new
    process learns the strikes from them.

    Parameters
    ----------
    quarantine
        The strikes that this process knows.
    access
        The clients for the store and for the other entries, and the directory
        of these, which gives the statuses of their records.
    node
        Node of this process.
    clock
        Clock for the pauses.
    metrics
        Counters of the strikes from elsewhere.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        access: StoreAccess,
        node: NodeId,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._quarantine = quarantine
        self._store = access.store
        self._peers = access.peers
        self._directory = access.directory
        self._node = node
        self._clock = clock
        self._metrics = metrics
        self._unsent: list[Strike] = []
        #: The strikes that this process has observed, the last ones.
        self._observed: deque[Strike] = deque(maxlen=_MAX_SENT_STRIKES)
        self._send_needed = asyncio.Event()
        self._store_needed = asyncio.Event()
        self._directory.on_status = self.take_kept

    def start(self, tasks: Tasks) -> None:
        """Start the tasks that send and store strikes.

        Failure: upstreams crash before this process has listed the other
        entries, or before it knows one that has joined. Symptom: that entry
        learns of the strikes only when it next lists the records. Entries that
        were not known get what this process has observed so far.
        """
        self._directory.on_entries = lambda entries: self._send_observed(
            entries, tasks
        )
        tasks.start(self._store_strikes())
        tasks.start(self._send_to_all(tasks))

    def add(self, strike: Strike) -> None:
        """Record a strike that this process has observed."""
        if self._quarantine.add(strike, self._clock.elapsed()):
            self._unsent.append(strike)
            self._observed.append(strike)
            self._send_needed.set()
            self._store_needed.set()

    async def flush(self) -> None:
        """Send and store at once what would be sent and stored soon.

        Failure: an upstream ends under the last call of a process that stops.
        Symptom: the process has ended before the strike is sent, and the call
        ends another upstream when it is repeated elsewhere.
        """
        unsent = StrikesLearned(tuple(self._unsent))
        if unsent.strikes:
            await asyncio.gather(
                self._put_status(),
                *(
                    self._peers.ask(entry.address, unsent)
                    for entry in self._directory.entries.values()
                ),
            )

    def answer(self, message: AskStrikes) -> StrikesLearned:
        """Return the strikes that this process knows to an entry that asks.

        From now on it also gets the new ones.
        """
        self._directory.add(message.node, message.entry)
        return StrikesLearned(
            newest_strikes(self._quarantine, _MAX_SENT_STRIKES)
        )

    def take(self, message: StrikesLearned) -> None:
        """Record the strikes that another entry has sent."""
        self._take_all(message.strikes, Counted.STRIKE_HEARD)

    def take_kept(self, status: bytes, *, own: bool) -> None:
        """Record the strikes that an entry keeps in its record.

        Parameters
        ----------
        status
            The encoded status of the record.
        own
            Whether the record belongs to this node; an earlier process has
            written it then. Its strikes are written again together with the
            new ones.
        """
        try:
            with reading('strikes'):
                stored = msgspec.json.decode(status, type=_StoredStrikes | None)
        except UnreadableError as error:
            _log.warning('peers: status of a record is skipped: %s', error)
            return
        if stored is not None:
            self._take_all(stored.strikes, Counted.STRIKE_READ)
        if own and stored is not None:
            self._store_needed.set()

    def _take_all(self, strikes: tuple[Strike, ...], source: Counted) -> None:
        now = self._clock.elapsed()
        added = sum(self._quarantine.add(strike, now) for strike in strikes)
        if added:
            self._metrics.count(source, amount=added)
            _log.info('peers: %s: %d of %d', source.value, added, len(strikes))

    async def _send_to_all(self, tasks: Tasks) -> None:
        while True:
            await self._send_needed.wait()
            # All requests that ran at an upstream fail within milliseconds.
            await self._clock.sleep(_BATCH_DELAY)
            self._send_needed.clear()
            unsent = tuple(self._unsent)
            self._unsent.clear()
            self._send(unsent, self._directory.entries, tasks)

    def _send_observed(
        self, entries: Mapping[NodeId, EntryRecord], tasks: Tasks
    ) -> None:
        if self._observed:
            self._send(tuple(self._observed), entries, tasks)

    def _send(
        self,
        strikes: tuple[Strike, ...],
        entries: Mapping[NodeId, EntryRecord],
        tasks: Tasks,
    ) -> None:
        for entry in entries.values():
            tasks.start(self._send_to(entry.address, StrikesLearned(strikes)))

    async def _send_to(self, address: Address, message: StrikesLearned) -> None:
        for _ in range(_MAX_SEND_ATTEMPTS):
            if isinstance(await self._peers.ask(address, message), Done):
                return
            await self._clock.sleep(_RETRY_PAUSE)

    async def _store_strikes(self) -> None:
        while True:
            await self._store_needed.wait()
            self._store_needed.clear()
            if not await self._put_status():
                # The entry's record may not have been created yet.
                self._store_needed.set()
                await self._clock.sleep(_RETRY_PAUSE)

    async def _put_status(self) -> bool:
        """Store the newest strikes; return whether that succeeded."""
        stored = _StoredStrikes(
            newest_strikes(self._quarantine, _MAX_STORED_STRIKES)
        )
        written = await self._store.put_status(
            ENTRY_KIND, self._node, msgspec.json.encode(stored)
        )
        return not isinstance(written, Outcome)
