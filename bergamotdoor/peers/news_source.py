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

from bergamotdoor.objects.change_log import ChangeLog
from bergamotdoor.objects.news import StoreNews, Watch
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.objects.client import ObjectClient
    from bergamotdoor.peers.sharing import SharingBounds
    from bergamotdoor.stored import Changes
    from bergamotdoor.tasks import Tasks
    from bergamotdoor.types import Revision

#: How long a kind is followed that nobody asks for any more.
_UNASKED_S: Final = 10
_UNASKED: Final = dt.timedelta(seconds=_UNASKED_S)
#: Before a watch that failed is tried again.
_RETRY_MS: Final = 200
_RETRY: Final = dt.timedelta(milliseconds=_RETRY_MS)
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
        while known is self._known and since >= known.until:
            left = until - self._clock.elapsed()
            if left <= _NO_TIME:
                break
            await self._wait(self._grown, left)
        if known is not self._known:
            return Outcome.NOT_DONE
        found = known.behind(since)
        return Outcome.HISTORY_GONE if found is None else found

    async def _follow(self, known: ChangeLog) -> None:
        found = await self._watched(known)
        if isinstance(found, Outcome):
            _log.info('peers: news of %s: %s', self._watch.kind, found.value)
            self._known = None
            self._announce()
            await self._clock.sleep(_RETRY)
            return
        if found.changes:
            known.append(found)
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

    async def changes(
        self, kind: str, since: Revision, gather: dt.timedelta
    ) -> Changes | Outcome:
        """Return what is new of a kind, waiting until there is."""
        if self.closed:
            return Outcome.NOT_DONE
        feed = self._feeds.get(kind)
        if feed is None:
            feed = self._begin(kind, gather)
        return await feed.changes(since, self._bounds.answer_wait)

    def _begin(self, kind: str, gather: dt.timedelta) -> Feed:
        gather = min(gather, self._bounds.most_gather)
        watch = Watch(kind, gather, self._bounds.watch_wait)
        trusted = self._bounds.trusted(gather)
        feed = Feed(self._news, watch, self._clock, trusted)
        self._feeds[kind] = feed
        self._tasks.start(self._run(kind, feed))
        _log.info('peers: follows %s for others', kind)
        return feed

    async def _run(self, kind: str, feed: Feed) -> None:
        try:
            await feed.run()
        finally:
            self._feeds.pop(kind, None)
