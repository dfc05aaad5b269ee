"""Watches the store for the other processes of an availability zone.

Load pattern: every process follows two or three kinds of objects, and each
change ends a watch of each of them. 58 entries and 32 agents made 2,800
watches in 46 s, three quarters of all their calls of the store. So one entry
of a zone watches, and the others wait for news at it.
"""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.objects.change_log import ChangeLog
from bergamotdoor.objects.news import StoreNews, Watch
from bergamotdoor.peers.messages import NotKnown
from bergamotdoor.peers.news_messages import HistoryGone, KindChanges
from bergamotdoor.stored import Changes, Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.peers.news_messages import WatchKind
    from bergamotdoor.peers.sharing import SharingBounds
    from bergamotdoor.tasks import Tasks
    from bergamotdoor.types import Revision

#: How long a kind is followed that nobody asks for any more.
_UNASKED_S: Final = 10
_UNASKED: Final = dt.timedelta(seconds=_UNASKED_S)
#: Before a watch that failed is tried again.
_RETRY_MS: Final = 200
_RETRY: Final = dt.timedelta(milliseconds=_RETRY_MS)
_MS: Final = dt.timedelta(milliseconds=1)
_NO_TIME: Final = dt.timedelta()

_log = logging.getLogger('bergamotdoor.peers')


class Feed:
    """Follows one kind for others.

    Failure: the store can't be reached from here, or tells its watches of
    nothing. Symptom: a whole zone lives by an old manifest. A feed tells
    nothing once a watch is not answered in time, and begins anew after each
    interruption; whoever follows it lists then.

    Parameters
    ----------
    news
        Watches the store.
    watch
        Which kind, and how closely.
    clock
        The time.
    trusted
        How long after a watch was due to begin it has been answered.
    """

    def __init__(
        self, news: StoreNews, watch: Watch, clock: Clock, trusted: dt.timedelta
    ) -> None:
        self._news = news
        self._watch = watch
        self._clock = clock
        self._trusted = trusted
        self._known: ChangeLog | None = None
        #: When the last watch that was answered began, in time since the
        #: machine's start.
        self._proven_at: dt.timedelta | None = None
        self._asked_at = clock.elapsed()
        self._wanted = asyncio.Event()
        self._grown = asyncio.Event()

    @property
    def wanted(self) -> bool:
        """Whether somebody asked lately."""
        return self._clock.elapsed() - self._asked_at < _UNASKED

    async def run(self) -> None:
        """Follow the kind until nobody asks for it."""
        while self.wanted:
            if self._known is None:
                self._wanted.clear()
                await self._wait(self._wanted, _UNASKED)
            else:
                await self._follow(self._known)

    async def changes(
        self, since: Revision, wait: dt.timedelta
    ) -> Changes | Outcome:
        """Return what is new since a revision, waiting until there is."""
        self._asked_at = self._clock.elapsed()
        if self._known is None:
            self._known = ChangeLog(since)
            self._wanted.set()
        known = self._known
        until = self._asked_at + wait
        proven_at = self._proven_at
        while not self._has_news(known, since, proven_at):
            left = until - self._clock.elapsed()
            if left <= _NO_TIME:
                break
            await self._wait(self._grown, left)
        if known is not self._known:
            return Outcome.NOT_DONE
        found = known.behind(since)
        if found is None:
            return Outcome.HISTORY_GONE
        return msgspec.structs.replace(found, proven_at=self._proven_at)

    def _has_news(
        self,
        known: ChangeLog,
        since: Revision,
        proven_at: dt.timedelta | None,
    ) -> bool:
        if known is not self._known or since < known.until:
            return True
        proves = self._watch.proof is not None
        return proves and proven_at != self._proven_at

    async def _follow(self, known: ChangeLog) -> None:
        found = await self._watched(known)
        if isinstance(found, Outcome):
            _log.info('peers: news of %s: %s', self._watch.kind, found.value)
            self._known = None
            self._proven_at = None
            self._announce()
            await self._clock.sleep(_RETRY)
            return
        self._proven_at = found.proven_at
        if found.changes:
            known.append(found)
        if found.changes or self._watch.proof is not None:
            self._announce()

    async def _watched(self, known: ChangeLog) -> Changes | Outcome:
        """Watch the store, and give up once it can't be trusted.

        Failure: the store can't be reached any more, or has dropped the
        history of a watch, which stays open beyond its time. Symptom: all
        that follow this feed are told that there is nothing new, until the
        call is given up seconds later.
        """
        try:
            async with asyncio.timeout(self._trusted.total_seconds()):
                return await self._news.changes(self._watch, known.until)
        except TimeoutError:
            return Outcome.UNCLEAR

    def _announce(self) -> None:
        self._grown.set()
        self._grown = asyncio.Event()

    async def _wait(self, event: asyncio.Event, most: dt.timedelta) -> None:
        try:
            async with asyncio.timeout(most.total_seconds()):
                await event.wait()
        except TimeoutError:
            return


class NewsSource:
    """Tells other processes of changes.

    Parameters
    ----------
    store
        What is watched.
    clock
        The time.
    tasks
        Runs what follows the kinds.
    bounds
        How old what is told may be.
    """

    def __init__(
        self,
        store: ObjectClient,
        clock: Clock,
        tasks: Tasks,
        bounds: SharingBounds,
    ) -> None:
        self._news = StoreNews(store, clock)
        self._clock = clock
        self._tasks = tasks
        self._bounds = bounds
        self._feeds: dict[str, Feed] = {}
        #: Whether this process tells nothing any more.
        self.closed = False

    def follows(self, kind: str) -> bool:
        """Return whether a kind is followed here for others."""
        return kind in self._feeds and not self.closed

    async def changes(self, watch: Watch, since: Revision) -> Changes | Outcome:
        """Return what is new of a kind, waiting until there is."""
        if self.closed:
            return Outcome.NOT_DONE
        feed = self._feeds.get(watch.kind)
        if feed is None:
            feed = self._begin(watch)
        return await feed.changes(since, self._bounds.answer_wait)

    async def answer(
        self, message: WatchKind
    ) -> KindChanges | HistoryGone | NotKnown:
        """Answer another process that waits for news."""
        received_at = self._clock.uptime()
        proof = message.proof_ms * _MS if message.proof_ms else None
        watch = Watch(message.kind, message.gather_ms * _MS, proof=proof)
        found = await self.changes(watch, message.since)
        if isinstance(found, Changes):
            return _told(found, received_at)
        return HistoryGone() if found is Outcome.HISTORY_GONE else NotKnown()

    def _begin(self, asked: Watch) -> Feed:
        gather = min(asked.gather, self._bounds.most_gather)
        wait = self._bounds.watch_wait(gather)
        watch = Watch(asked.kind, gather, wait, asked.proof)
        trusted = self._bounds.trusted(watch)
        feed = Feed(self._news, watch, self._clock, trusted)
        self._feeds[watch.kind] = feed
        self._tasks.start(self._run(watch.kind, feed))
        _log.info('peers: follows %s for others', watch.kind)
        return feed

    async def _run(self, kind: str, feed: Feed) -> None:
        try:
            await feed.run()
        finally:
            self._feeds.pop(kind, None)


def _told(found: Changes, received_at: dt.timedelta) -> KindChanges:
    proven_ms = (
        None
        if found.proven_at is None
        else (found.proven_at - received_at) // _MS
    )
    return KindChanges(found.changes, found.revision, proven_ms)
