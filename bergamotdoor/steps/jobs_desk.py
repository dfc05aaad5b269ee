"""Batch jobs as any entry serves them, whichever entry owns them."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.jobs.ledger import LARGEST_PAGE_BYTES, that_fit
from bergamotdoor.peers.messages import (
    ItemBody,
    NotKnown,
    ReadBody,
    ReadResults,
    ResultPage,
)
from bergamotdoor.steps.item_bodies import body_of
from bergamotdoor.steps.job_run import JobRun
from bergamotdoor.steps.ledger_sync import FRESH
from bergamotdoor.steps.listed_results import ListedResults
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.jobs.messages import JobRecord
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.steps.job_finder import JobFinder
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.types import AccountId, ItemId, JobId

#: A failure that comes sooner is a reset or a refused connection.
_AT_ONCE_MS: Final = 200
_AT_ONCE: Final = dt.timedelta(milliseconds=_AT_ONCE_MS)
#: How long before a reader's wait ends the store is asked: its usual answer
#: takes milliseconds, one that is sixty times as slow a quarter of a second.
_PROOF_MS: Final = 300
_PROOF: Final = dt.timedelta(milliseconds=_PROOF_MS)
#: Within the 400 ms that another entry waits beyond the reader.
_MARGIN_MS: Final = 250
_MARGIN: Final = dt.timedelta(milliseconds=_MARGIN_MS)
_MS: Final = dt.timedelta(milliseconds=1)
_log = logging.getLogger('bergamotdoor.gateway')
_NO_WAIT: Final = dt.timedelta()


class JobsDesk:
    """Serves the readers of jobs.

    Parameters
    ----------
    owner
        Runs this process's jobs.
    finder
        Knows the owners of others.
    peers
        Reaches them.
    clock
        Tells how long that takes.
    """

    def __init__(
        self,
        owner: JobOwner,
        finder: JobFinder,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._listed = ListedResults()
        self._owner = owner
        self._finder = finder
        self._peers = peers
        self._clock = clock

    async def account_of(self, job: JobId) -> AccountId | Outcome:
        """Return whose job it is; ABSENT if there is no such job."""
        run = self._owner.get(job)
        if run is not None:
            return run.spec.account
        record = await self._finder.record(job)
        return record if isinstance(record, Outcome) else record.account

    async def read(
        self, job: JobId, after: int, wait: dt.timedelta
    ) -> ResultPage | Outcome:
        """Return results from a position on; ABSENT if there is no job."""
        page = await self._page(job, after, wait)
        if isinstance(page, ResultPage) and page.results:
            _log.info(
                'gateway: job %s: shown to position %d',
                job,
                after + len(page.results),
            )
        return page

    async def body(self, job: JobId, item: ItemId) -> bytes | Outcome:
        """Return an item's body, ABSENT if it is listed or unknown."""
        message = ReadBody(job, item)
        found = await self._locate(job, message, dt.timedelta())
        if isinstance(found, JobRun):
            return body_of(found, item)
        if isinstance(found, ItemBody):
            return Outcome.ABSENT if found.body is None else found.body
        return found if isinstance(found, Outcome) else Outcome.NOT_DONE

    async def _page(
        self, job: JobId, after: int, wait: dt.timedelta
    ) -> ResultPage | Outcome:
        """Return a page for a caller.

        As many as the caller takes: it has no other way, and half a second
        between two reads is longer than the largest page takes on the
        slowest link, a quarter of a second on 30 Mbit/s.
        """
        run = self._owner.get(job)
        if run is not None:
            return await page_of(run, after, wait, LARGEST_PAGE_BYTES)
        shown = self._listed.shown(job, after, LARGEST_PAGE_BYTES)
        if shown.enough:
            return ResultPage(shown.total, shown.results)
        behind = after + len(shown.results)
        more = await self._read_owner(
            job, behind, _NO_WAIT if shown.results else wait
        )
        if isinstance(more, Outcome):
            if not shown.results:
                return more
            # What was shown once stays listed, whoever can be reached.
            return ResultPage(shown.total, shown.results)
        results = that_fit((*shown.results, *more.results), LARGEST_PAGE_BYTES)
        return ResultPage(more.total, tuple(results))

    async def _read_owner(
        self, job: JobId, after: int, wait: dt.timedelta
    ) -> ResultPage | Outcome:
        message = ReadResults(job, after, wait // _MS)
        found = await self._locate(job, message, wait)
        if isinstance(found, JobRun):
            return await page_of(found, after, wait, LARGEST_PAGE_BYTES)
        if isinstance(found, ItemBody):
            return Outcome.NOT_DONE
        if isinstance(found, ResultPage):
            self._listed.take(job, after, found)
        return found

    async def _locate(
        self, job: JobId, message: ReadResults | ReadBody, wait: dt.timedelta
    ) -> ResultPage | ItemBody | JobRun | Outcome:
        """Ask the owner, or become it if it does not answer."""
        run = self._owner.get(job)
        if run is not None:
            return run
        record = await self._finder.record(job)
        if isinstance(record, Outcome):
            return record
        reply = await self._ask(record, message, wait)
        if reply is not None:
            return reply
        found = await self._finder.take_over(job, record)
        if found is not Outcome.NOT_DONE:
            return found
        # Perhaps another entry has taken it over meanwhile.
        newer = await self._finder.record(job)
        if isinstance(newer, Outcome) or newer == record:
            return found
        return await self._ask(newer, message, wait) or found

    async def _ask(
        self,
        record: JobRecord,
        message: ReadResults | ReadBody,
        wait: dt.timedelta,
    ) -> ResultPage | ItemBody | Outcome | None:
        """Return the owner's answer, None if it is gone.

        NOT_DONE is an owner that lives and cannot tell now.
        """
        if self._finder.is_own(record):
            return None
        began = self._clock.elapsed()
        reply = await self._peers.ask(record.address, message, wait)
        if reply is None and self._clock.elapsed() - began < _AT_ONCE:
            # One reset is no reason to begin a step's long items anew.
            reply = await self._peers.ask(record.address, message, wait)
        if isinstance(reply, NotKnown):
            return Outcome.NOT_DONE
        return reply if isinstance(reply, (ResultPage, ItemBody)) else None


async def page_of(
    run: JobRun,
    after: int,
    wait: dt.timedelta,
    limit_bytes: int,
) -> ResultPage | Outcome:
    """Return results of a job that this process has.

    Parameters
    ----------
    run
        The job.
    after
        The first position, from zero.
    wait
        How long to wait until there is one.
    limit_bytes
        How much text the page may hold, if it is more than one result.

    Returns
    -------
    ResultPage or Outcome
        NOT_DONE is that it cannot tell whether another one has listed more.

    Notes
    -----
    Failure: the store is slow, and the owner asks it before it says that
    there is nothing more. Symptom: its answer comes too late, it is taken
    for gone, and the step begins anew elsewhere. So the store is asked while
    the reader waits, and not for longer than the reader's entry does.
    """
    last = min(wait, _PROOF)
    await run.wait_beyond(after, (wait - last).total_seconds())
    if not _has_more(run, after):
        known = await _proven(run, after, last)
        # Results may have come while the store was asked.
        if not known and not _has_more(run, after):
            return Outcome.NOT_DONE
    total = len(run.spec.items)
    return ResultPage(total, run.ledger.page(after, limit_bytes))


def _has_more(run: JobRun, after: int) -> bool:
    return len(run.ledger) > after or run.complete


async def _proven(run: JobRun, after: int, last: dt.timedelta) -> bool:
    """Ask the store while a reader waits for the last time.

    The proof is as fresh at the end of the wait as it has to be.
    """
    waiting = run.wait_beyond(after, last.total_seconds())
    try:
        async with asyncio.timeout((last + _MARGIN).total_seconds()):
            known, _ = await asyncio.gather(run.catch_up(FRESH - last), waiting)
    except TimeoutError:
        return False
    return known
