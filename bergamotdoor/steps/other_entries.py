"""Tells other entries of jobs."""

from __future__ import annotations

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
    ReadBody,
)
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.objects.job_codec import FoundJob
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.peers.directory import Directory
    from bergamotdoor.peers.messages import TakeOver
    from bergamotdoor.settings.document import Address
    from bergamotdoor.steps.job_finder import JobFinder
    from bergamotdoor.tasks import Tasks
    from bergamotdoor.types import JobId, ModelId, ZoneId

#: How often the owner of an ended job is told before it is left to find
#: out by itself, and the pause between.
_TELL_ATTEMPTS: Final = 5
_TELL_PAUSE_MS: Final = 300
_TELL_PAUSE: Final = dt.timedelta(milliseconds=_TELL_PAUSE_MS)
_MS: Final = dt.timedelta(milliseconds=1)

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

    def see_run(self, found: FoundJob, spec: JobSpec) -> None:
        """See to it that a job that was there before is run by somebody.

        Failure: a trainer that had no answer hands its job in again, and
        the job is taken for new. Symptom: an owner that still loads it gets
        it without its results and begins all of it anew; readers are denied
        positions they have read. Asked for a body, an owner loads what it
        does not run yet, and one that is gone is replaced.
        """
        if spec.items and not found.status.ended:
            self._tasks.start(self._see_run(found, spec))

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

    async def hand_on(self, message: TakeOver) -> None:
        """Have another entry run a job of this one, which stops.

        Entry after entry is asked: those that stop as well take nothing.
        """
        entries = self.directory.entries
        order = home_order(message.spec.model, entries, self._zone)
        for entry in order[:_MOST_ASKED]:
            address = entries[entry].address
            began = self._clock.elapsed()
            reply = await self._peers.ask(address, message, _HAND_ON_WAIT)
            taken = isinstance(reply, Done)
            _log.info(
                'gateway: job %s handed on to %s: %s after %d ms',
                message.spec.job,
                entry,
                'taken' if taken else 'not taken',
                (self._clock.elapsed() - began) // _MS,
            )
            if taken:
                return

    def tell_of_end(self, job: JobId) -> None:
        """Have a job's owner stop."""
        self._tasks.start(self._tell_of_end(job))

    async def _tell(
        self, address: Address, message: JobOwned | EngineLoaded
    ) -> None:
        await self._peers.ask(address, message)

    async def _hand_over(self, found: FoundJob, spec: JobSpec) -> None:
        message = AdoptJob(found.record, found.revision, spec)
        reply = await self._peers.ask(found.record.address, message)
        if not isinstance(reply, Done):
            await self._finder.take_over(found.job, found.record)

    async def _see_run(self, found: FoundJob, spec: JobSpec) -> None:
        if self._finder.is_own(found.record):
            await self._finder.resume(found.job)
            return
        message = ReadBody(found.job, spec.items[0].item)
        reply = await self._peers.ask(found.record.address, message)
        if reply is None:
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
