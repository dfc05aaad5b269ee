"""Watch the store on behalf of the other processes of an availability zone.

Load pattern: every process watches two or three kinds of objects, and each
change ends one watch in every process. 58 entries and 32 agents made 2,800
watches in 46 s, three quarters of all their calls to the store. Therefore
one entry of a zone, the *source*, watches the store, and the other processes
of the zone wait for changes at the source.
"""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.objects.change_log import ChangeLog
from bergamotdoor.objects.news import StoreNews, Watch
from bergamotdoor.observe import subjects
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

#: A kind is no longer watched after no request for it arrived for so long.
_IDLE_TIMEOUT_S: Final = 10
_IDLE_TIMEOUT: Final = dt.timedelta(seconds=_IDLE_TIMEOUT_S)
#: Pause before a failed watch is retried.
_RETRY_PAUSE_MS: Final = 200
_RETRY_PAUSE: Final = dt.timedelta(milliseconds=_RETRY_PAUSE_MS)
_MS: Final = dt.timedelta(milliseconds=1)
_NO_TIME: Final = dt.timedelta()

_log = logging.getLogger('bergamotdoor.peers')


class Feed:
    """A watch of one kind of objects that other processes share.

    Failure: the source can't reach the store, or the store reports no changes
    to its watches. Symptom: a whole zone uses an outdated manifest. As soon
    as the store does not answer a watch in time, waiting requests end without
    a result, and the log of changes starts anew. The processes that sent the
    requests then list the kind.

    Parameters
    ----------
    news
        Waits for changes at the store.
    watch
        The kind of objects, and how often the store is watched.
    clock
        Clock of this process.
    trusted
        Time within which the store must have answered a watch, counted from
        the start of the pause before it.
    """

    def __init__(
        self, news: StoreNews, watch: Watch, clock: Clock, trusted: dt.timedelta
    ) -> None:
        self._news = news
        self._watch = watch
        self._clock = clock
        self._answer_timeout = trusted
        self._change_log: ChangeLog | None = None
        #: When the last answered watch began, in time since the machine's
        #: start.
        self._proven_at: dt.timedelta | None = None
        self._last_request_at = clock.elapsed()
        self._requested = asyncio.Event()
        self._updated = asyncio.Event()

    @property
    def wanted(self) -> bool:
        """Whether a request has arrived within the idle timeout."""
        return self._clock.elapsed() - self._last_request_at < _IDLE_TIMEOUT

    async def run(self) -> None:
        """Watch the kind until no request arrives within the idle timeout."""
        while self.wanted:
            if self._change_log is None:
                self._requested.clear()
                await self._wait_for_event(self._requested, _IDLE_TIMEOUT)
            else:
                await self._watch_once(self._change_log)

    async def changes(
        self, since: Revision, wait: dt.timedelta
    ) -> Changes | Outcome:
        """Return the changes since a revision; wait until there is one.

        Parameters
        ----------
        since
            Revision that the caller knows.
        wait
            How long to wait for a change. The result is empty if there is
            none within this time.

        Returns
        -------
        Changes or Outcome
            ``HISTORY_GONE`` if some changes are no longer known, ``NOT_DONE``
            if the watch of the store was interrupted meanwhile.
        """
        self._last_request_at = self._clock.elapsed()
        if self._change_log is None:
            self._change_log = ChangeLog(since)
            self._requested.set()
        change_log = self._change_log
        until = self._last_request_at + wait
        proven_at = self._proven_at
        while not self._has_update(change_log, since, proven_at):
            left = until - self._clock.elapsed()
            if left <= _NO_TIME:
                break
            await self._wait_for_event(self._updated, left)
        if change_log is not self._change_log:
            return Outcome.NOT_DONE
        found = change_log.behind(since)
        if found is None:
            return Outcome.HISTORY_GONE
        return msgspec.structs.replace(found, proven_at=self._proven_at)

    def _has_update(
        self,
        change_log: ChangeLog,
        since: Revision,
        proven_at: dt.timedelta | None,
    ) -> bool:
        if change_log is not self._change_log or since < change_log.until:
            return True
        sends_proofs = self._watch.proof is not None
        return sends_proofs and proven_at != self._proven_at

    async def _watch_once(self, change_log: ChangeLog) -> None:
        found = await self._watch_store(change_log)
        if isinstance(found, Outcome):
            _log.info('peers: news of %s: %s', self._watch.kind, found.value)
            self._change_log = None
            self._proven_at = None
            self._notify_waiters()
            await self._clock.sleep(_RETRY_PAUSE)
            return
        self._proven_at = found.proven_at
        if found.changes:
            change_log.append(found)
        if found.changes or self._watch.proof is not None:
            self._notify_waiters()

    async def _watch_store(self, change_log: ChangeLog) -> Changes | Outcome:
        """Watch the store once, and time out if it does not answer in time.

        Failure: the store can't be reached any more, or it has dropped the
        history that a watch needs and leaves the watch open beyond its
        duration. Symptom: all processes that wait here get replies without
        changes until the call times out seconds later.
        """
        try:
            async with asyncio.timeout(self._answer_timeout.total_seconds()):
                return await self._news.changes(self._watch, change_log.until)
        except TimeoutError:
            return Outcome.UNCLEAR

    def _notify_waiters(self) -> None:
        self._updated.set()
        self._updated = asyncio.Event()

    async def _wait_for_event(
        self, event: asyncio.Event, timeout: dt.timedelta
    ) -> None:
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await event.wait()
        except TimeoutError:
            return


class NewsSource:
    """Answers the watch requests of other processes.

    Parameters
    ----------
    store
        Client of the store that is watched.
    clock
        Clock of this process.
    tasks
        Runs one task for each watched kind.
    bounds
        Time limits of each part of the path from the store to a process.
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
        #: Whether this process no longer answers watch requests.
        self.closed = False

    def follows(self, kind: str) -> bool:
        """Return whether this process watches a kind for others."""
        return kind in self._feeds and not self.closed

    async def changes(self, watch: Watch, since: Revision) -> Changes | Outcome:
        """Return the changes of a kind; wait until there is one.

        Parameters
        ----------
        watch
            The kind, and how closely the caller follows it.
        since
            Revision that the caller knows.

        Returns
        -------
        Changes or Outcome
            Empty changes if there are none within the bounds' wait,
            ``HISTORY_GONE`` if the caller has to list the kind, and another
            outcome if this process can't watch the store now.
        """
        if self.closed:
            return Outcome.NOT_DONE
        feed = self._feeds.get(watch.kind)
        if feed is None:
            feed = self._start_feed(watch)
        return await feed.changes(since, self._bounds.answer_wait)

    async def answer(
        self, message: WatchKind
    ) -> KindChanges | HistoryGone | NotKnown:
        """Answer a watch request of another process."""
        received_at = self._clock.uptime()
        proof = message.proof_ms * _MS if message.proof_ms else None
        watch = Watch(message.kind, message.gather_ms * _MS, proof=proof)
        found = await self.changes(watch, message.since)
        if isinstance(found, Changes):
            return _to_message(found, received_at)
        return HistoryGone() if found is Outcome.HISTORY_GONE else NotKnown()

    def _start_feed(self, requested: Watch) -> Feed:
        gather = min(requested.gather, self._bounds.most_gather)
        wait = self._bounds.watch_wait(gather)
        watch = Watch(requested.kind, gather, wait, requested.proof)
        trusted = self._bounds.trusted(watch)
        feed = Feed(self._news, watch, self._clock, trusted)
        self._feeds[watch.kind] = feed
        with subjects.only_about():
            self._tasks.start(self._run_feed(watch.kind, feed))
        _log.info('peers: follows %s for others', watch.kind)
        return feed

    async def _run_feed(self, kind: str, feed: Feed) -> None:
        try:
            await feed.run()
        finally:
            self._feeds.pop(kind, None)


def _to_message(found: Changes, received_at: dt.timedelta) -> KindChanges:
    proven_ms = (
        None
        if found.proven_at is None
        else (found.proven_at - received_at) // _MS
    )
    return KindChanges(found.changes, found.revision, proven_ms)
