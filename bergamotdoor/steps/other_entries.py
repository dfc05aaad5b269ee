"""Tells other entries of jobs."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.peers.directory import home_order
from bergamotdoor.peers.messages import (
    AdoptJob,
    Done,
    EngineLoaded,
    JobEnded,
    JobOwned,
    TakeOver,
)
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.objects.job_codec import FoundJob
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.peers.directory import Directory
    from bergamotdoor.settings.document import Address
    from bergamotdoor.steps.job_finder import JobFinder
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.tasks import Tasks
    from bergamotdoor.types import JobId, ModelId, ZoneId

#: How often the owner of an ended job is told before it is left to find
#: out by itself, and the pause between.
_TELL_ATTEMPTS: Final = 5
_TELL_PAUSE_MS: Final = 300
_TELL_PAUSE: Final = dt.timedelta(milliseconds=_TELL_PAUSE_MS)

#: Loading a job from the store takes some calls of milliseconds.
_HAND_ON_WAIT: Final = dt.timedelta(seconds=1)

#: Entries that a job is offered to; the next reader's takes it otherwise.
_MOST_ASKED: Final = 3

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
    zone
        The availability zone of this process.
    """

    def __init__(
        self,
        finder: JobFinder,
        peers: PeerClient,
        directory: Directory,
        tasks: Tasks,
        clock: Clock,
        zone: ZoneId,
    ) -> None:
        self.directory = directory
        self._zone = zone
        self._finder = finder
        self._peers = peers
        self._tasks = tasks
        self._clock = clock

    def hand_over(self, found: FoundJob, spec: JobSpec) -> None:
        """Have a job's home run it, or run it here."""
        self._tasks.start(self._hand_over(found, spec))

    def go_on(self, found: FoundJob) -> None:
        """Have a job run that was kept before and comes once more.

        Failure: its owner has started anew, or stops. Symptom: handed on
        as a new job it runs although it is ended, and readers are told
        that nothing is at positions which they have read. So whoever runs
        it loads it from the store first.
        """
        if not found.status.ended:
            self._tasks.start(self._go_on(found))

    def tell_owner(self, found: FoundJob, model: ModelId) -> None:
        """Have every entry know whom to ask for a job's results.

        Readers come to any entry. Each would ask the store once a job:
        800 calls in half a minute of four trainers before 27 entries.
        """
        message = JobOwned(found.job, found.record, model)
        for entry in self.directory.entries.values():
            self._tasks.start(self._tell(entry.address, message))

    def pass_on(self, message: EngineLoaded) -> None:
        """Tell the entry that runs a model's jobs of its engine's weights."""
        owner = self._finder.owner_of(message.model)
        if owner is not None and not message.passed_on:
            told = msgspec.structs.replace(message, passed_on=True)
            self._tasks.start(self._tell(owner, told))

    async def hand_on(self, runs: tuple[JobRun, ...]) -> None:
        """Have other entries run the jobs of this one, which stops.

        Failure: a planned stop of the owner in the middle of a step.
        Symptom: the step waits for the next read, and its items begin
        behind what was kept a second before. Handed on, they go on at once.
        """
        await asyncio.gather(*(self._hand_on(run) for run in runs))

    def tell_of_end(self, job: JobId) -> None:
        """Have a job's owner stop."""
        self._tasks.start(self._tell_of_end(job))

    async def _tell(
        self, address: Address, message: JobOwned | EngineLoaded
    ) -> None:
        await self._peers.ask(address, message)

    async def _hand_on(self, run: JobRun) -> None:
        """Ask entry after entry: those that stop as well take nothing."""
        message = TakeOver(run.spec.job, run.found.record)
        entries = self.directory.entries
        order = home_order(run.spec.model, entries, self._zone)
        for entry in order[:_MOST_ASKED]:
            address = entries[entry].address
            reply = await self._peers.ask(address, message, _HAND_ON_WAIT)
            taken = isinstance(reply, Done)
            _log.info(
                'gateway: job %s handed on to %s: %s',
                run.spec.job,
                entry,
                'taken' if taken else 'not taken',
            )
            if taken:
                return

    async def _hand_over(self, found: FoundJob, spec: JobSpec) -> None:
        message = AdoptJob(found.record, found.revision, spec)
        reply = await self._peers.ask(found.record.address, message)
        if not isinstance(reply, Done):
            await self._finder.take_over(found.job, found.record)

    async def _go_on(self, found: FoundJob) -> None:
        record = found.record
        if not self._finder.is_own(record):
            message = TakeOver(found.job, record)
            reply = await self._peers.ask(
                record.address, message, _HAND_ON_WAIT
            )
            if isinstance(reply, Done):
                return
        await self._finder.take_over(found.job, record)

    async def _tell_of_end(self, job: JobId) -> None:
        for _ in range(_TELL_ATTEMPTS):
            record = await self._finder.record(job)
            if not isinstance(record, Outcome):
                reply = await self._peers.ask(record.address, JobEnded(job))
                if isinstance(reply, Done):
                    return
            await self._clock.sleep(_TELL_PAUSE)
        _log.warning('gateway: job %s: its owner was not told of its end', job)
