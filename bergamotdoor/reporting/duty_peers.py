"""Succession of the entries in a duty, and its announcement to them."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.peers.duty_messages import DutyHeld
from bergamotdoor.types import NodeId
from bergamotdoor.utils import hrw_order

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.duties.lease import KnownRecord
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.peers.directory import Directory
    from bergamotdoor.settings.document import Address
    from bergamotdoor.tasks import Tasks

#: Entries know each other's addresses so long after their start.
_DISCOVERY_S: Final = 5
_DISCOVERY: Final = dt.timedelta(seconds=_DISCOVERY_S)
_SUCCESSION_KEY: Final = 'usage'


class DutyPeers:
    """Orders the entries as successors, and announces the holder to them.

    Parameters
    ----------
    node
        Node of this process.
    peers
        Client for requests to other entries.
    directory
        Addresses of the other entries.
    tasks
        Runs the tasks that send announcements.
    clock
        Clock of this process.
    """

    def __init__(
        self,
        node: NodeId,
        peers: PeerClient,
        directory: Directory,
        tasks: Tasks,
        clock: Clock,
    ) -> None:
        self.node = node
        self.client = peers
        self._directory = directory
        self._tasks = tasks
        self._clock = clock
        self._started_at = clock.elapsed()

    @property
    def settled(self) -> bool:
        """Whether this process has run long enough to know the others."""
        return self._clock.elapsed() - self._started_at > _DISCOVERY

    def successors(self, known: KnownRecord | None) -> list[NodeId]:
        """Return the entries that would take the duty over, in order."""
        holder = None if known is None else known.record.holder
        order = hrw_order(_SUCCESSION_KEY, self._directory.with_own)
        return [NodeId(name) for name in order if name != holder]

    def turn(self, known: KnownRecord | None) -> int:
        """Return how many entries would take the duty over before this one."""
        order = self.successors(known)
        return order.index(self.node) if self.node in order else 0

    def address(self, node: NodeId) -> Address | None:
        """Return the address of another entry; ``None`` if unknown."""
        entry = self._directory.entries.get(node)
        return None if entry is None else entry.address

    def announce(self, known: KnownRecord) -> None:
        """Send the duty's record, without its reports, to all entries."""
        record = msgspec.structs.replace(known.record, reports=())
        message = DutyHeld(record, known.revision)
        for entry in self._directory.entries.values():
            self._tasks.start(self._send_to(entry.address, message))

    @property
    def count(self) -> int:
        """The number of other entries that are known."""
        return len(self._directory.entries)

    async def _send_to(self, address: Address, message: DutyHeld) -> None:
        await self.client.ask(address, message)
