"""Tells this entry's counts to whoever reports, and to the next one."""

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

#: An entry that is killed takes with it what it counted since the last time.
_PAUSE_MS: Final = 500
_PAUSE: Final = dt.timedelta(milliseconds=_PAUSE_MS)
#: The holder takes a hundred messages a second, from however many entries.
_PAUSE_EACH_MS: Final = 10
_PAUSE_EACH: Final = dt.timedelta(milliseconds=_PAUSE_EACH_MS)


class UsageTeller:
    """Tells counts as they grow.

    Failure: an entry is killed before its window ends, or the process that
    reports is. Symptom: the report lacks the requests that only one of them
    knew. Two processes know each count half a second after it grew; a third
    one that takes the duty over is told all that is undecided.

    Parameters
    ----------
    counts
        What is told, and where what this process tells itself goes.
    store
        Who has the duty.
    peers
        The other entries.
    clock
        For the pauses.
    """

    def __init__(
        self,
        counts: UsageCounts,
        store: DutyStore,
        peers: DutyPeers,
        clock: Clock,
    ) -> None:
        self._counter = counts.own
        self._book = counts.told
        self._store = store
        self._peers = peers
        self._clock = clock
        #: What each process was told last. One that has started again since
        #: is told all that is undecided once the next window ends.
        self._taken: dict[NodeId, EntryUsage] = {}
        self._again = asyncio.Event()

    def begin_again(self) -> None:
        """Tell soon: another process has the duty."""
        self._again.set()

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            pause = max(_PAUSE, self._peers.count * _PAUSE_EACH)
            try:
                async with asyncio.timeout(pause.total_seconds()):
                    await self._again.wait()
            except TimeoutError:
                pass  # noqa: WPS420 - the usual case: nothing has changed
            self._again.clear()
            await self.tell()

    async def tell(self) -> None:
        """Tell whoever does not know it."""
        usage = self._counter.told()
        await asyncio.gather(
            *(self._tell(node, usage) for node in self._targets())
        )

    def _targets(self) -> list[NodeId]:
        known = self._store.known
        holder = [] if known is None else [known.record.holder]
        return [*holder, *self._peers.successors(known)[: 2 - len(holder)]]

    async def _tell(self, node: NodeId, usage: EntryUsage) -> None:
        if node == self._peers.node:
            self._book.take(usage, self._clock.uptime())
            return
        address = self._peers.address(node)
        if address is None or self._taken.get(node) == usage:
            return
        reply = await self._peers.client.ask(address, UsageTold(usage))
        if isinstance(reply, Done):
            self._taken[node] = usage
