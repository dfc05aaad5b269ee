"""Trainers that submit small jobs and give up after a few attempts."""

from __future__ import annotations

import asyncio
import datetime as dt
import signal
from collections import Counter
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.platform.headers import REQUEST_ID, RETRY_AFTER
from lab.client import Call
from lab.deployment import STEP_PATH, listens, new_client
from lab.promises import Promise, Promises
from lab.wire import JobItem, job_body

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from lab.client import Reply
    from lab.deployment import Deployment
    from lab.processes import ProductProcess

#: With these statuses the system promises that nothing runs.
_REFUSALS: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
_TRAINER_COUNT: Final = 6
_ATTEMPTS_RANGE: Final = (2, 3)
_ATTEMPT_TIMEOUT: Final = dt.timedelta(seconds=2)
_ITEM_COUNT: Final = 3
_MAX_EVENTS: Final = 5
#: Pauses between two jobs of a trainer.
_JOB_PAUSES_S: Final = (0.05, 0.2, 0.5)
#: The pause between two attempts that don't honour a retry delay.
_RETRY_PAUSE_S: Final = 0.05
_PATIENT_SHARE: Final = 0.5
#: The share of accepted jobs that are ended.
_ENDED_SHARE: Final = 0.3
#: How long refused jobs may take to run after entries were restarted, and
#: after they were asked for.
_RESUME_S: Final = 2


class Attempt:
    """One submission of a job at one entry."""

    def __init__(self, sent_at_s: float) -> None:
        #: The time on the event loop's clock.
        self.sent_at_s = sent_at_s
        #: The status of the response; 0 if no complete one has arrived.
        self.status = 0

    @property
    def refused(self) -> bool:
        """Whether the response promises that nothing of the job runs."""
        return self.status in _REFUSALS


class SmallJob:
    """A job of a trainer that gives up, with its attempts."""

    def __init__(self, job: str) -> None:
        self.job = job
        self.items = [f'{job}.{number}' for number in range(_ITEM_COUNT)]
        self.attempts: list[Attempt] = []

    @property
    def refused(self) -> bool:
        """Whether each attempt was refused."""
        refused = [attempt.refused for attempt in self.attempts]
        return any(refused) and all(refused)

    @property
    def partly_refused(self) -> bool:
        """Whether some attempts were refused, and others were not."""
        refused = [attempt.refused for attempt in self.attempts]
        return any(refused) and not all(refused)

    def was_refused_at(self, time_s: float) -> bool:
        """Return whether each attempt sent before a time was refused."""
        return all(
            attempt.refused
            for attempt in self.attempts
            if attempt.sent_at_s <= time_s
        )

    def statuses(self) -> str:
        """Return the job's id with the statuses of its attempts."""
        words = ' '.join(str(attempt.status) for attempt in self.attempts)
        return f'{self.job} ({words})'


class Submitters:
    """Trainers that submit jobs until told to end.

    Parameters
    ----------
    deployment
        The deployment with the entries, and with the engines, which record
        the items that they ran.
    promises
        The collector of checks.
    rng
        The random source for jobs, entries and pauses.
    """

    def __init__(
        self, deployment: Deployment, promises: Promises, rng: random.Random
    ) -> None:
        self._deployment = deployment
        self._promises = promises
        self._rng = rng
        self._client = new_client()
        self.jobs: list[SmallJob] = []
        #: The share of jobs of which each attempt honours the retry delay.
        self.patient_share = _PATIENT_SHARE
        #: Set to ``True`` so that no new job is submitted.
        self.ending = False

    async def run(self) -> None:
        """Submit several jobs at a time until told to end."""
        async with asyncio.TaskGroup() as group:
            for _ in range(_TRAINER_COUNT):
                group.create_task(self._submit_jobs())

    async def ask_for_refused_jobs(self) -> None:
        """Restart the entries and read refused jobs at each of them.

        Both would make entries run a job that is in the store.
        """
        refused = [job for job in self.jobs if job.refused]
        if not refused:
            return
        await _restart(self._deployment.entries)
        await asyncio.sleep(_RESUME_S)
        for job in refused:
            await self._read_everywhere(f'/-/lots/{job.job}?after=0')
            await self._read_everywhere(f'/-/items/{job.job}?id={job.items[0]}')
        await asyncio.sleep(_RESUME_S)

    async def close(self) -> None:
        """Close the connections and check which items ran."""
        await self._client.close()
        for job in self.jobs:
            for promise, refused in (
                (Promise.REFUSED_JOB, job.refused),
                (Promise.REFUSED_SO_FAR, job.partly_refused),
            ):
                if refused:
                    ran = list(self._ran_while_refused(job))
                    self._promises.check(
                        promise, not ran, f'{job.statuses()}: {ran} ran'
                    )

    def counts(self) -> Counter[str]:
        """Return how many jobs there were, by their attempts' responses.

        A job is excused if some attempts were refused and its items ran,
        because another attempt was accepted, or may have been.
        """
        counts: Counter[str] = Counter(submitted=len(self.jobs))
        for job in self.jobs:
            counts['refused'] += job.refused
            if job.partly_refused and any(self._run_times_s(job)):
                counts['excused'] += 1
        return counts

    async def _read_everywhere(self, path: str) -> None:
        for entry in self._deployment.entries:
            await self._client.get(entry.front, path)

    def _ran_while_refused(self, job: SmallJob) -> Iterator[str]:
        for engine in self._deployment.engines:
            for seen in engine.seen:
                if seen.request in job.items and job.was_refused_at(seen.at_s):
                    yield f'{seen.request} at {engine.name}'

    def _run_times_s(self, job: SmallJob) -> Iterator[float]:
        for engine in self._deployment.engines:
            for seen in engine.seen:
                if seen.request in job.items:
                    yield seen.at_s

    async def _submit_jobs(self) -> None:
        while not self.ending:
            job = SmallJob(f'small-{len(self.jobs)}')
            self.jobs.append(job)
            if await self._submit(job) and self._rng.random() < _ENDED_SHARE:
                await self._end(job)
            await asyncio.sleep(self._rng.choice(_JOB_PAUSES_S))

    def _entries_in_rotation(self) -> list[ProductProcess]:
        """Return the entries to which the platform leads connections."""
        return [
            entry
            for entry in self._deployment.entries
            if entry.running and entry.in_rotation
        ]

    async def _submit(self, job: SmallJob) -> bool:
        """Submit a job, each time at another entry; return if accepted."""
        rng = self._rng
        entries = self._entries_in_rotation()
        count = min(rng.randint(*_ATTEMPTS_RANGE), len(entries))
        patient = rng.random() < self.patient_share
        call = self._submission(job)
        for entry in rng.sample(entries, count):
            attempt = Attempt(asyncio.get_running_loop().time())
            job.attempts.append(attempt)
            reply = await self._client.send(entry.front, call)
            if reply is not None:
                attempt.status = reply.status
            if attempt.status == HTTPStatus.ACCEPTED:
                return True
            await asyncio.sleep(_retry_s(reply) if patient else _RETRY_PAUSE_S)
        return False

    def _submission(self, job: SmallJob) -> Call:
        items = (
            JobItem(item, self._rng.randint(1, _MAX_EVENTS), f'{job.job}.group')
            for item in job.items
        )
        least = max(self._deployment.version - 1, 1)
        body = job_body(STEP_PATH, items, least, 1)
        return Call(
            'POST',
            f'{STEP_PATH}{job.job}',
            body,
            ((REQUEST_ID, job.job),),
            _ATTEMPT_TIMEOUT,
        )

    async def _end(self, job: SmallJob) -> None:
        entry = self._rng.choice(self._deployment.entries)
        call = Call('DELETE', f'/-/lots/{job.job}', idempotent=True)
        await self._client.send(entry.front, call)


def _retry_s(reply: Reply | None) -> float:
    """Return the retry delay that a response asks for, in seconds."""
    asked = '' if reply is None else reply.headers.first(RETRY_AFTER)
    return float(asked) if asked else _RETRY_PAUSE_S


async def _restart(entries: list[ProductProcess]) -> None:
    """Stop entries gracefully, all at once, and start them again."""
    for entry in entries:
        entry.send(signal.SIGTERM)
    for stopped in entries:
        await stopped.wait()
        await stopped.start()
    for started in entries:
        await listens(started)
