"""Send this entry's counts to the holder of the duty and to its successor."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.peers.duty_messages import UsageTold
from bergamotdoor.peers.messages import Done

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.duties.usage import EntryUsage
    from bergamotdoor.reporting.counting import UsageCounts
    from bergamotdoor.reporting.duty_peers import DutyPeers
    from bergamotdoor.reporting.record import DutyStore
    from bergamotdoor.types import NodeId

#: Pause between two sends. If an entry is killed, the requests that it counted
#: since the last send are lost.
_SEND_PAUSE_MS: Final = 500
_SEND_PAUSE: Final = dt.timedelta(milliseconds=_SEND_PAUSE_MS)
#: The pause is at least this long for each known entry, so that the holder
#: receives at most a hundred messages a second, however many entries there are.
_SEND_PAUSE_PER_ENTRY_MS: Final = 10
_SEND_PAUSE_PER_ENTRY: Final = dt.timedelta(
    milliseconds=_SEND_PAUSE_PER_ENTRY_MS
)


class UsageTeller:
    """Sends counts to the duty's holder and its successor as they grow.

    Failure: an entry is killed before a window ends, or the process that
    reports usage is killed. Symptom: the report lacks the requests that only
    the killed process knew. Two processes know each count half a second after
    it grew. A third process that takes the duty over receives the counts of
    all undecided windows.

    Parameters
    ----------
    counts
        Counts of this entry, and the book for those received. This process
        enters its own counts there if it is a receiver itself.
    store
        Store of the duty's record, which names the holder.
    peers
        Succession and addresses of the other entries.
    clock
        Clock that timestamps the counts.
    """

    def __init__(
        self,
        counts: UsageCounts,
        store: DutyStore,
        peers: DutyPeers,
        clock: Clock,
    ) -> None:
        self._counter = counts.own
        self._collected_usage = counts.told
        self._store = store
        self._peers = peers
        self._clock = clock
        #: The usage that each entry accepted last. An entry that restarts
        #: receives all undecided counts once the next window ends.
        self._last_accepted: dict[NodeId, EntryUsage] = {}
        self._send_now = asyncio.Event()

    def begin_again(self) -> None:
        """Send the counts without a pause, since the holder may be new."""
        self._send_now.set()

    async def run(self) -> None:
        """Send the counts periodically until cancelled."""
        while True:
            pause = max(_SEND_PAUSE, self._peers.count * _SEND_PAUSE_PER_ENTRY)
            try:
                async with asyncio.timeout(pause.total_seconds()):
                    await self._send_now.wait()
            except TimeoutError:
                pass  # noqa: WPS420 - usual case: the duty's record is the same
            self._send_now.clear()
            await self.tell()

    async def tell(self) -> None:
        """Send the current counts to each target that does not have them."""
        usage = self._counter.told()
        await asyncio.gather(
            *(self._send_to(node, usage) for node in self._targets())
        )

    def _targets(self) -> list[NodeId]:
        """Return the holder and its successor; two successors without one."""
        known = self._store.known
        holder = [] if known is None else [known.record.holder]
        return [*holder, *self._peers.successors(known)[: 2 - len(holder)]]

    async def _send_to(self, node: NodeId, usage: EntryUsage) -> None:
        if node == self._peers.node:
            self._collected_usage.update(usage, self._clock.uptime())
            return
        address = self._peers.address(node)
        if address is None or self._last_accepted.get(node) == usage:
            return
        reply = await self._peers.client.ask(address, UsageTold(usage))
        if isinstance(reply, Done):
            self._last_accepted[node] = usage
