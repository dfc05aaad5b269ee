"""Learn the strikes of other entries when a process starts."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.peers.messages import AskStrikes, StrikesLearned

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bergamotdoor.clock import Clock
    from bergamotdoor.peers.access import StoreAccess
    from bergamotdoor.peers.directory import EntryRecord
    from bergamotdoor.peers.strike_sharing import StrikeSharing
    from bergamotdoor.settings.document import Address
    from bergamotdoor.types import NodeId

#: How many entries are asked before work begins. Each knows all strikes, but
#: for one that has just started itself.
_MAX_ASKED_FIRST: Final = 3
#: How many entries a new entry asks at the same time.
_MAX_ASKED_AT_ONCE: Final = 8
#: How often an entry that does not reply is asked, and the pause in between.
#: Together they last longer than the usual short network interruption. An
#: entry that is unreachable for longer lists the new one.
_MAX_ROUNDS: Final = 10
_ROUND_PAUSE_S: Final = 1
_ROUND_PAUSE: Final = dt.timedelta(seconds=_ROUND_PAUSE_S)
_LISTING_PAUSE_MS: Final = 100
_LISTING_PAUSE: Final = dt.timedelta(milliseconds=_LISTING_PAUSE_MS)

_log = logging.getLogger('bergamotdoor.peers')


class StrikeLearning:
    """Learns what the other entries know, and makes this one known to them.

    Failure: a request has crashed upstreams and arrives at an entry that has
    just started. The entry knows no strikes, or only those that its
    predecessor stored. Symptom: the request crashes as many upstreams again,
    at each entry of a planned turn. So a new process lists the records of the
    entries and asks some of them before it sends anything.

    Failure: an entry joins, and the others list the entries rarely. Symptom:
    they send it no strikes for up to 15 s. So an entry whose record is new
    asks all others; who is asked knows it from then on.

    Parameters
    ----------
    sharing
        The strikes of this process.
    access
        The clients for the store and for the other entries.
    node
        Node of this process.
    entry
        Record of this process.
    clock
        Clock of the process.
    """

    def __init__(
        self,
        sharing: StrikeSharing,
        access: StoreAccess,
        node: NodeId,
        entry: EntryRecord,
        clock: Clock,
    ) -> None:
        self._sharing = sharing
        self._access = access
        self._request = AskStrikes(node, entry)
        self._clock = clock
        #: Set once the store and some entries have replied.
        self.learned = asyncio.Event()

    async def learn(self) -> None:
        """Learn the strikes from the store and from some entries."""
        began_at = self._clock.elapsed()
        await self._list_and_ask()
        self.learned.set()
        took = self._clock.elapsed() - began_at
        _log.info('peers: strikes learned after %d ms', utils.to_ms(took))

    async def join(self) -> None:
        """Register this entry; if its record is new, ask all others."""
        directory = self._access.directory
        if not await directory.register(self._request.entry):
            return
        asked: set[NodeId] = set()
        for _ in range(_MAX_ROUNDS):
            unasked = {
                node: entry.address
                for node, entry in directory.entries.items()
                if node not in asked
            }
            asked |= await self._ask_all(unasked)
            await self._clock.sleep(_ROUND_PAUSE)

    async def _list_and_ask(self) -> None:
        directory = self._access.directory
        listed = await directory.list_entries()
        while listed is None:
            await self._clock.sleep(_LISTING_PAUSE)
            listed = await directory.list_entries()
        known = list(listed.values())
        chosen = self._access.rng.sample(
            known, min(_MAX_ASKED_FIRST, len(known))
        )
        await asyncio.gather(*(self._ask(entry.address) for entry in chosen))

    async def _ask_all(self, entries: dict[NodeId, Address]) -> set[NodeId]:
        """Ask entries, a few at a time; return those that replied."""
        replied = set()
        for nodes in _in_batches(entries, _MAX_ASKED_AT_ONCE):
            replies = await asyncio.gather(
                *(self._ask(entries[node]) for node in nodes)
            )
            replied |= {
                node for node, is_reply in zip(nodes, replies) if is_reply
            }
        return replied

    async def _ask(self, address: Address) -> bool:
        """Take the strikes of an entry; return whether it replied.

        An entry of an earlier version does not know the request.
        """
        reply = await self._access.peers.ask(address, self._request)
        if not isinstance(reply, StrikesLearned):
            return False
        self._sharing.take(reply)
        return True


def _in_batches(nodes: Iterable[NodeId], size: int) -> Iterable[list[NodeId]]:
    remaining = list(nodes)
    while remaining:
        yield remaining[:size]
        remaining = remaining[size:]
