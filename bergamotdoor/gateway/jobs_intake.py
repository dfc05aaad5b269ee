"""Takes batch jobs in, hands them to their home entry, and ends them."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.gateway.job_store import LoadedJob
from bergamotdoor.jobs.ledger import Ledger
from bergamotdoor.jobs.messages import JobRecord
from bergamotdoor.objects.messages import Outcome
from bergamotdoor.peers.directory import home_of
from bergamotdoor.peers.messages import AdoptJob, Done, JobEnded, JobOwned

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.gateway.job_finder import JobFinder
    from bergamotdoor.gateway.job_store import FoundJob, JobStore
    from bergamotdoor.gateway.owner import JobOwner
    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.peers.directory import Directory
    from bergamotdoor.settings.document import Address
    from bergamotdoor.tasks import Tasks
    from bergamotdoor.types import JobId

#: How often the owner of an ended job is told before it is left to find
#: out by itself, and the pause between.
_TELL_ATTEMPTS: Final = 5
_TELL_PAUSE_MS: Final = 300
_TELL_PAUSE: Final = dt.timedelta(milliseconds=_TELL_PAUSE_MS)

_log = logging.getLogger('bergamotdoor.gateway')


class OtherEntries:
    """Tells other entries of jobs, behind the answer to the caller.

    Parameters
    ----------
    finder
        Knows the owners.
    peers
        Reaches other entries.
    directory
        Which entries there are.
    tasks
        Runs what goes on behind the answer.
    clock
        For the pauses.
    """

    def __init__(
        self,
        finder: JobFinder,
        peers: PeerClient,
        directory: Directory,
        tasks: Tasks,
        clock: Clock,
    ) -> None:
        self.directory = directory
        self._finder = finder
        self._peers = peers
        self._tasks = tasks
        self._clock = clock

    def hand_over(self, found: FoundJob, spec: JobSpec) -> None:
        """Have a job's home run it, or run it here."""
        self._tasks.start(self._hand_over(found, spec))

    def tell_owner(self, found: FoundJob) -> None:
        """Have every entry know whom to ask for a job's results.

        Readers come to any entry. Each would ask the store once a job:
        800 calls in half a minute of four trainers before 27 entries.
        """
        message = JobOwned(found.job, found.record)
        for address in self.directory.entries.values():
            self._tasks.start(self._tell(address, message))

    def tell_of_end(self, job: JobId) -> None:
        """Have a job's owner stop."""
        self._tasks.start(self._tell_of_end(job))

    async def _tell(self, address: Address, message: JobOwned) -> None:
        await self._peers.ask(address, message)

    async def _hand_over(self, found: FoundJob, spec: JobSpec) -> None:
        message = AdoptJob(found.record, found.revision, spec)
        reply = await self._peers.ask(found.record.address, message)
        if not isinstance(reply, Done):
            await self._finder.take_over(found.job, found.record)

    async def _tell_of_end(self, job: JobId) -> None:
        for _ in range(_TELL_ATTEMPTS):
            record = await self._finder.record(job)
            if not isinstance(record, Outcome):
                reply = await self._peers.ask(record.address, JobEnded(job))
                if isinstance(reply, Done):
                    return
            await self._clock.sleep(_TELL_PAUSE)
        _log.warning('gateway: job %s: its owner was not told of its end', job)


class JobsIntake:
    """Takes jobs in and ends them.

    Parameters
    ----------
    store
        Where jobs are kept.
    owner
        Runs this process's jobs.
    finder
        Knows the owners.
    others
        The other entries, and what tells them of jobs.
    """

    def __init__(
        self,
        store: JobStore,
        owner: JobOwner,
        finder: JobFinder,
        others: OtherEntries,
    ) -> None:
        self._store = store
        self._owner = owner
        self._finder = finder
        self._others = others

    async def submit(self, spec: JobSpec) -> Outcome | None:
        """Take a job in; None once it is kept for good."""
        found = await self._store.submit(spec, self._home_record(spec))
        if isinstance(found, Outcome):
            return found
        self._finder.remember(found.job, found.record)
        self._others.tell_owner(found)
        if not self._finder.is_own(found.record):
            self._others.hand_over(found, spec)
        elif self._owner.get(found.job) is None:
            self._owner.adopt(found, LoadedJob(spec, Ledger()))
        return None

    async def end(self, job: JobId) -> Outcome | None:
        """End a job; None once that is kept for good."""
        outcome = await self._store.end(job)
        if outcome is None:
            self._owner.end(job)
            if self._owner.get(job) is None:
                self._others.tell_of_end(job)
        return outcome

    def _home_record(self, spec: JobSpec) -> JobRecord:
        """Name the entry that runs the jobs of a trainer."""
        own = self._owner.own_record(1, 0)
        entries = {**self._others.directory.entries, own.owner: own.address}
        home = home_of(spec.model, entries) or own.owner
        return JobRecord(home, entries[home], 1, 0)
