"""Batch jobs as any entry serves them, whichever entry owns them."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.peers.messages import (
    ItemBody,
    ReadBody,
    ReadResults,
    ResultPage,
)
from bergamotdoor.steps.job_run import JobRun
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.jobs.messages import JobRecord
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.steps.job_finder import JobFinder
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.types import ItemId, JobId

#: A failure that comes sooner is a reset or a refused connection.
_AT_ONCE_MS: Final = 200
_AT_ONCE: Final = dt.timedelta(milliseconds=_AT_ONCE_MS)
_MS: Final = dt.timedelta(milliseconds=1)


class JobsDesk:
    """Serves the readers of jobs."""

    def __init__(
        self,
        owner: JobOwner,
        finder: JobFinder,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self._owner = owner
        self._finder = finder
        self._peers = peers
        self._clock = clock

    async def read(
        self, job: JobId, after: int, wait: dt.timedelta
    ) -> ResultPage | Outcome:
        """Return results from a position on; ABSENT if there is no job."""
        message = ReadResults(job, after, wait // _MS)
        found = await self._locate(job, message, wait)
        if isinstance(found, JobRun):
            return await page_of(found, after, wait)
        return Outcome.NOT_DONE if isinstance(found, ItemBody) else found

    async def body(self, job: JobId, item: ItemId) -> bytes | Outcome:
        """Return an item's body, ABSENT if it is listed or unknown."""
        message = ReadBody(job, item)
        found = await self._locate(job, message, dt.timedelta())
        if isinstance(found, JobRun):
            return body_of(found, item)
        if isinstance(found, ItemBody):
            return Outcome.ABSENT if found.body is None else found.body
        return found if isinstance(found, Outcome) else Outcome.NOT_DONE

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
    ) -> ResultPage | ItemBody | None:
        if self._finder.is_own(record):
            return None
        began = self._clock.elapsed()
        reply = await self._peers.ask(record.address, message, wait)
        if reply is None and self._clock.elapsed() - began < _AT_ONCE:
            # One reset is no reason to begin a step's long items anew.
            reply = await self._peers.ask(record.address, message, wait)
        return reply if isinstance(reply, (ResultPage, ItemBody)) else None


async def page_of(
    run: JobRun, after: int, wait: dt.timedelta
) -> ResultPage | Outcome:
    """Return results of a job that this process has.

    NOT_DONE is that it cannot tell whether another one has listed more.
    """
    if wait:
        await run.wait_beyond(after, wait.total_seconds())
    nothing = len(run.ledger) <= after and not run.complete
    if nothing and not await run.catch_up():
        return Outcome.NOT_DONE
    total = len(run.spec.items)
    return ResultPage(total, run.page(after))


def body_of(run: JobRun, item: ItemId) -> bytes | Outcome:
    """Return the body of an item that is not listed."""
    if run.ended or item in run.ledger:
        return Outcome.ABSENT
    found = next((one for one in run.spec.items if one.item == item), None)
    return Outcome.ABSENT if found is None else found.body
