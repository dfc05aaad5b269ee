"""What leases cost the store, and how long a job is without a holder."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Final

from benchmarks._store_report import Row
from bergamotdoor.clock import LoopClock
from bergamotdoor.entry.lease_keeper import LeaseKeeper
from bergamotdoor.membership.lease_terms import Holder
from bergamotdoor.standins.memory_store import MemoryObjectStore
from bergamotdoor.standins.object_api import CallKind, ObjectTable
from bergamotdoor.types import EntryId, Incarnation

if TYPE_CHECKING:
    from bergamotdoor.store.protocols import StoredObject, StoreFailure
    from bergamotdoor.types import ObjectVersion

LEASES: Final = 13
WAITERS: Final = 2
MINUTES: Final = 10
TAKEOVERS: Final = 200
#: The platform takes several hundred writes a second.
PLATFORM_WRITES_PER_SECOND: Final = 300

_SECONDS_PER_MINUTE: Final = 60
_SETTLE_S: Final = 30
_FOREVER_S: Final = 3600


class CutStore(MemoryObjectStore):
    """A store that a crashed process no longer reaches."""

    cut = False

    async def read(self, kind: str, name: str) -> StoredObject | StoreFailure:
        """Read, or hang once cut."""
        await self._pass()
        return await super().read(kind, name)

    async def write(
        self, kind: str, name: str, body: bytes, expected: ObjectVersion
    ) -> StoredObject | StoreFailure:
        """Write, or hang once cut."""
        await self._pass()
        return await super().write(kind, name, body, expected)

    async def _pass(self) -> None:
        if self.cut:
            await asyncio.sleep(_FOREVER_S)


class Entry:
    """A process that wants leases."""

    def __init__(self, table: ObjectTable, name: str, seed: int) -> None:
        clock = LoopClock()
        self.store = CutStore(table, clock)
        self.keeper = LeaseKeeper(
            self.store,
            Holder(EntryId(name), Incarnation('1')),
            clock,
            random.Random(f'{name}{seed}'),
        )


async def lease_calls(seed: int) -> list[Row]:
    """Count the calls of 13 leases with one holder and two waiters each.

    That is 9 trainers and 4 services whose weights are rolled out.
    """
    table = ObjectTable()
    names = [f'lease-{number}' for number in range(LEASES)]
    keepers = [
        Entry(table, f'entry-{number}', seed).keeper
        for number in range(WAITERS + 1)
    ]
    for keeper in keepers:
        await keeper.start()
        for name in names:
            keeper.want(name, wanted=True)
    await asyncio.sleep(_SETTLE_S)
    table.calls.clear()
    await asyncio.sleep(MINUTES * _SECONDS_PER_MINUTE)
    writes = table.calls[CallKind.WRITE] / MINUTES
    reads = table.calls[CallKind.READ] / MINUTES
    await asyncio.gather(*(stopping.stop() for stopping in keepers))
    return _lease_rows(writes, reads)


def _lease_rows(writes: float, reads: float) -> list[Row]:
    per_second = writes / _SECONDS_PER_MINUTE
    share = per_second / PLATFORM_WRITES_PER_SECOND
    return [
        Row('writes per held lease', writes / LEASES, '1/min', 21),
        Row('reads per waiter', reads / LEASES / WAITERS, '1/min', 21),
        Row(f'writes of {LEASES} leases', per_second, '1/s', 5),
        Row('their share of 300 writes/s', share, '', 0.02),
    ]


async def takeover(seed: int) -> list[Row]:
    """Measure how long a lease is without a holder."""
    crashes = [
        await _handover(seed * TAKEOVERS + run, True)
        for run in range(TAKEOVERS)
    ]
    releases = [
        await _handover(seed * TAKEOVERS + run, False)
        for run in range(TAKEOVERS)
    ]
    mean = sum(crashes) / TAKEOVERS
    return [
        Row('no holder after a crash, mean', mean, 's', 13),
        Row('no holder after a crash, worst', max(crashes), 's', 15),
        Row('no holder after a release, worst', max(releases), 's', 5),
    ]


async def _handover(seed: int, crashes: bool) -> float:
    table = ObjectTable()
    entries = [Entry(table, name, seed) for name in ('first', 'second')]
    for entry in entries:
        await entry.keeper.start()
        entry.keeper.want('lease', wanted=True)
        await asyncio.sleep(random.Random(seed).uniform(5, 15))
    first, second = entries
    loop = asyncio.get_running_loop()
    started = loop.time()
    first.store.cut = crashes
    first.keeper.want('lease', wanted=crashes)
    while second.keeper.token('lease') is None:
        await asyncio.sleep(0.05)
    took = loop.time() - started
    await asyncio.gather(*(stopping.keeper.stop() for stopping in entries))
    return took
