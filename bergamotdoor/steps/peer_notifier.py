"""Messages to other entries about jobs and loaded weights."""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.observe import subjects
from bergamotdoor.peers.directory import home_order
from bergamotdoor.peers.messages import (
    NO_MODEL,
    AdoptJob,
    Done,
    JobEnded,
    JobOwned,
    JobUnclear,
    ReadBody,
    TakeOver,
)
from bergamotdoor.stored import Outcome

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.jobs.messages import JobRecord, JobSpec
    from bergamotdoor.objects.job_codec import FoundJob
    from bergamotdoor.peers.client import PeerClient
    from bergamotdoor.peers.directory import Directory
    from bergamotdoor.peers.weight_messages import EngineLoaded, LoadAnnounced
    from bergamotdoor.settings.document import Address
    from bergamotdoor.steps.job_finder import JobFinder
    from bergamotdoor.tasks import Tasks
    from bergamotdoor.types import JobId, ModelId, ZoneId

#: How often an owner is told that its job has ended, or that it was replaced,
#: and the pause between two attempts. After the last one the owner finds it in
#: the store.
_NOTICE_ATTEMPTS: Final = 5
_NOTICE_PAUSE_MS: Final = 300
_NOTICE_PAUSE: Final = dt.timedelta(milliseconds=_NOTICE_PAUSE_MS)
_MILLISECOND: Final = dt.timedelta(milliseconds=1)

#: How long an entry may take to accept a handoff. Loading a job from the
#: store takes a few calls of milliseconds each.
_OFFER_TIMEOUT: Final = dt.timedelta(seconds=1)

#: The most entries to which a handoff is offered. If none accepts the job,
#: the entry of the next reader takes it over.
_MAX_OFFERS: Final = 3

_log = logging.getLogger('bergamotdoor.gateway')


class PeerNotifier:
    """Client that sends other entries messages about jobs.

    Most messages are sent in the background, after the caller's response.

    Parameters
    ----------
    finder
        Cache of job owners.
    peers
        Client for calls to other entries.
    directory
        Addresses of the other entries.
    tasks
        Tasks that send the messages. A planned stop completes them.
    clock
        Clock for the pauses between attempts.
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
        #: Unclear jobs of which not every entry has been told.
        self._unannounced: set[JobId] = set()
        finder.on_takeover = self.notify_former_owners

    def send_to_preferred_owner(self, found: FoundJob, spec: JobSpec) -> None:
        """Send a new job to its preferred owner.

        If that fails, this process takes the job over.
        """
        self._tasks.start(self._send_new_job(found, spec))

    def ensure_running(self, spec: JobSpec, record: JobRecord) -> None:
        """Ensure that a job which was submitted before has a running owner.

        Failure: a trainer that received no response submits its job again,
        and the job is treated as new. Symptom: an owner that is still loading
        the job receives it without its results and starts all items again,
        and readers are denied positions that they have read. So the owner is
        only asked for an item's body: an owner loads a job of its own that it
        does not run yet, and an owner that is gone is replaced.
        """
        if spec.items:
            self._tasks.start(self._ensure_running(spec, record))

    def announce_owner(self, found: FoundJob, model: ModelId) -> None:
        """Send every entry the address of a job's owner.

        Readers connect to any entry. Without this message each entry would
        ask the store once a job: 800 calls in half a minute with four
        trainers and 27 entries.
        """
        message = JobOwned(found.job, found.record, model, found.revision)
        for entry in self.directory.entries.values():
            self._tasks.start(self._send(entry.address, message))

    def announce_unclear(self, job: JobId) -> None:
        """Tell every entry that a job may be in the store.

        A client comes back with its job at another entry, which may have no
        answer of the store either.
        """
        self._unannounced.add(job)
        self._tasks.start(self._announce_unclear(job))

    async def announce_last_unclear(self) -> None:
        """Send the announcements that a planned stop has cut off."""
        await asyncio.gather(*map(self._announce_unclear, self._unannounced))

    def notify_former_owners(self, found: FoundJob) -> None:
        """Notify the former owners of a job that this process has taken over.

        Failure: only the next reader's entry learns of a takeover. Symptom:
        the former owner, which was paused, runs the job until its next check
        of the store.
        """
        message = JobOwned(found.job, found.record, NO_MODEL, found.revision)
        for former in found.record.former:
            self._tasks.start(self._send_until_done(former, message))

    def forward_engine_loaded(
        self, message: EngineLoaded | LoadAnnounced
    ) -> None:
        """Forward an engine's load to the owner of the model's jobs.

        A message that was forwarded before is dropped.
        """
        owner = self._finder.owner_of_model(message.model)
        if owner is not None and not message.passed_on:
            forwarded = msgspec.structs.replace(message, passed_on=True)
            self._tasks.start(self._send(owner, forwarded))

    async def offer_job(self, message: TakeOver) -> None:
        """Offer a job of this process, which stops, to other entries.

        The entries are asked one after the other until one accepts. Entries
        that stop as well don't accept jobs.
        """
        entries = self.directory.entries
        order = home_order(message.spec.model, entries, self._zone)
        for entry in order[:_MAX_OFFERS]:
            address = entries[entry].address
            started_at = self._clock.elapsed()
            reply = await self._peers.ask(address, message, _OFFER_TIMEOUT)
            accepted = isinstance(reply, Done)
            _log.info(
                'gateway: job %s handed on to %s: %s after %d ms',
                message.spec.job,
                entry,
                'taken' if accepted else 'not taken',
                (self._clock.elapsed() - started_at) // _MILLISECOND,
            )
            if accepted:
                return

    def notify_of_end(self, job: JobId, record: JobRecord | None) -> None:
        """Notify the other owners of a job that the job was ended.

        Parameters
        ----------
        job
            The job.
        record
            Its record, with the former owners, which may not know that they
            were replaced; ``None`` if it is unreadable.
        """
        if record is None or not self._finder.is_own(record):
            self._tasks.start(self._notify_owner_of_end(job))
        for former in () if record is None else record.former:
            self._tasks.start(self._send_until_done(former, JobEnded(job)))

    async def _announce_unclear(self, job: JobId) -> None:
        message = JobUnclear(job)
        entries = self.directory.entries.values()
        await asyncio.gather(
            *(self._send(entry.address, message) for entry in entries)
        )
        self._unannounced.discard(job)

    async def _send(
        self,
        address: Address,
        message: JobOwned | JobUnclear | EngineLoaded | LoadAnnounced,
    ) -> None:
        await self._peers.ask(address, message)

    async def _send_new_job(self, found: FoundJob, spec: JobSpec) -> None:
        message = AdoptJob(found.record, found.revision, spec)
        reply = await self._peers.ask(found.record.address, message)
        if not isinstance(reply, Done):
            await self._finder.take_over(found.job, found.record)

    async def _ensure_running(self, spec: JobSpec, record: JobRecord) -> None:
        if self._finder.is_own(record):
            with subjects.about(action='resubmission'):
                await self._finder.resume(spec.job)
            return
        message = ReadBody(spec.job, spec.items[0].item)
        reply = await self._peers.ask(record.address, message)
        if reply is None:
            await self._finder.take_over(spec.job, record)

    async def _send_until_done(
        self, address: Address, message: JobOwned | JobEnded
    ) -> None:
        for _ in range(_NOTICE_ATTEMPTS):
            if isinstance(await self._peers.ask(address, message), Done):
                return
            await self._clock.sleep(_NOTICE_PAUSE)

    async def _notify_owner_of_end(self, job: JobId) -> None:
        for _ in range(_NOTICE_ATTEMPTS):
            record = await self._finder.find_record(job)
            if not isinstance(record, Outcome):
                reply = await self._peers.ask(record.address, JobEnded(job))
                if isinstance(reply, Done):
                    return
            await self._clock.sleep(_NOTICE_PAUSE)
        _log.warning(
            'gateway: job %s: its owner could not be notified of its end', job
        )
