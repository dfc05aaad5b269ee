"""Answers the other entries."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.jobs.ledger import Ledger, page_limit_bytes
from bergamotdoor.objects.job_codec import LoadedJob
from bergamotdoor.peers.messages import (
    AdoptJob,
    Done,
    EngineLoaded,
    ItemBody,
    JobEnded,
    JobOwned,
    NotKnown,
    NotOwner,
    ReadBody,
    ReadResults,
    StoreCall,
    StrikesLearned,
    TakeOver,
)
from bergamotdoor.peers.news_messages import WatchKind
from bergamotdoor.peers.relay import relayed
from bergamotdoor.steps.hand_over import found_in, loaded_in
from bergamotdoor.steps.item_bodies import body_of
from bergamotdoor.steps.jobs_desk import page_of
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.entry.context import Context
    from bergamotdoor.objects.client import Caller
    from bergamotdoor.peers.messages import PeerReply, PeerRequest
    from bergamotdoor.peers.news_source import NewsSource
    from bergamotdoor.steps.job_finder import JobFinder
    from bergamotdoor.steps.other_entries import OtherEntries
    from bergamotdoor.steps.owner import JobOwner

_MS: Final = dt.timedelta(milliseconds=1)


class PeerService:
    """Handles messages of other processes.

    Parameters
    ----------
    owner
        Runs this process's jobs.
    finder
        Knows the owners.
    others
        Told of what is not for this process.
    context
        Whose fleet learns of loaded versions, and how fast its link is.
    direct
        The store, reached from this VM only.
    news
        Follows the store for other processes.
    """

    def __init__(
        self,
        owner: JobOwner,
        finder: JobFinder,
        others: OtherEntries,
        context: Context,
        direct: Caller,
        news: NewsSource,
    ) -> None:
        self._news = news
        self._page_bytes = page_limit_bytes(context.settings.link_mbps)
        self._others = others
        self._owner = owner
        self._finder = finder
        self._fleet = context.fleet
        self._strikes = context.strikes
        self._direct = direct
        self._takers: dict[type[Any], Callable[[Any], None]] = {}
        self.register(AdoptJob, self._adopt)
        self.register(JobEnded, self._end)
        self.register(JobOwned, self._remember)
        self.register(EngineLoaded, self._loaded)
        self.register(StrikesLearned, self._learn_strikes)

    async def handle(self, message: PeerRequest) -> PeerReply:
        """Answer one message."""
        if isinstance(message, StoreCall):
            return await relayed(self._direct, message)
        if isinstance(message, AdoptJob) and not self._owner.takes_jobs:
            return NotOwner()
        if isinstance(message, WatchKind):
            return await self._news.answer(message)
        if isinstance(message, TakeOver):
            return await self._take_over(message)
        if isinstance(message, (ReadBody, ReadResults)):
            return await self._read(message)
        take = self._takers.get(type(message))
        if take is not None:
            take(message)
        return Done()

    def register(self, kind: type[Any], take: Callable[[Any], None]) -> None:
        """Have a kind of messages that want no answer taken."""
        self._takers[kind] = take

    def _learn_strikes(self, message: StrikesLearned) -> None:
        self._strikes.take(message)

    def _end(self, message: JobEnded) -> None:
        self._owner.end(message.job)

    def _remember(self, message: JobOwned) -> None:
        self._finder.remember(message.job, message.record, message.model)

    def _loaded(self, message: EngineLoaded) -> None:
        self._fleet.loaded(message.engine, message.model, message.version)
        self._owner.poke()
        self._others.pass_on(message)

    async def _read(self, message: ReadResults | ReadBody) -> PeerReply:
        run = self._owner.get(message.job)
        if run is None:
            if self._owner.stopping:
                # It takes none back: whoever asks need not wait for that.
                return NotOwner()
            found = await self._finder.resume(message.job)
            if isinstance(found, Outcome):
                return NotOwner()
            run = found
        if isinstance(message, ReadBody):
            body = body_of(run, message.item)
            return ItemBody(None if isinstance(body, Outcome) else body)
        wait = message.wait_ms * _MS
        page = await page_of(run, message.after, wait, self._page_bytes)
        return NotKnown() if isinstance(page, Outcome) else page

    async def _take_over(self, message: TakeOver) -> PeerReply:
        found = await self._finder.take_handed(
            found_in(message), loaded_in(message)
        )
        return NotOwner() if isinstance(found, Outcome) else Done()

    def _adopt(self, message: AdoptJob) -> None:
        job = message.spec.job
        if not self._finder.is_newest(job, message.record):
            # It came late: another entry has taken the job over meanwhile.
            return
        self._finder.remember(job, message.record)
        if self._owner.get(job) is None:
            loaded = LoadedJob(message.spec, Ledger())
            self._owner.adopt(found_in(message), loaded)
