"""Handles the messages that other processes send to this entry."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.jobs.ledger import Ledger, page_limit_bytes
from bergamotdoor.objects.job_codec import LoadedJob
from bergamotdoor.peers.messages import (
    NO_MODEL,
    AdoptJob,
    AskStrikes,
    Done,
    ItemBody,
    JobEnded,
    JobOwned,
    NotKnown,
    NotOwner,
    PeerReply,
    PeerRequest,
    ReadBody,
    ReadResults,
    StoreCall,
    StrikesLearned,
    TakeOver,
)
from bergamotdoor.peers.news_messages import WatchKind
from bergamotdoor.peers.relay import relayed
from bergamotdoor.steps.engine_loads import EngineLoads
from bergamotdoor.steps.item_bodies import body_of
from bergamotdoor.steps.job_handoff import found_job_in, loaded_job_in
from bergamotdoor.steps.job_reads import wait_for_page
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.entry.context import Context
    from bergamotdoor.objects.client import DirectCaller
    from bergamotdoor.peers.news_source import NewsSource
    from bergamotdoor.steps.job_finder import JobFinder
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.steps.peer_notifier import PeerNotifier

_MILLISECOND: Final = dt.timedelta(milliseconds=1)


class PeerService:
    """Service that answers messages of other processes.

    Parameters
    ----------
    owner
        The jobs that this process owns.
    finder
        Cache of job owners.
    notifier
        Client that forwards messages to other entries.
    context
        Services of the process, with the link's bandwidth.
    direct
        Client that calls the store from this VM only, not through others.
    news
        Watches of the store that this process shares with others.
    """

    def __init__(
        self,
        owner: JobOwner,
        finder: JobFinder,
        notifier: PeerNotifier,
        context: Context,
        direct: DirectCaller,
        news: NewsSource,
    ) -> None:
        self._news = news
        self._page_bytes = page_limit_bytes(context.settings.link_mbps)
        self._owner = owner
        self._finder = finder
        self._strikes = context.strikes
        self._direct = direct
        self._handlers: dict[type[Any], Callable[[Any], PeerReply | None]] = {}
        self.register(AdoptJob, self._adopt)
        self.register(JobEnded, self._end)
        self.register(JobOwned, self._apply_owner)
        unclear_jobs = finder.unclear_jobs
        self.register(unclear_jobs.message_type, unclear_jobs.take)
        engine_loads = EngineLoads(context, notifier, owner.wake_up)
        for message_type, handler in engine_loads.handlers.items():
            self.register(message_type, handler)
        self.register(StrikesLearned, self._add_strikes)
        self.register(AskStrikes, context.strikes.answer)

    async def handle(self, message: PeerRequest) -> PeerReply:
        """Return the reply to a message."""
        if isinstance(message, StoreCall):
            return await relayed(self._direct, message)
        if isinstance(message, AdoptJob) and not self._owner.accepts_jobs:
            return NotOwner()
        if isinstance(message, WatchKind):
            return await self._news.answer(message)
        if isinstance(message, TakeOver):
            return await self._take_over(message)
        if isinstance(message, (ReadBody, ReadResults)):
            return await self._read(message)
        handler = self._handlers.get(type(message))
        reply = None if handler is None else handler(message)
        return Done() if reply is None else reply

    def register(
        self,
        message_type: type[Any],
        handler: Callable[[Any], PeerReply | None],
    ) -> None:
        """Register the handler of messages that are answered at once.

        Parameters
        ----------
        message_type
            The class of the messages.
        handler
            Function that is called with each message. It returns the reply;
            ``None`` stands for ``Done``.
        """
        self._handlers[message_type] = handler

    def _add_strikes(self, message: StrikesLearned) -> None:
        self._strikes.take(message)

    def _end(self, message: JobEnded) -> None:
        self._owner.end(message.job)

    def _apply_owner(self, message: JobOwned) -> None:
        model = None if message.model == NO_MODEL else message.model
        self._finder.cache_record(message.job, message.record, model)
        if not self._finder.is_own(message.record):
            self._owner.apply_record(found_job_in(message))

    async def _read(self, message: ReadResults | ReadBody) -> PeerReply:
        """Return a page or a body of a job, if this process owns the job."""
        run = self._owner.get(message.job)
        if run is None:
            if self._owner.stopping:
                # A process that stops resumes no job, so the sender should
                # take the job over at once.
                return NotOwner()
            found = await self._finder.resume(message.job)
            if isinstance(found, Outcome):
                return NotOwner()
            run = found
        if isinstance(message, ReadBody):
            body = body_of(run, message.item)
            return ItemBody(None if isinstance(body, Outcome) else body)
        wait = message.wait_ms * _MILLISECOND
        page = await wait_for_page(run, message.after, wait, self._page_bytes)
        return NotKnown() if isinstance(page, Outcome) else page

    async def _take_over(self, message: TakeOver) -> PeerReply:
        found = await self._finder.accept_handoff(
            found_job_in(message), loaded_job_in(message)
        )
        return NotOwner() if isinstance(found, Outcome) else Done()

    def _adopt(self, message: AdoptJob) -> None:
        job = message.spec.job
        if not self._finder.is_newest(job, message.record):
            # The message arrived late. Another entry has taken the job over.
            return
        self._finder.cache_record(job, message.record)
        if self._owner.get(job) is None:
            loaded = LoadedJob(message.spec, Ledger())
            self._owner.adopt(found_job_in(message), loaded)
