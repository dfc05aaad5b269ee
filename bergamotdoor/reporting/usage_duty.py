"""Usage reporting in one entry: counting, sending counts, and reports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.duties.usage import CollectedUsage
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
    """The holder of the reporting duty and its progress, as an entry knows.

    It is part of the state that an entry shows to operators.
    """

    holder: NodeId
    token: FencingToken
    decided_below: UsageWindow
    #: Whether this entry is the holder.
    own: bool
    #: Number of decided reports that the receiver is not known to have.
    open_reports: int


class UsageDuty:
    """Counts this entry's requests, and reports all entries' as the holder.

    Parameters
    ----------
    settings
        Settings of this process; they must have duties.
    access
        Clients of the store and of the other entries.
    client
        HTTP client for requests to the receiver.
    clock
        Clock of this process.
    tasks
        Runs the tasks that send announcements to other entries.
    """

    #: Types of the peer messages that a usage duty handles.
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
        #: Whether usage is reported: whether there are client accounts.
        self.wanted = False
        boot = format(access.rng.getrandbits(_BOOT_BITS), 'x')
        self.counter = UsageCounter(
            clock, duties.usage_window, settings.node, boot
        )
        self._clock = clock
        self._collected_usage = CollectedUsage()
        self._store = DutyStore(access.store, clock)
        peers = DutyPeers(
            settings.node, access.peers, access.directory, tasks, clock
        )
        counts = UsageCounts(self.counter, self._collected_usage)
        self._usage_sender = UsageTeller(counts, self._store, peers, clock)
        self._reporter = UsageReporter(
            counts,
            self._store,
            Receiver(client, duties.receiver),
            peers,
            duties,
            clock,
        )

    async def run(self) -> None:
        """Send counts and reports until cancelled."""
        await asyncio.gather(
            self._usage_sender.run(), self._reporter.run(lambda: self.wanted)
        )

    def take(self, message: UsageTold | DutyHeld) -> None:
        """Handle a message of another entry."""
        if isinstance(message, UsageTold):
            self._collected_usage.update(message.usage, self._clock.uptime())
            return
        self._reporter.learn(message.record, message.revision)
        self._usage_sender.begin_again()

    async def close(self) -> None:
        """Stop counting, and send the final counts of this entry."""
        self.counter.close()
        if self.wanted:
            await self._usage_sender.tell()

    @property
    def state(self) -> DutyState | None:
        """State of the duty; ``None`` if no record of it is known."""
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
