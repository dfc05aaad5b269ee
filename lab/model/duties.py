"""Histories of processes that share a duty, with faults at each step.

The processes run the product's own reporter, before a store and a receiver
without sockets. Each call may be slow, lost, or done late; each process may be
paused between any two steps, killed and started again.
"""

from __future__ import annotations

import asyncio
import datetime as dt
import random
from typing import TYPE_CHECKING, Final, NamedTuple

from bergamotdoor.duties.usage import UsageBook
from bergamotdoor.reporting.counting import UsageCounter, UsageCounts
from bergamotdoor.reporting.receiver import Receipt
from bergamotdoor.reporting.record import DutyStore
from bergamotdoor.reporting.reporter import UsageReporter
from bergamotdoor.settings.document import Address
from bergamotdoor.settings.node import DutySettings
from bergamotdoor.stored import Conflict, Outcome, StoredObject
from bergamotdoor.types import AccountId, NodeId, Revision, UsageWindow
from lab.receiver import Received, broken_promises
from lab.virtual import run_virtual, virtual_clock

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.duties.tenure import DutyRecord, KnownRecord
    from bergamotdoor.duties.usage import UsageReport

_LEASE_S: Final = 3
_SETTINGS: Final = DutySettings(
    receiver=Address(ip='127.0.0.1', port=1),
    lease=dt.timedelta(seconds=_LEASE_S),
    usage_window=dt.timedelta(seconds=5),
    usage_due=dt.timedelta(seconds=10),
)
_NAMES: Final = ('a', 'b', 'c')
_LASTS_S: Final = 60
#: How often each fault comes, of all calls or seconds.
_FAULT: Final = 0.25
_LATE_S: Final = 6
_LONGEST_PAUSE_S: Final = 9
_CALL_S: Final = 0.3
_HALF: Final = 0.5
#: How long some entry lets its holder wait, at a time.
_STALL_S: Final = 8


class DutyHistory(NamedTuple):
    """What one history has shown."""

    broken: list[str]
    #: Windows that were reported, and processes that had the duty.
    reported: int
    holders: int


class _Machine:
    """A process's clock: it stands still while the process is paused."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.runs = asyncio.Event()
        self.runs.set()

    def elapsed(self) -> dt.timedelta:
        """Return the loop's time."""
        return self._clock.elapsed()

    def uptime(self) -> dt.timedelta:
        """Return the loop's time, which counts pauses."""
        return self._clock.uptime()

    def now(self) -> dt.datetime:
        """Return the wall time."""
        return self._clock.now()

    async def sleep(self, delay: dt.timedelta) -> None:
        """Wait, and until the process runs."""
        await self._clock.sleep(delay)
        await self.runs.wait()


class _World:
    """The store's one object, the receiver, and the faults of both."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.stored: StoredObject | None = None
        self.came: list[Received] = []
        self.reporters: dict[str, UsageReporter] = {}
        #: Counts that the processes hear of, which grow meanwhile.
        self.grown = 0

    def chance(self) -> bool:
        """Return whether a fault comes now."""
        return self.rng.random() < _FAULT

    def apply(self, spec: bytes, at: Revision) -> StoredObject | Conflict:
        """Write the object if it is at a revision; 0 is not there yet."""
        known = Revision(0) if self.stored is None else self.stored.revision
        if known != at:
            return Conflict(self.stored)
        if self.stored is not None and self.stored.spec == spec:
            # A write that changes nothing is none.
            return self.stored
        self.stored = StoredObject('usage', Revision(known + 1), spec)
        return self.stored


class _Objects:
    """The store as one process reaches it."""

    def __init__(self, world: _World, machine: _Machine) -> None:
        self._world = world
        self._machine = machine

    async def get(self, kind: str, name: str) -> StoredObject | Outcome:
        """Return the object; there is only one."""
        await self._way()
        if self._world.chance():
            return Outcome.NOT_DONE
        return self._world.stored or Outcome.ABSENT

    async def create(
        self, kind: str, name: str, spec: bytes
    ) -> StoredObject | Conflict | Outcome:
        """Create the object."""
        return await self._write(spec, Revision(0))

    async def replace(
        self, kind: str, name: str, spec: bytes, at: Revision
    ) -> StoredObject | Conflict | Outcome:
        """Replace the object."""
        return await self._write(spec, at)

    async def _write(
        self, spec: bytes, at: Revision
    ) -> StoredObject | Conflict | Outcome:
        await self._way()
        if self._world.chance():
            late_s = self._world.rng.uniform(0, _LATE_S)
            asyncio.get_running_loop().call_later(
                late_s, self._world.apply, spec, at
            )
            return Outcome.UNCLEAR
        found = self._world.apply(spec, at)
        await self._way()
        return Outcome.UNCLEAR if self._world.chance() else found

    async def _way(self) -> None:
        await asyncio.sleep(self._world.rng.uniform(0, _CALL_S))
        await self._machine.runs.wait()


class _Receiver:
    """The receiver as one process reaches it."""

    def __init__(self, world: _World, machine: _Machine) -> None:
        self._world = world
        self._machine = machine

    async def send(
        self, record: DutyRecord, report: UsageReport, timeout: dt.timedelta
    ) -> Receipt:
        """Take a report that comes within its time, or later by a thaw."""
        way_s = self._world.rng.uniform(0, timeout.total_seconds())
        await asyncio.sleep(way_s)
        if not self._machine.runs.is_set():
            # What a thaw brings does not count, and is not taken.
            await self._machine.runs.wait()
            return Receipt.OPEN
        if self._world.chance():
            return Receipt.OPEN
        self._world.came.append(
            Received(
                record.holder,
                record.token,
                report.window,
                {str(one): count for one, count in report.counts.items()},
                asyncio.get_running_loop().time(),
            )
        )
        return Receipt.OPEN if self._world.chance() else Receipt.TAKEN


class _Peers:
    """The other processes, some of which do not hear."""

    settled = True

    def __init__(self, world: _World, name: str) -> None:
        self._world = world
        self._name = name

    def turn(self, known: KnownRecord | None) -> int:
        """Return how many would take the duty before this one."""
        holder = None if known is None else known.record.holder
        order = [name for name in _NAMES if name != holder]
        return order.index(self._name) if self._name in order else 0

    def announce(self, known: KnownRecord) -> None:
        """Tell the others, but for some."""
        for name, reporter in self._world.reporters.items():
            if name != self._name and not self._world.chance():
                reporter.learn(known.record, known.revision)


class _GrowingBook(UsageBook):
    """Counts that differ each time they are looked at."""

    def __init__(self, world: _World) -> None:
        super().__init__()
        self._world = world
        self._seed = world.rng.random()

    def counts(self, window: UsageWindow) -> dict[AccountId, int]:
        """Return counts that no other look returns."""
        self._world.grown += 1
        return {AccountId('ant'): self._world.grown}

    def missing(
        self, window: UsageWindow, since: dt.timedelta
    ) -> frozenset[NodeId]:
        """Return an entry that has not told all, for seconds on end."""
        second = int(asyncio.get_running_loop().time() / _STALL_S)
        stalls = random.Random(f'{self._seed} {second}').random() < _HALF
        return frozenset((NodeId('x'),)) if stalls else frozenset()


class _Process:
    """One process, started and ended."""

    def __init__(self, world: _World, name: str, clock: Clock) -> None:
        self._world = world
        self._name = name
        self.machine = _Machine(clock)
        boot = str(world.rng.random())
        counter = UsageCounter(
            self.machine, _SETTINGS.usage_window, NodeId(name), boot
        )
        objects = _Objects(world, self.machine)
        self.reporter = UsageReporter(
            UsageCounts(counter, _GrowingBook(world)),
            DutyStore(objects, self.machine),  # type: ignore[arg-type]
            _Receiver(world, self.machine),  # type: ignore[arg-type]
            _Peers(world, name),  # type: ignore[arg-type]
            _SETTINGS,
            self.machine,
        )
        world.reporters[name] = self.reporter
        self._task = asyncio.create_task(self.reporter.run(_always))

    def kill(self) -> None:
        """End it at once."""
        self._task.cancel()


def play_duty(seed: int) -> DutyHistory:
    """Play one history."""
    return run_virtual(_play(seed))


async def _play(seed: int) -> DutyHistory:
    world = _World(random.Random(seed))
    clock = virtual_clock()
    await asyncio.gather(*(_live(world, name, clock) for name in _NAMES))
    return DutyHistory(
        broken_promises(world.came, world.came, _LEASE_S),
        len({one.window for one in world.came}),
        len({one.holder for one in world.came}),
    )


async def _live(world: _World, name: str, clock: Clock) -> None:
    """Run a process, with pauses, kills and starts at random moments."""
    loop = asyncio.get_running_loop()
    process = _Process(world, name, clock)
    while loop.time() < _LASTS_S:
        await asyncio.sleep(world.rng.uniform(0, _LASTS_S / 2))
        if world.rng.random() < _HALF:
            process.machine.runs.clear()
            await asyncio.sleep(world.rng.uniform(0, _LONGEST_PAUSE_S))
            process.machine.runs.set()
        else:
            process.kill()
            await asyncio.sleep(world.rng.uniform(0, 2))
            process = _Process(world, name, clock)
    process.kill()


def _always() -> bool:
    return True
