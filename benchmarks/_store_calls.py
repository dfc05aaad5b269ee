"""What configuration and idempotency claims cost, and how long calls take."""

from __future__ import annotations

import asyncio
import datetime as dt
import random
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Final

from benchmarks._store_report import Row
from bergamotdoor.clock import LoopClock
from bergamotdoor.http.client import HttpClient
from bergamotdoor.observe.metrics import Metrics, Stage
from bergamotdoor.settings.document import Address
from bergamotdoor.settings.process import PlatformSettings
from bergamotdoor.standins.object_api import ObjectApiDaemon, ObjectTable
from bergamotdoor.standins.platform_settings import ObjectApiSettings
from bergamotdoor.store.object_api import HttpObjectStore
from bergamotdoor.store.protocols import StoredObject, StoreProblem
from bergamotdoor.types import ABSENT, ServiceId

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bergamotdoor.store.protocols import ObjectStore


#: Where the store listens in virtual time.
VIRTUAL: Final = Address(ip='127.0.0.1', port=7300)
WATCHERS: Final = 8
CLAIMS: Final = 2_000
LOST_EVERY: Final = 100
CALLS: Final = 2_000
RECORDS: Final = 50_000

#: Slower than the process's own bound of calls per second.
_PACE_S: Final = 0.01
_MINUTE: Final = dt.timedelta(minutes=1)
_IDLE_MINUTES: Final = 10
_US_PER_SECOND: Final = 1_000_000


class Site:
    """A store over HTTP and the table behind it."""

    def __init__(self, store: HttpObjectStore, table: ObjectTable) -> None:
        self.store = store
        self.table = table


@asynccontextmanager
async def _site(seed: int, listen: Address) -> AsyncIterator[Site]:
    clock = LoopClock()
    settings = ObjectApiSettings(
        listen=listen, reads_per_second=0, writes_per_second=0, delay_ms=0
    )
    daemon = ObjectApiDaemon.from_config(settings, clock)
    platform = PlatformSettings(object_api=await daemon.start())
    client = HttpClient(clock)
    store = HttpObjectStore.from_config(
        platform, client, clock, random.Random(seed)
    )
    yield Site(store, daemon.standin.table)
    await client.close()
    await daemon.stop()


async def config_calls(seed: int) -> list[Row]:
    """Count the calls of one change of the configuration."""
    async with _site(seed, VIRTUAL) as site:
        await site.store.write('config', 'current', b'1', ABSENT)
        watchers = [
            asyncio.create_task(_follow(site.store)) for _ in range(WATCHERS)
        ]
        changed = await _count_change(site)
        site.table.calls.clear()
        await asyncio.sleep(_IDLE_MINUTES * _MINUTE.total_seconds())
        idle = site.table.calls.total() / _IDLE_MINUTES
        for watcher in watchers:
            watcher.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)
    return [
        Row(f'calls per change, {WATCHERS} watchers', changed, '', 10),
        Row(f'calls of {WATCHERS} idle watchers', idle, '1/min', 9),
    ]


async def _count_change(site: Site) -> int:
    await asyncio.sleep(1)
    site.table.calls.clear()
    found = await site.store.read('config', 'current')
    assert isinstance(found, StoredObject), found
    await site.store.write('config', 'current', b'2', found.version)
    await asyncio.sleep(1)
    return site.table.calls.total()


async def _follow(store: ObjectStore) -> None:
    version = ABSENT
    while True:
        seen = await store.watch('config', 'current', version, _MINUTE)
        if isinstance(seen, StoredObject):
            version = seen.version


async def claim_calls(seed: int) -> list[Row]:
    """Count the calls of an idempotency claim, and of a repeated one."""
    async with _site(seed, VIRTUAL) as site:
        unclear = 0
        for number in range(CLAIMS):
            site.table.faults.lose_answers = int(number % LOST_EVERY == 0)
            made = await site.store.write('claim', str(number), b'x', ABSENT)
            unclear += not isinstance(made, StoredObject)
            await asyncio.sleep(_PACE_S)
        first = site.table.calls.total() / CLAIMS
        site.table.calls.clear()
        await _claim_again(site.store)
        again = site.table.calls.total() / CLAIMS
    return [
        Row('calls per claim, 1 answer in 100 lost', first, '', 1.02),
        Row('claims that stayed unclear', unclear, '', 0),
        Row('calls per repeated claim', again, '', 2),
    ]


async def _claim_again(store: ObjectStore) -> None:
    for number in range(CLAIMS):
        made = await store.write('claim', str(number), b'y', ABSENT)
        assert not isinstance(made, StoredObject)
        assert made.problem is StoreProblem.CONFLICT, made
        await store.read('claim', str(number))
        await asyncio.sleep(_PACE_S)


async def latencies(seed: int) -> list[Row]:
    """Time reads and writes over loopback, and one recorded latency."""
    clock = LoopClock()
    metrics = Metrics()
    async with _site(seed, Address(ip='127.0.0.1', port=0)) as site:
        for number in range(CALLS):
            await asyncio.sleep(_PACE_S / 2)
            started = clock.elapsed()
            await site.store.write('bench', str(number), b'x' * 200, ABSENT)
            written = clock.elapsed()
            await site.store.read('bench', str(number))
            read = clock.elapsed()
            metrics.record(Stage.STORE, written - started, ServiceId('write'))
            metrics.record(Stage.STORE, read - written, ServiceId('read'))
    return [*_percentiles(metrics), _record_cost(metrics)]


def _percentiles(metrics: Metrics) -> list[Row]:
    rows = []
    for found in metrics.snapshot().latencies:
        rows.append(Row(f'{found.service} p50', found.p50_us, 'us', 10_000))
        rows.append(Row(f'{found.service} p99', found.p99_us, 'us', 50_000))
    return rows


def _record_cost(metrics: Metrics) -> Row:
    latency = dt.timedelta(milliseconds=7)
    started = time.perf_counter()
    for _ in range(RECORDS):
        metrics.record(Stage.TOTAL, latency)
    cost = (time.perf_counter() - started) / RECORDS
    return Row('one latency recorded', cost * _US_PER_SECOND, 'us', 20)
