"""Wait for changes at another entry, or at the store itself."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING

from bergamotdoor import utils
from bergamotdoor.objects.news import StoreNews
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
    """Waits for changes at the zone's source, or at the store without one.

    The source is the entry of an availability zone that watches the store for
    the other processes of the zone.

    Failure: the source is gone, does not answer, or has lost the store.
    Symptom: this process learns of changes late, or misses some of them.
    Therefore it lists the kind, which can't miss a change, and then waits at
    the next source or at the store.

    Parameters
    ----------
    store
        Client of the store.
    peers
        Client for requests to other entries.
    directory
        Addresses of the other entries.
    choice
        Chooses the source.
    bounds
        Time limit for the reply of a source.
    clock
        Clock of this process.
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
        #: Answers the watch requests of other processes; ``None`` if this
        #: process is not an entry.
        self.own_source: NewsSource | None = None

    async def changes(self, watch: Watch, since: Revision) -> Changes | Outcome:
        """Wait for changes since a revision.

        Parameters
        ----------
        watch
            The kind, and how closely it is followed.
        since
            Revision that this process knows.

        Returns
        -------
        Changes or Outcome
            Empty changes if there were none during the wait, ``HISTORY_GONE``
            if the kind has to be listed, and any other outcome if the store
            can't be reached.
        """
        now = self._clock.elapsed()
        own_source = self.own_source
        if (
            own_source is not None
            and own_source.follows(watch.kind)
            and not self._choice.rests(self._choice.node, now)
        ):
            return await self._changes_from_own_source(own_source, watch, since)
        source = self._choice.choose(self._directory.with_own, now)
        if source is None:
            return await self._direct.changes(watch, since)
        return await self._changes_from_source(source, watch, since)

    async def _changes_from_own_source(
        self, own_source: NewsSource, watch: Watch, since: Revision
    ) -> Changes | Outcome:
        found = await own_source.changes(watch, since)
        if not isinstance(found, Outcome):
            return found
        if found is not Outcome.HISTORY_GONE:
            self._suspend_source(self._choice.node, silent=False)
        return Outcome.HISTORY_GONE

    async def _changes_from_source(
        self, source: NodeId, watch: Watch, since: Revision
    ) -> Changes | Outcome:
        requested_at = self._clock.uptime()
        reply = await self._request_changes(
            self._directory.entries[source].address, _to_request(watch, since)
        )
        if isinstance(reply, KindChanges):
            return _to_changes(reply, requested_at)
        if not isinstance(reply, HistoryGone):
            self._suspend_source(source, silent=reply is None)
        return Outcome.HISTORY_GONE

    async def _request_changes(
        self, address: Address, message: WatchKind
    ) -> PeerReply | None:
        """Return the source's reply; ``None`` if there is none in time.

        Failure: the source does not answer, and the request was sent on a
        kept-alive connection. The HTTP client then sends it again on a new
        connection and waits for as long once more. Symptom: this process
        learns of a change after twice the wait, beyond the bound. The timeout
        here covers both attempts.
        """
        return await self._peers.ask(
            address, message, self._bounds.answer_wait, one_limit=True
        )

    def _suspend_source(self, source: NodeId, silent: bool) -> None:
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


def _to_request(watch: Watch, since: Revision) -> WatchKind:
    proof = watch.proof or dt.timedelta()
    return WatchKind(
        watch.kind, since, utils.to_ms(watch.gather), utils.to_ms(proof)
    )


def _to_changes(reply: KindChanges, requested_at: dt.timedelta) -> Changes:
    proven_at = (
        None
        if reply.proven_ms is None
        else requested_at + utils.from_ms(reply.proven_ms)
    )
    return Changes(reply.changes, reply.revision, proven_at)
