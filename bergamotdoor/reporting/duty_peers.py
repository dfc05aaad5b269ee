"""The other entries, as whoever has a duty and its successors see them."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.peers.duty_messages import DutyHeld
from bergamotdoor.types import NodeId
from bergamotdoor.utils import hrw_order

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.duties.tenure import KnownRecord
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.peers.directory import Directory
    from bergamotdoor.settings.document import Address
    from bergamotdoor.tasks import Tasks

#: Entries know each other so long after their start.
_SETTLED_S: Final = 5
_SETTLED: Final = dt.timedelta(seconds=_SETTLED_S)
_ORDER_KEY: Final = 'usage'


class DutyPeers:
    """Knows who should have the duty, and tells the others who has it.

    Parameters
    ----------
    node
        This process.
    peers, directory
        The other entries.
    tasks
        Runs what tells them.
    clock
        The time.
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
        """Whether this process can know the other entries."""
        return self._clock.elapsed() - self._started_at > _SETTLED

    def successors(self, known: KnownRecord | None) -> list[NodeId]:
        """Return who would have the duty next, the first one first."""
        holder = None if known is None else known.record.holder
        order = hrw_order(_ORDER_KEY, self._directory.with_own)
        return [NodeId(name) for name in order if name != holder]

    def turn(self, known: KnownRecord | None) -> int:
        """Return how many processes would take the duty before this one."""
        order = self.successors(known)
        return order.index(self.node) if self.node in order else 0

    def address(self, node: NodeId) -> Address | None:
        """Return where another entry is; None if it is not known."""
        entry = self._directory.entries.get(node)
        return None if entry is None else entry.address

    def announce(self, known: KnownRecord) -> None:
        """Tell all entries who has the duty."""
        record = msgspec.structs.replace(known.record, reports=())
        message = DutyHeld(record, known.revision)
        for entry in self._directory.entries.values():
            self._tasks.start(self._tell(entry.address, message))

    @property
    def count(self) -> int:
        """How many other entries there are."""
        return len(self._directory.entries)

    async def _tell(self, address: Address, message: DutyHeld) -> None:
        await self.client.ask(address, message)
