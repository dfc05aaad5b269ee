"""Batch jobs as any entry serves them, whichever entry owns them."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.gateway.job_run import PAGE_BYTES
from bergamotdoor.gateway.job_store import FoundJob, LoadedJob
from bergamotdoor.jobs.ledger import Ledger
from bergamotdoor.jobs.messages import JobRecord, JobStatus
from bergamotdoor.objects.messages import Outcome
from bergamotdoor.peers.messages import (
    AdoptJob,
    Done,
    ItemBody,
    JobEnded,
    JobOwned,
    NotOwner,
    ReadBody,
    ReadResults,
    ResultPage,
    StoreCall,
)
from bergamotdoor.peers.relay import relayed
from bergamotdoor.types import NodeId
from bergamotdoor.utils import hrw_order

if TYPE_CHECKING:
    from bergamotdoor.gateway.context import Context, Tasks
    from bergamotdoor.gateway.job_run import JobRun
    from bergamotdoor.gateway.job_store import JobStore
    from bergamotdoor.gateway.owner import JobOwner
    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.objects.client import Caller
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.peers.directory import Directory
    from bergamotdoor.peers.messages import PeerReply, PeerRequest
    from bergamotdoor.types import ItemId, JobId

_MS: Final = dt.timedelta(milliseconds=1)
#: How often the owner of an ended job is told before it is left to find
#: out by itself, and the pause between.
_TELL_ATTEMPTS: Final = 5
_TELL_PAUSE: Final = dt.timedelta(milliseconds=300)
#: Owners of jobs that are remembered; each takes some 300 bytes.
_MOST_OWNERS: Final = 2048

_log = logging.getLogger('bergamotdoor.gateway')


class JobsDesk:
    """Takes jobs in, and finds each job's owner for readers.

    The owner is asked first: it knows each result a few milliseconds after
    it was stored. If it can't be reached, this process takes the job over.
    A second owner costs engine time and nothing else, since positions are
    given by the store.
    """

    def __init__(
        self,
        context: Context,
        store: JobStore,
        owner: JobOwner,
        peers: PeerClient,
        directory: Directory,
        direct: Caller,
        tasks: Tasks,
    ) -> None:
        self._context = context
        self._store = store
        self._owner = owner
        self._peers = peers
        self._directory = directory
        self._direct = direct
        self._tasks = tasks
        self._records: dict[JobId, JobRecord] = {}

    async def submit(self, spec: JobSpec) -> Outcome | None:
        """Take a job in; None once it is kept for good."""
        found = await self._store.submit(spec, self._home_record(spec))
        if isinstance(found, Outcome):
            return found
        self._remember(found.job, found.record)
        if found.record.owner != self._context.settings.node:
            self._tasks.start(self._hand_over(found, spec))
        elif self._owner.get(found.job) is None:
            self._owner.adopt(found, LoadedJob(spec, Ledger()))
        return None

    def _home_record(self, spec: JobSpec) -> JobRecord:
        """Name the entry that runs the jobs of a trainer.

        One entry for all steps keeps its connections to the engines, and
        places the items of steps that overlap knowing of both.
        """
        own = self._owner.own_record(1, 0)
        entries = {**self._directory.entries, own.owner: own.address}
        home = NodeId(hrw_order(spec.model, entries)[0])
        return JobRecord(home, entries[home], 1, 0)

    async def _hand_over(self, found: FoundJob, spec: JobSpec) -> None:
        message = AdoptJob(found.record, found.revision, spec)
        reply = await self._peers.ask(found.record.address, message)
        if not isinstance(reply, Done):
            await self._take_over(found.job, found.record)

    async def read(
        self, job: JobId, after: int, wait: dt.timedelta
    ) -> ResultPage | Outcome:
        """Return results from a position on; ABSENT if there is no job."""
        run = self._owner.get(job)
        if run is not None:
            return await _page(run, after, wait)
        record = await self._record(job)
        if isinstance(record, Outcome):
            return record
        if record.owner != self._context.settings.node:
            message = ReadResults(job, after, wait // _MS)
            reply = await self._peers.ask(record.address, message, wait)
            if isinstance(reply, ResultPage):
                return reply
        taken = await self._take_over(job, record)
        if isinstance(taken, Outcome):
            return taken
        return await _page(taken, after, wait)

    async def body(self, job: JobId, item: ItemId) -> bytes | Outcome:
        """Return an item's body, ABSENT if it is listed or unknown."""
        run = self._owner.get(job)
        if run is None:
            record = await self._record(job)
            if isinstance(record, Outcome):
                return record
            if record.owner != self._context.settings.node:
                message = ReadBody(job, item)
                reply = await self._peers.ask(record.address, message)
                if isinstance(reply, ItemBody):
                    return Outcome.ABSENT if reply.body is None else reply.body
            found = await self._take_over(job, record)
            if isinstance(found, Outcome):
                return found
            run = found
        return _body(run, item)

    async def end(self, job: JobId) -> Outcome | None:
        """End a job; None once that is kept for good."""
        outcome = await self._store.end(job)
        if outcome is None:
            self._owner.end(job)
            if self._owner.get(job) is None:
                self._tasks.start(self._tell(job))
        return outcome

    async def handle(self, message: PeerRequest) -> PeerReply:
        """Answer another entry."""
        if isinstance(message, StoreCall):
            return await relayed(self._direct, message)
        if isinstance(message, JobOwned):
            self._remember(message.job, message.record)
            return Done()
        if isinstance(message, AdoptJob):
            return self._adopt_new(message)
        run = self._owner.get(message.job)
        if isinstance(message, JobEnded):
            self._owner.end(message.job)
            return Done()
        if run is None:
            run = await self._resumed(message.job)
        if run is None:
            return NotOwner()
        if isinstance(message, ReadBody):
            found = _body(run, message.item)
            return ItemBody(None if isinstance(found, Outcome) else found)
        return await _page(run, message.after, message.wait_ms * _MS)

    def _adopt_new(self, message: AdoptJob) -> PeerReply:
        job = message.spec.job
        self._remember(job, message.record)
        if self._owner.get(job) is None:
            found = FoundJob(job, message.record, JobStatus(), message.revision)
            loaded = LoadedJob(message.spec, Ledger())
            if self._owner.adopt(found, loaded) is None:
                return NotOwner()
        return Done()

    async def resume_own(self) -> bool:
        """Go on with the jobs of this node's last process.

        Returns
        -------
        bool
            Whether the store told which these are.
        """
        jobs = await self._store.all_jobs(stale=False)
        if isinstance(jobs, Outcome):
            return False
        for found in jobs:
            mine = found.record.owner == self._context.settings.node
            if mine and not found.status.ended:
                await self._adopt(found)
        return True

    async def _resumed(self, job: JobId) -> JobRun | None:
        found = await self._store.find(job)
        if isinstance(found, Outcome):
            return None
        self._remember(job, found.record)
        if found.record.owner != self._context.settings.node:
            return None
        run = await self._adopt(found)
        return None if isinstance(run, Outcome) else run

    async def _take_over(
        self, job: JobId, record: JobRecord
    ) -> JobRun | Outcome:
        found = await self._store.find(job)
        if isinstance(found, Outcome):
            return found
        self._remember(job, found.record)
        node = self._context.settings.node
        if found.record.owner == node or found.status.ended:
            return await self._adopt(found)
        if found.record.term > record.term:
            # Another process was faster: the next read goes there.
            return Outcome.NOT_DONE
        _log.warning(
            'gateway: job %s: owner %s does not answer, taking over',
            job,
            found.record.owner,
        )
        own = self._owner.own_record(found.record.term + 1, found.record.parts)
        claimed = await self._store.claim(found, own)
        if isinstance(claimed, Outcome):
            return claimed
        self._remember(job, claimed.record)
        if claimed.record.owner != node:
            return Outcome.NOT_DONE
        return await self._adopt(claimed)

    async def _adopt(self, found: FoundJob) -> JobRun | Outcome:
        loaded = await self._store.load(found.job)
        if isinstance(loaded, Outcome):
            return Outcome.NOT_DONE
        return self._owner.adopt(found, loaded) or Outcome.NOT_DONE

    async def _record(self, job: JobId) -> JobRecord | Outcome:
        known = self._records.get(job)
        if known is not None:
            return known
        found = await self._store.find(job)
        if isinstance(found, Outcome):
            return found
        self._remember(job, found.record)
        return found.record

    def _remember(self, job: JobId, record: JobRecord) -> None:
        known = self._records.pop(job, None)
        if known is not None and known.term > record.term:
            record = known
        self._records[job] = record
        if len(self._records) > _MOST_OWNERS:
            self._records.pop(next(iter(self._records)))

    async def _tell(self, job: JobId) -> None:
        for _ in range(_TELL_ATTEMPTS):
            record = await self._record(job)
            if not isinstance(record, Outcome):
                reply = await self._peers.ask(record.address, JobEnded(job))
                if isinstance(reply, Done):
                    return
            await self._context.clock.sleep(_TELL_PAUSE)
        _log.warning('gateway: job %s: its owner was not told of its end', job)


async def _page(run: JobRun, after: int, wait: dt.timedelta) -> ResultPage:
    if wait:
        await run.wait_beyond(after, wait.total_seconds())
    total = len(run.spec.items)
    return ResultPage(total, run.ledger.page(after, PAGE_BYTES))


def _body(run: JobRun, item: ItemId) -> bytes | Outcome:
    if run.ended or item in run.ledger:
        return Outcome.ABSENT
    found = next((one for one in run.spec.items if one.item == item), None)
    return Outcome.ABSENT if found is None else found.body
