"""The parts of usage reporting in one entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.duties.usage import UsageBook
from bergamotdoor.peers.duty_messages import DutyHeld, UsageTold
from bergamotdoor.reporting.counting import UsageCounter, UsageCounts
from bergamotdoor.reporting.duty_peers import DutyPeers
from bergamotdoor.reporting.receiver import Receiver
from bergamotdoor.reporting.record import DutyStore
from bergamotdoor.reporting.reporter import UsageReporter
from bergamotdoor.reporting.telling import UsageTeller
from bergamotdoor.types import FencingToken, NodeId, UsageWindow

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import Client
    from bergamotdoor.peers.access import StoreAccess
    from bergamotdoor.settings.node import NodeSettings
    from bergamotdoor.tasks import Tasks

_BOOT_BITS: Final = 64


class DutyState(msgspec.Struct, frozen=True):
    """Who reports usage, as an entry knows it."""

    holder: NodeId
    token: FencingToken
    decided_below: UsageWindow
    #: Whether it is this entry.
    own: bool
    #: Decided, and not known to be received.
    open_reports: int


class UsageDuty:
    """Counts requests here, and reports those of all entries if it must.

    Parameters
    ----------
    settings
        Which process this is.
    access
        The store and the other entries.
    client
        Reaches the receiver.
    clock
        The time.
    tasks
        Runs what tells other entries.
    """

    #: What `take` takes.
    messages = (UsageTold, DutyHeld)

    def __init__(
        self,
        settings: NodeSettings,
        access: StoreAccess,
        client: Client,
        clock: Clock,
        tasks: Tasks,
    ) -> None:
        duties = settings.duties
        assert duties is not None, 'usage is not reported here'
        #: Whether there are client accounts.
        self.wanted = False
        boot = format(access.rng.getrandbits(_BOOT_BITS), 'x')
        self.counter = UsageCounter(
            clock, duties.usage_window, settings.node, boot
        )
        self._clock = clock
        self._book = UsageBook()
        self._store = DutyStore(access.store, clock)
        peers = DutyPeers(
            settings.node, access.peers, access.directory, tasks, clock
        )
        counts = UsageCounts(self.counter, self._book)
        self._teller = UsageTeller(counts, self._store, peers, clock)
        self._reporter = UsageReporter(
            counts,
            self._store,
            Receiver(client, duties.receiver),
            peers,
            duties,
            clock,
        )

    async def run(self) -> None:
        """Count and report until cancelled."""
        await asyncio.gather(
            self._teller.run(), self._reporter.run(lambda: self.wanted)
        )

    def take(self, message: UsageTold | DutyHeld) -> None:
        """Take what another entry tells."""
        if isinstance(message, UsageTold):
            self._book.take(message.usage, self._clock.uptime())
            return
        self._reporter.learn(message.record, message.revision)
        self._teller.begin_again()

    async def close(self) -> None:
        """Tell all that was counted: no more requests come here."""
        self.counter.close()
        if self.wanted:
            await self._teller.tell()

    @property
    def state(self) -> DutyState | None:
        """Who has the duty; None if nobody is known to."""
        known = self._store.known
        if known is None:
            return None
        record = known.record
        return DutyState(
            record.holder,
            record.token,
            record.decided_below,
            self._reporter.holds,
            len(record.reports),
        )
