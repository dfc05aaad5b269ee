"""Steps for bergamotdoor.store.guard."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import msgspec
from behave import given, then, when

from bergamotdoor.http.messages import ClientFailure, ClientRequest
from bergamotdoor.observe.metrics import Metrics
from bergamotdoor.standins.object_api import (
    ObjectApiStandin,
    ObjectFaults,
    ObjectTable,
    Outage,
)
from bergamotdoor.store.guard import CallGuard, GuardLimits
from bergamotdoor.store.object_api import HttpObjectStore
from bergamotdoor.store.protocols import StoredObject, StoreProblem
from bergamotdoor.types import ABSENT
from features.platform_world import KEY, SETTINGS, FaultyClient
from features.support import run_virtual, virtual_clock

OUTAGES = {'refuses': Outage.REFUSE, 'hangs': Outage.HANG}
PAUSE = 0.1


class CountingClient(FaultyClient):
    """Counts the calls in flight and takes a millisecond for each."""

    def __init__(self, standin: ObjectApiStandin) -> None:
        super().__init__(standin, [])
        self.in_flight = 0
        self.most_in_flight = 0
        self.lose_every = 0

    async def send(self, request: ClientRequest) -> Any:
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        try:
            await asyncio.sleep(0.001)
            if self.lose_every and self.sent % self.lose_every == 0:
                self.sent += 1
                return ClientFailure(sent=True, detail='lost')
            return await super().send(request)
        finally:
            self.in_flight -= 1


class World:
    """A process's store on a stand-in that can fail."""

    def __init__(
        self, limits: GuardLimits | None = None, timeout_ms: int = 2000
    ) -> None:
        self.table = ObjectTable(ObjectFaults())
        clock = virtual_clock()
        standin = ObjectApiStandin(clock, self.table, SETTINGS.token)
        self.client = CountingClient(standin)
        chance = random.Random(1)
        self.guard = CallGuard(chance, limits)
        self.metrics = Metrics()
        self.store = HttpObjectStore.from_config(
            msgspec.structs.replace(SETTINGS, timeout_ms=timeout_ms),
            self.client,
            clock,
            chance,
            self.guard,
            self.metrics,
        )
        self.served: dict[int, bool] = {}

    async def ask(self, part: int) -> None:
        while True:
            found = await self.store.read(*KEY)
            self.served[part] = isinstance(found, StoredObject)
            await asyncio.sleep(PAUSE)


@given('a process with {parts:d} parts that read ten times a second each')
def parts(context: Any, parts: int) -> None:
    context.parts = parts
    context.limits = None


@given('its platform guard never opens and never counts')
def no_guard(context: Any) -> None:
    many = 10**9
    context.limits = GuardLimits(
        calls_per_second=many,
        in_flight=many,
        retry_ratio=many,
        retry_reserve=many,
        open_after=many,
    )


@when('the platform {fails} for a minute')
def outage(context: Any, fails: str) -> None:
    async def whole() -> None:
        world = World(context.limits)
        await world.store.write(*KEY, b'', ABSENT)
        tasks = [
            asyncio.create_task(world.ask(part))
            for part in range(context.parts)
        ]
        await asyncio.sleep(5)
        before = world.client.sent
        world.table.faults.outage = OUTAGES[fails]
        await asyncio.sleep(60)
        context.calls = world.client.sent - before
        context.most_in_flight = world.client.most_in_flight
        world.table.faults.outage = Outage.NONE
        await asyncio.sleep(3)
        world.served.clear()
        await asyncio.sleep(2 * PAUSE)
        context.served = list(world.served.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_virtual(whole())


@then('at most {most:d} platform calls were made in the outage')
def few(context: Any, most: int) -> None:
    assert 0 < context.calls <= most, context.calls


@then('more than {least:d} platform calls were made in the outage')
def many(context: Any, least: int) -> None:
    assert context.calls > least, context.calls


@then('at most {most:d} platform calls were in flight at once')
def in_flight(context: Any, most: int) -> None:
    assert context.most_in_flight <= most, context.most_in_flight


@then("every part's platform call is served 3 seconds after the outage")
def served(context: Any) -> None:
    assert context.served == [True for _ in range(context.parts)]


@given('a process that reads {count:d} times while every third call gets lost')
def lossy(context: Any, count: int) -> None:
    async def whole() -> None:
        world = World()
        world.client.lose_every = 3
        for _ in range(count):
            await world.store.read(*KEY)
            await asyncio.sleep(PAUSE)
        context.repeats = world.client.sent - count
        context.metrics = world.metrics.snapshot()

    context.count = count

    run_virtual(whole())


@then('at most {most:d} platform calls were repeats')
def repeats(context: Any, most: int) -> None:
    assert 0 < context.repeats <= most, context.repeats


@given('a platform that takes {rate:d} writes a second')
def limited(context: Any, rate: int) -> None:
    context.rate = rate


@when('{count:d} objects are written at once with 10 seconds of time')
def write_all(context: Any, count: int) -> None:
    async def whole() -> None:
        # A generous budget: this is about waiting, not about repeats.
        limits = GuardLimits(retry_reserve=10 * count)
        world = World(limits, timeout_ms=10_000)
        world.table.faults.writes_per_second = context.rate
        context.written = await asyncio.gather(
            *(
                world.store.write('kind', str(number), b'', ABSENT)
                for number in range(count)
            )
        )
        context.calls = world.client.sent

    context.count = count
    run_virtual(whole())


@then('all were written in at most {most:d} platform calls')
def all_written(context: Any, most: int) -> None:
    done = [item for item in context.written if isinstance(item, StoredObject)]
    assert len(done) == context.count, len(done)
    assert context.calls <= most, context.calls


@given('a process that reads in a loop without a pause for one second')
def flood(context: Any) -> None:
    async def whole() -> None:
        world = World()

        async def loop() -> None:
            while True:
                found = await world.store.read(*KEY)
                assert not isinstance(found, StoredObject)
                if found.problem is StoreProblem.UNAVAILABLE:
                    # Held back at once; the fault goes on anyway.
                    await asyncio.sleep(0.001)

        tasks = [asyncio.create_task(loop()) for _ in range(20)]
        await asyncio.sleep(1)
        context.calls = world.client.sent
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_virtual(whole())


@then('at most {most:d} platform calls were made')
def bounded(context: Any, most: int) -> None:
    assert context.calls <= most, context.calls


@then('the platform metrics hold each read and each problem')
def metrics(context: Any) -> None:
    counts = {row.name: row.count for row in context.metrics.counters}
    assert counts.keys() == {'not-found', 'unavailable'}, counts
    assert sum(counts.values()) == context.count
    assert [row.count for row in context.metrics.latencies] == [context.count]
