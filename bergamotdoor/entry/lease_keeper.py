"""Holds the leases of one process in the platform's store."""

from __future__ import annotations

import asyncio
import contextlib
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.membership.lease import Lease, LeaseState
from bergamotdoor.membership.lease_terms import (
    LEASE_KIND,
    Holder,
    LeaseTerms,
    ReadLease,
    WaitLease,
    WriteLease,
    WritePurpose,
    WriteResult,
    encode_record,
)
from bergamotdoor.store.protocols import (
    StoredObject,
    StoreFailure,
    StoreProblem,
)
from bergamotdoor.types import ABSENT

if TYPE_CHECKING:
    import random

    from bergamotdoor.clock import Clock
    from bergamotdoor.store.protocols import ObjectStore
    from bergamotdoor.types import FencingToken

_log: Final = logging.getLogger('bergamotdoor.lease')

#: More leases than services and trainers mean a fault in the caller.
MAX_LEASES: Final = 256
_STOP_TIMEOUT: Final = dt.timedelta(seconds=3)


class KeeperState(msgspec.Struct, frozen=True):
    """All leases of this process, for state dumps."""

    holder: Holder
    leases: dict[str, LeaseState]


class LeaseKeeper:
    """Implements ``LeaseView`` with one small task per wanted lease.

    Calls of the store: a held lease costs one write per renewal, a
    wanted one one read per poll; by default 20 a minute of either.

    Parameters
    ----------
    store
        Where leases are kept.
    holder
        This run of this process.
    clock, rng
        Time the leases and spread the polls.
    terms
        The leases' times; the same everywhere, though a holder's own
        duration is honoured by all.
    """

    def __init__(
        self,
        store: ObjectStore,
        holder: Holder,
        clock: Clock,
        rng: random.Random,
        terms: LeaseTerms | None = None,
    ) -> None:
        self._store = store
        self._holder = holder
        self._clock = clock
        self._rng = rng
        self._terms = terms or LeaseTerms()
        self._tasks: dict[str, _LeaseTask] = {}
        self._running = False

    def dump(self) -> KeeperState:
        """Return all leases as they are now."""
        now = self._clock.elapsed()
        return KeeperState(
            self._holder,
            {
                name: task.lease.state(now)
                for name, task in self._alive().items()
            },
        )

    def token(self, name: str) -> FencingToken | None:
        """Return the fencing token while the lease is held, else None."""
        task = self._tasks.get(name)
        if task is None or task.ended:
            return None
        return task.lease.token(self._clock.elapsed())

    def want(self, name: str, wanted: bool) -> None:
        """Start or stop trying to hold the lease `name`.

        Raises
        ------
        ValueError
            If more leases are wanted than there can be jobs.
        """
        task = self._tasks.get(name)
        if task is None or task.ended:
            if not wanted:
                return
            task = self._new_task(name)
        task.want(wanted)
        if self._running:
            task.start()

    async def start(self) -> None:
        """Begin to take what is wanted."""
        self._running = True
        for task in self._tasks.values():
            task.start()

    async def stop(self) -> None:
        """Release what is held, so that others need not wait.

        A platform that does not answer holds the stop up for three
        seconds at most; the leases then expire.
        """
        self._running = False
        tasks = tuple(self._tasks.values())
        self._tasks.clear()
        await asyncio.gather(*(task.stop() for task in tasks))

    async def abort(self) -> None:
        """End with nothing released, as a crash would; leases expire."""
        self._running = False
        tasks = tuple(self._tasks.values())
        self._tasks.clear()
        await asyncio.gather(*(task.abort() for task in tasks))

    def _alive(self) -> dict[str, _LeaseTask]:
        tasks = self._tasks.items()
        return {name: task for name, task in tasks if not task.ended}

    def _new_task(self, name: str) -> _LeaseTask:
        self._tasks = self._alive()
        if len(self._tasks) >= MAX_LEASES:
            raise ValueError(f'lease {name!r}: {MAX_LEASES} are wanted already')
        lease = Lease(self._holder, self._rng, self._terms)
        added = _LeaseTask(name, lease, self._store, self._clock)
        self._tasks[name] = added
        return added


class _LeaseTask:
    """Carries out one lease's actions, one after the other."""

    def __init__(
        self, name: str, lease: Lease, store: ObjectStore, clock: Clock
    ) -> None:
        self.lease = lease
        self._name = name
        self._store = store
        self._clock = clock
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def ended(self) -> bool:
        """Whether the task was started and is over."""
        return self._task is not None and self._task.done()

    def want(self, wanted: bool) -> None:
        if wanted is not self.lease.wanted:
            self.lease.want(wanted)
            self._changed.set()

    def start(self) -> None:
        if self._task is None:
            self._task = asyncio.create_task(self._run())
            self._task.add_done_callback(self._report)

    async def stop(self) -> None:
        self.want(wanted=False)
        task = self._task
        if task is None:
            return
        await asyncio.wait([task], timeout=_STOP_TIMEOUT.total_seconds())
        await self.abort()

    async def abort(self) -> None:
        """End the task with nothing written."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _report(self, task: asyncio.Task[None]) -> None:
        # Without its task a lease is not renewed and lapses by itself.
        if not task.cancelled() and task.exception() is not None:
            _log.error('lease: %s failed: %r', self._name, task.exception())

    async def _run(self) -> None:
        while not self.lease.idle:
            self._changed.clear()
            action = self.lease.next_action(self._clock.elapsed())
            if isinstance(action, WaitLease):
                await self._wait(action)
            elif isinstance(action, ReadLease):
                await self._read()
            else:
                await self._write(action)

    async def _wait(self, action: WaitLease) -> None:
        timeout = None
        if action.until is not None:
            left = action.until - self._clock.elapsed()
            timeout = max(left.total_seconds(), 0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._changed.wait()

    async def _read(self) -> None:
        found = await self._store.read(LEASE_KIND, self._name)
        now = self._clock.elapsed()
        if isinstance(found, StoredObject):
            self.lease.found(found.version, found.body, now)
        elif found.problem is StoreProblem.NOT_FOUND:
            self.lease.found(ABSENT, b'', now)
        else:
            self.lease.unavailable(now)

    async def _write(self, action: WriteLease) -> None:
        outcome = await self._store.write(
            LEASE_KIND,
            self._name,
            encode_record(action.record),
            action.expected,
        )
        if isinstance(outcome, StoredObject):
            self._log_written(action)
            self.lease.written(outcome.version, action)
            return
        conflict = outcome.problem is StoreProblem.CONFLICT
        # Losing a race is no fault.
        _log.log(
            logging.INFO if conflict else logging.WARNING,
            'lease: %s of %s: %s',
            action.purpose.value,
            self._name,
            outcome.detail,
        )
        self.lease.write_failed(_result(outcome), action, self._clock.elapsed())

    def _log_written(self, action: WriteLease) -> None:
        if action.purpose is WritePurpose.RENEW:
            return
        _log.info(
            'lease: %s of %s done, fencing token %d',
            action.purpose.value,
            self._name,
            action.record.fencing_token,
        )


def _result(failure: StoreFailure) -> WriteResult:
    if failure.problem is StoreProblem.CONFLICT:
        return WriteResult.CONFLICT
    if failure.problem is StoreProblem.UNAVAILABLE:
        return WriteResult.NOT_WRITTEN
    return WriteResult.UNKNOWN
