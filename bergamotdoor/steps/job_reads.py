"""Reads of batch jobs, served by any entry whichever entry owns the job."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.jobs.ledger import LARGEST_PAGE_BYTES, fitting_results
from bergamotdoor.peers.messages import (
    ItemBody,
    NotKnown,
    ReadBody,
    ReadResults,
    ResultPage,
)
from bergamotdoor.steps.item_bodies import body_of
from bergamotdoor.steps.job_run import JobRun
from bergamotdoor.steps.ledger_sync import MAX_PROOF_AGE
from bergamotdoor.steps.result_cache import ResultCache
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.jobs.messages import JobRecord
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.steps.job_finder import JobFinder
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.types import AccountId, ItemId, JobId

#: A peer call that fails sooner than this failed by a connection reset or a
#: refused connection, and is retried once.
_FAST_FAILURE_MS: Final = 200
_FAST_FAILURE: Final = dt.timedelta(milliseconds=_FAST_FAILURE_MS)
#: How long before the end of a reader's wait the store is asked for new
#: results. The store usually answers within milliseconds; an answer that is
#: sixty times as slow takes a quarter of a second.
_STORE_CHECK_MS: Final = 300
_STORE_CHECK_TIME: Final = dt.timedelta(milliseconds=_STORE_CHECK_MS)
#: How long the check of the store may outlast the reader's wait. It is less
#: than the 400 ms that the calling entry waits beyond the reader.
_STORE_CHECK_MARGIN_MS: Final = 250
_STORE_CHECK_MARGIN: Final = dt.timedelta(milliseconds=_STORE_CHECK_MARGIN_MS)
_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_log = logging.getLogger('bergamotdoor.gateway')
_NO_WAIT: Final = dt.timedelta()


class JobReadService:
    """Service for reading results and item bodies of jobs.

    A job that this process doesn't own is read from its owner. If the owner
    does not answer, this process takes the job over.

    Parameters
    ----------
    owner
        The jobs that this process owns.
    finder
        Cache of job owners, which also takes jobs over.
    peers
        Client for calls to other entries.
    clock
        Clock that measures the duration of these calls.
    """

    def __init__(
        self,
        owner: JobOwner,
        finder: JobFinder,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._cached_results = ResultCache()
        self._owner = owner
        self._finder = finder
        self._peers = peers
        self._clock = clock

    async def account_of(self, job: JobId) -> AccountId | Outcome:
        """Return the client account of a job; ABSENT if there is no job."""
        run = self._owner.get(job)
        if run is not None:
            return run.spec.account
        record = await self._finder.find_record(job)
        return record if isinstance(record, Outcome) else record.account

    async def read_results(
        self, job: JobId, after: int, wait: dt.timedelta
    ) -> ResultPage | Outcome:
        """Return listed results of a job; ABSENT if there is no such job.

        Parameters
        ----------
        job
            The job.
        after
            The first position, from zero.
        wait
            The longest wait for a result at that position.
        """
        page = await self._read_page(job, after, wait)
        if isinstance(page, ResultPage) and page.results:
            _log.info(
                'gateway: job %s: shown to position %d',
                job,
                after + len(page.results),
            )
        return page

    async def read_body(self, job: JobId, item: ItemId) -> bytes | Outcome:
        """Return an item's request body; ABSENT if it is listed or unknown."""
        message = ReadBody(job, item)
        found = await self._query_owner(job, message, dt.timedelta())
        if isinstance(found, JobRun):
            return body_of(found, item)
        if isinstance(found, ItemBody):
            return Outcome.ABSENT if found.body is None else found.body
        return found if isinstance(found, Outcome) else Outcome.NOT_DONE

    async def _read_page(
        self, job: JobId, after: int, wait: dt.timedelta
    ) -> ResultPage | Outcome:
        """Return a page of results for a client's read.

        The page is as large as a client may receive. Smaller pages would be
        slower: a client can get the results in no other way, and the pause of
        half a second between two reads is longer than the transfer of the
        largest page, a quarter of a second on the slowest link of 30 Mbit/s.
        """
        run = self._owner.get(job)
        if run is not None:
            return await wait_for_page(run, after, wait, LARGEST_PAGE_BYTES)
        cached = self._cached_results.cached_page(
            job, after, LARGEST_PAGE_BYTES
        )
        if cached.is_complete:
            return ResultPage(cached.total, cached.results)
        next_position = after + len(cached.results)
        more = await self._read_from_owner(
            job, next_position, _NO_WAIT if cached.results else wait
        )
        if isinstance(more, Outcome):
            if not cached.results:
                return more
            # Listed results never change, so those in the cache can be
            # returned even if neither the owner nor the store answers.
            return ResultPage(cached.total, cached.results)
        results = fitting_results(
            (*cached.results, *more.results), LARGEST_PAGE_BYTES
        )
        return ResultPage(more.total, tuple(results))

    async def _read_from_owner(
        self, job: JobId, after: int, wait: dt.timedelta
    ) -> ResultPage | Outcome:
        """Return results that the owner sends, and cache them."""
        message = ReadResults(job, after, wait // _MILLISECOND)
        found = await self._query_owner(job, message, wait)
        if isinstance(found, JobRun):
            return await wait_for_page(found, after, wait, LARGEST_PAGE_BYTES)
        if isinstance(found, ItemBody):
            return Outcome.NOT_DONE
        if isinstance(found, ResultPage):
            self._cached_results.add_page(job, after, found)
        return found

    async def _query_owner(
        self, job: JobId, message: ReadResults | ReadBody, wait: dt.timedelta
    ) -> ResultPage | ItemBody | JobRun | Outcome:
        """Return the owner's reply to a message about a job.

        If the owner does not answer, this process takes the job over.

        Returns
        -------
        ResultPage or ItemBody or JobRun or Outcome
            The owner's reply, or the job if this process owns it.
        """
        run = self._owner.get(job)
        if run is not None:
            return run
        record = await self._finder.find_record(job)
        if isinstance(record, Outcome):
            return record
        reply = await self._ask_owner(record, message, wait)
        if reply is not None:
            return reply
        found = await self._finder.take_over(job, record)
        if found is not Outcome.NOT_DONE:
            return found
        # Another entry may have taken the job over meanwhile.
        newer = await self._finder.find_record(job)
        if isinstance(newer, Outcome) or newer == record:
            return found
        return await self._ask_owner(newer, message, wait) or found

    async def _ask_owner(
        self,
        record: JobRecord,
        message: ReadResults | ReadBody,
        wait: dt.timedelta,
    ) -> ResultPage | ItemBody | Outcome | None:
        """Return the owner's reply; ``None`` if the owner is gone.

        NOT_DONE means that the owner is alive and does not know whether there
        are more results.
        """
        if self._finder.is_own(record):
            return None
        started_at = self._clock.elapsed()
        reply = await self._peers.ask(record.address, message, wait)
        if reply is None and self._clock.elapsed() - started_at < _FAST_FAILURE:
            # A takeover after a single connection reset would restart the
            # long items of a job.
            reply = await self._peers.ask(record.address, message, wait)
        if isinstance(reply, NotKnown):
            return Outcome.NOT_DONE
        return reply if isinstance(reply, (ResultPage, ItemBody)) else None


async def wait_for_page(
    run: JobRun,
    after: int,
    wait: dt.timedelta,
    limit_bytes: int,
) -> ResultPage | Outcome:
    """Return results of a job that this process owns.

    Parameters
    ----------
    run
        The job.
    after
        The first position, from zero.
    wait
        The longest wait for a result at that position.
    limit_bytes
        How much text the page may hold, if it is more than one result.

    Returns
    -------
    ResultPage or Outcome
        NOT_DONE if there is no such result here, and it is unknown whether
        another owner has listed one.

    Notes
    -----
    Failure: the store is slow, and the owner asks it for new results before
    it responds that there are none. Symptom: the response comes too late, the
    owner is considered gone, and the job is started again elsewhere. So the
    store is asked while the reader waits, and the check is cancelled before
    the reader's entry stops waiting.
    """
    final_wait = min(wait, _STORE_CHECK_TIME)
    await run.wait_for_result(after, (wait - final_wait).total_seconds())
    if not _has_more(run, after):
        is_proven = await _check_store(run, after, final_wait)
        # Results may have been listed while the store was asked.
        if not is_proven and not _has_more(run, after):
            return Outcome.NOT_DONE
    total = len(run.spec.items)
    return ResultPage(total, run.ledger.page(after, limit_bytes))


def _has_more(run: JobRun, after: int) -> bool:
    """Return whether a read need not wait for the result at a position.

    The result is listed, or every item of the job is.
    """
    return len(run.ledger) > after or run.complete


async def _check_store(
    run: JobRun, after: int, final_wait: dt.timedelta
) -> bool:
    """Return whether the ledger is proven complete.

    The store is asked during the last part of a reader's wait, unless the
    last proof is still recent enough at the end of the wait.

    Parameters
    ----------
    run
        The job.
    after
        The position for which the reader waits.
    final_wait
        The last part of the wait.
    """
    waiting = run.wait_for_result(after, final_wait.total_seconds())
    try:
        async with asyncio.timeout(
            (final_wait + _STORE_CHECK_MARGIN).total_seconds()
        ):
            is_proven, _ = await asyncio.gather(
                run.catch_up(MAX_PROOF_AGE - final_wait), waiting
            )
    except TimeoutError:
        return False
    return is_proven
