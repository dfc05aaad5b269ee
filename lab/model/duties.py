"""Histories of processes that share the duty to report usage.

The processes run the production usage reporter, with models of the store and
of the receiver that use no sockets. Each call may be slow, lost or done late.
Each process may be paused between any two steps, killed and restarted.
"""

from __future__ import annotations

import asyncio
import datetime as dt
import random
from typing import TYPE_CHECKING, Final, NamedTuple

from bergamotdoor.duties.usage import CollectedUsage
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
    from bergamotdoor.duties.lease import DutyRecord, KnownRecord
    from bergamotdoor.duties.usage import UsageReport

_LEASE_S: Final = 3
_DUTY_SETTINGS: Final = DutySettings(
    receiver=Address(ip='127.0.0.1', port=1),
    lease=dt.timedelta(seconds=_LEASE_S),
    usage_window=dt.timedelta(seconds=5),
    usage_due=dt.timedelta(seconds=10),
)
_PROCESS_NAMES: Final = ('a', 'b', 'c')
_HISTORY_S: Final = 60
#: Probability of each fault of a call.
_FAULT_PROBABILITY: Final = 0.25
#: Longest delay of a write that is done late.
_MAX_LATE_S: Final = 6
_MAX_PAUSE_S: Final = 9
#: Longest time that a call to the store, or its response, is on its way.
_MAX_STORE_DELAY_S: Final = 0.3
_EVEN_PROBABILITY: Final = 0.5
#: Length of the periods for which it is drawn whether usage counts of an entry
#: are missing, so that the holder has to wait for them.
_STALL_PERIOD_S: Final = 8


class DutyHistory(NamedTuple):
    """Result of one history."""

    #: Descriptions of the broken promises.
    broken: list[str]
    #: Number of windows that were reported.
    reported: int
    #: Number of processes that have sent reports.
    holders: int


class _PausableClock:
    """Clock of a process; a sleep does not end while the process is paused."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Set unless the process is paused.
        self.running = asyncio.Event()
        self.running.set()

    def elapsed(self) -> dt.timedelta:
        """Return the time of the event loop."""
        return self._clock.elapsed()

    def uptime(self) -> dt.timedelta:
        """Return the time of the event loop, which includes pauses."""
        return self._clock.uptime()

    def now(self) -> dt.datetime:
        """Return the wall time."""
        return self._clock.now()

    async def sleep(self, delay: dt.timedelta) -> None:
        """Wait for a delay, and then until the process is not paused."""
        await self._clock.sleep(delay)
        await self.running.wait()


class _Simulation:
    """The stored record, the received reports and the faults of a history."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        #: The duty's record, the only object in the store.
        self.stored: StoredObject | None = None
        #: Reports that reached the receiver, in order.
        self.received: list[Received] = []
        #: Reporter of the current process under each name.
        self.reporters: dict[str, UsageReporter] = {}
        #: Usage count that was read last; it grows with each read.
        self.usage_count = 0

    def draw_fault(self) -> bool:
        """Return whether a fault occurs, drawn at random."""
        return self.rng.random() < _FAULT_PROBABILITY

    def write(self, spec: bytes, at: Revision) -> StoredObject | Conflict:
        """Write the object if it is at a revision; 0 if it does not exist."""
        known = Revision(0) if self.stored is None else self.stored.revision
        if known != at:
            return Conflict(self.stored)
        if self.stored is not None and self.stored.spec == spec:
            # A write that changes nothing does not raise the revision.
            return self.stored
        self.stored = StoredObject('usage', Revision(known + 1), spec)
        return self.stored


class _ModelObjectClient:
    """Store client of one process."""

    def __init__(self, simulation: _Simulation, clock: _PausableClock) -> None:
        self._simulation = simulation
        self._clock = clock

    async def get(self, kind: str, name: str) -> StoredObject | Outcome:
        """Return the only object, whatever its name."""
        await self._delay_call()
        if self._simulation.draw_fault():
            return Outcome.NOT_DONE
        return self._simulation.stored or Outcome.ABSENT

    async def create(
        self, kind: str, name: str, spec: bytes
    ) -> StoredObject | Conflict | Outcome:
        """Create the object if it does not exist."""
        return await self._write(spec, Revision(0))

    async def replace(
        self, kind: str, name: str, spec: bytes, at: Revision
    ) -> StoredObject | Conflict | Outcome:
        """Replace the object if it is at the given revision."""
        return await self._write(spec, at)

    async def _write(
        self, spec: bytes, at: Revision
    ) -> StoredObject | Conflict | Outcome:
        await self._delay_call()
        if self._simulation.draw_fault():
            delay_s = self._simulation.rng.uniform(0, _MAX_LATE_S)
            asyncio.get_running_loop().call_later(
                delay_s, self._simulation.write, spec, at
            )
            return Outcome.UNCLEAR
        found = self._simulation.write(spec, at)
        await self._delay_call()
        return Outcome.UNCLEAR if self._simulation.draw_fault() else found

    async def _delay_call(self) -> None:
        await asyncio.sleep(self._simulation.rng.uniform(0, _MAX_STORE_DELAY_S))
        await self._clock.running.wait()


class _ModelReceiver:
    """Receiver client of one process."""

    def __init__(self, simulation: _Simulation, clock: _PausableClock) -> None:
        self._simulation = simulation
        self._clock = clock

    async def send(
        self, record: DutyRecord, report: UsageReport, timeout: dt.timedelta
    ) -> Receipt:
        """Deliver a report within its timeout, unless a fault loses it."""
        delay_s = self._simulation.rng.uniform(0, timeout.total_seconds())
        await asyncio.sleep(delay_s)
        if not self._clock.running.is_set():
            # A report on its way while the process is paused is lost: it is
            # not delivered when the process is resumed, and does not count.
            await self._clock.running.wait()
            return Receipt.OPEN
        if self._simulation.draw_fault():
            return Receipt.OPEN
        self._simulation.received.append(
            Received(
                record.holder,
                record.token,
                report.window,
                {
                    str(account): count
                    for account, count in report.counts.items()
                },
                asyncio.get_running_loop().time(),
            )
        )
        return Receipt.OPEN if self._simulation.draw_fault() else Receipt.TAKEN


class _ModelPeers:
    """The other processes; announcements to them may be lost."""

    settled = True

    def __init__(self, simulation: _Simulation, name: str) -> None:
        self._simulation = simulation
        self._name = name

    def turn(self, known: KnownRecord | None) -> int:
        """Return the number of processes that take the duty over earlier."""
        holder = None if known is None else known.record.holder
        order = [name for name in _PROCESS_NAMES if name != holder]
        return order.index(self._name) if self._name in order else 0

    def announce(self, known: KnownRecord) -> None:
        """Send the record to the others; a fault loses some of the messages."""
        for name, reporter in self._simulation.reporters.items():
            if name != self._name and not self._simulation.draw_fault():
                reporter.learn(known.record, known.revision)


class _GrowingUsage(CollectedUsage):
    """Usage counts that differ at each read.

    Two reports of one window therefore agree only if the second one repeats
    what was decided for the first.
    """

    def __init__(self, simulation: _Simulation) -> None:
        super().__init__()
        self._simulation = simulation
        self._seed = simulation.rng.random()

    def counts(self, window: UsageWindow) -> dict[AccountId, int]:
        """Return counts that no other read returns."""
        self._simulation.usage_count += 1
        return {AccountId('ant'): self._simulation.usage_count}

    def unfinished_entries(
        self, window: UsageWindow, since: dt.timedelta
    ) -> frozenset[NodeId]:
        """Return an entry whose counts are missing; none in some periods."""
        period = int(asyncio.get_running_loop().time() / _STALL_PERIOD_S)
        is_missing = (
            random.Random(f'{self._seed} {period}').random() < _EVEN_PROBABILITY
        )
        return frozenset((NodeId('x'),)) if is_missing else frozenset()


class _ReporterProcess:
    """One process that runs a usage reporter."""

    def __init__(
        self, simulation: _Simulation, name: str, clock: Clock
    ) -> None:
        self._simulation = simulation
        self._name = name
        self.clock = _PausableClock(clock)
        boot = str(simulation.rng.random())
        counter = UsageCounter(
            self.clock, _DUTY_SETTINGS.usage_window, NodeId(name), boot
        )
        client = _ModelObjectClient(simulation, self.clock)
        self.reporter = UsageReporter(
            UsageCounts(counter, _GrowingUsage(simulation)),
            DutyStore(client, self.clock),  # type: ignore[arg-type]
            _ModelReceiver(simulation, self.clock),  # type: ignore[arg-type]
            _ModelPeers(simulation, name),  # type: ignore[arg-type]
            _DUTY_SETTINGS,
            self.clock,
        )
        simulation.reporters[name] = self.reporter
        self._task = asyncio.create_task(self.reporter.run(_are_reports_wanted))

    def kill(self) -> None:
        """End the process at once."""
        self._task.cancel()


def play_duty(seed: int) -> DutyHistory:
    """Run the history of a seed in virtual time, and return its result."""
    return run_virtual(_play_history(seed))


async def _play_history(seed: int) -> DutyHistory:
    simulation = _Simulation(random.Random(seed))
    clock = virtual_clock()
    await asyncio.gather(
        *(_run_process(simulation, name, clock) for name in _PROCESS_NAMES)
    )
    return DutyHistory(
        broken_promises(simulation.received, simulation.received, _LEASE_S),
        len({report.window for report in simulation.received}),
        len({report.holder for report in simulation.received}),
    )


async def _run_process(
    simulation: _Simulation, name: str, clock: Clock
) -> None:
    """Run a process that is paused, killed and restarted at random times."""
    loop = asyncio.get_running_loop()
    process = _ReporterProcess(simulation, name, clock)
    while loop.time() < _HISTORY_S:
        await asyncio.sleep(simulation.rng.uniform(0, _HISTORY_S / 2))
        if simulation.rng.random() < _EVEN_PROBABILITY:
            process.clock.running.clear()
            await asyncio.sleep(simulation.rng.uniform(0, _MAX_PAUSE_S))
            process.clock.running.set()
        else:
            process.kill()
            await asyncio.sleep(simulation.rng.uniform(0, 2))
            process = _ReporterProcess(simulation, name, clock)
    process.kill()


def _are_reports_wanted() -> bool:
    return True
