"""Hears of changes from another entry, or from the store itself."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING

from bergamotdoor import utils
from bergamotdoor.objects.news import StoreNews
from bergamotdoor.peers.client import PEER_MARGIN
from bergamotdoor.peers.news_messages import (
    HistoryGone,
    KindChanges,
    WatchKind,
)
from bergamotdoor.stored import Changes, Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.objects.news import Watch
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.peers.directory import Directory
    from bergamotdoor.peers.messages import PeerReply
    from bergamotdoor.peers.news_source import NewsSource
    from bergamotdoor.peers.sharing import SharingBounds, SourceChoice
    from bergamotdoor.settings.document import Address
    from bergamotdoor.types import NodeId, Revision

_log = logging.getLogger('bergamotdoor.peers')


class SharedNews:
    """Waits for changes at the source of the zone.

    Failure: the source is gone, silent, or can't tell. Symptom: this process
    would hear of changes late, or go on behind a gap. It lists the kind then,
    which can't miss a change, and goes on at the next source or at the store.

    Parameters
    ----------
    store
        Where the objects are.
    peers, directory
        The other entries.
    choice
        Which of them to ask.
    bounds
        How long to wait there.
    clock
        The time.
    """

    def __init__(
        self,
        store: ObjectClient,
        peers: PeerClient,
        directory: Directory,
        choice: SourceChoice,
        bounds: SharingBounds,
        clock: Clock,
    ) -> None:
        self._direct = StoreNews(store, clock)
        self._peers = peers
        self._directory = directory
        self._choice = choice
        self._bounds = bounds
        self._clock = clock
        #: What this process follows for others, if it is an entry.
        self.own_source: NewsSource | None = None

    async def changes(self, watch: Watch, since: Revision) -> Changes | Outcome:
        """Wait for changes since a revision; none came if it is empty."""
        now = self._clock.elapsed()
        own = self.own_source
        if (
            own is not None
            and own.follows(watch.kind)
            and not self._choice.rests(self._choice.node, now)
        ):
            return await self._ask_own(own, watch, since)
        source = self._choice.choose(self._directory.with_own, now)
        if source is None:
            return await self._direct.changes(watch, since)
        return await self._ask(source, watch, since)

    async def _ask_own(
        self, own: NewsSource, watch: Watch, since: Revision
    ) -> Changes | Outcome:
        found = await own.changes(watch, since)
        if not isinstance(found, Outcome):
            return found
        if found is not Outcome.HISTORY_GONE:
            self._leave_alone(self._choice.node, silent=False)
        return Outcome.HISTORY_GONE

    async def _ask(
        self, source: NodeId, watch: Watch, since: Revision
    ) -> Changes | Outcome:
        asked_at = self._clock.uptime()
        reply = await self._reply(
            self._directory.entries[source].address, _question(watch, since)
        )
        if isinstance(reply, KindChanges):
            return _told(reply, asked_at)
        if not isinstance(reply, HistoryGone):
            self._leave_alone(source, silent=reply is None)
        return Outcome.HISTORY_GONE

    async def _reply(
        self, address: Address, message: WatchKind
    ) -> PeerReply | None:
        """Return the source's reply; None if there is none in time.

        Failure: the source is silent, and so is the kept connection to it. A
        call that got no answer on one is sent again on a new one, for as
        long as the first. Symptom: a change is known after twice the wait,
        beyond the bound.
        """
        wait = self._bounds.answer_wait
        try:
            async with asyncio.timeout((wait + PEER_MARGIN).total_seconds()):
                return await self._peers.ask(address, message, wait)
        except TimeoutError:
            return None

    def _leave_alone(self, source: NodeId, silent: bool) -> None:
        _log.info(
            'peers: no news from %s: %s',
            source,
            'no answer' if silent else 'it has lost the store',
        )
        now = self._clock.elapsed()
        if silent:
            self._choice.unreachable(source, now)
        else:
            self._choice.ignorant(source, now)


def _question(watch: Watch, since: Revision) -> WatchKind:
    proof = watch.proof or dt.timedelta()
    return WatchKind(
        watch.kind, since, utils.to_ms(watch.gather), utils.to_ms(proof)
    )


def _told(reply: KindChanges, asked_at: dt.timedelta) -> Changes:
    proven_at = (
        None
        if reply.proven_ms is None
        else asked_at + utils.from_ms(reply.proven_ms)
    )
    return Changes(reply.changes, reply.revision, proven_at)
