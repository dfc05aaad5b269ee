# flake8: noqa
"""DRAIN: an engine that has left gets calls after its entry was removed.

The store cuts off the watches that wait, as it may. A fifth of a second later
an engine that reports no ``draining`` leaves: its entry is removed, and it
serves on for ``drain_ms`` (2 s) and a little longer. The gateways keep it as
an engine that lapsed with the store, and send it calls for longer than that.
"""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import time

from standin import product
from standin.engines import Engine
from standin.record import Record
from standin.store import Store
from standin.web import Reply, send

HOST = 'desk.example'
SERVICE = 'visitor-log'
DRAIN_S = 2.0
#: How much longer than ``drain_ms`` a leaving engine serves.
LONGER_S = 0.7
ROUNDS = 4
#: Time from the start of a new engine to the cut of the watches.
SETTLE_S = 3.0
#: Time from the cut of the watches to the removal of the engine's entry.
CUT_BEFORE_S = 0.2
ENGINES = 4
CALL_INTERVAL_S = 0.025
WORK_MS = 500
TIMEOUT_MS = 5000

record = Record(pathlib.Path('record.txt'))


@dataclasses.dataclass
class Left:
    """An engine that has left."""

    engine: Engine
    #: When the store removed its entry.
    removed_s: float


class Site:
    """The stand-ins and the gateways of one run."""

    def __init__(self, folder: str) -> None:
        self._addresses = product.Addresses()
        self.store = Store(self._addresses.next(), product.STORE_PORT)
        self.engines: list[Engine] = []
        self.left: list[Left] = []
        self.replies: dict[str, Reply] = {}
        self.gateways = [
            product.Program(
                f'gateway-{number}',
                'gateway',
                zone,
                self._addresses.next(),
                self.store.address,
                folder,
            )
            for number, zone in enumerate(product.ZONES[:3])
        ]

    async def start(self) -> None:
        await self.store.start()
        self.store.put('config', 'main', manifest())
        for _ in range(ENGINES):
            await self.add_engine()
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        await asyncio.sleep(4)

    def stop(self) -> None:
        for gateway in self.gateways:
            gateway.kill()
        for engine in self.engines:
            engine.exit()
        self.store.stop()

    async def add_engine(self) -> None:
        number = len(self.engines)
        engine = Engine(
            f'i-{number}',
            SERVICE,
            self._addresses.next(),
            product.ENGINE_PORT,
            product.ZONES[number % 3],
            record,
        )
        self.engines.append(engine)
        await engine.start()
        self.store.put('servers', engine.name, engine.entry())
        record.add(f'{engine.name} is registered')

    async def replace_engine(self) -> None:
        """Start a new engine, and let the oldest one leave."""
        await self.add_engine()
        await asyncio.sleep(SETTLE_S)
        await self._wait_for_watches()
        if product.has_trouble():
            record.add('store: cuts off the watches of servers that wait')
            self.store.cut_watches('servers')
        await asyncio.sleep(CUT_BEFORE_S)
        oldest = self.engines[len(self.left)]
        removed_s = self.store.remove('servers', oldest.name)
        record.add(f'store: the entry of {oldest.name} is removed')
        self.left.append(Left(oldest, removed_s))
        await asyncio.sleep(DRAIN_S + LONGER_S)
        record.add(f'{oldest.name} exits')
        oldest.exit()

    async def _wait_for_watches(self) -> None:
        """Wait until each gateway has a watch of the engines that waits."""
        async with asyncio.timeout(10):
            while self.store.waiting_watches('servers') < len(self.gateways):
                await asyncio.sleep(0.02)

    async def run_calls(self) -> None:
        """Send calls to all gateways in turn until cancelled."""
        async with asyncio.TaskGroup() as group:
            number = 0
            while True:
                group.create_task(self._call(number))
                number += 1
                await asyncio.sleep(CALL_INTERVAL_S)

    async def _call(self, number: int) -> None:
        name = f'call-{number}'
        gateway = self.gateways[number % len(self.gateways)]
        record.add(f'client: {name} sent to {gateway.name}')
        reply = await send(
            gateway.front,
            'POST',
            f'/book/{name}',
            {
                'X-Bergamotdoor-Request-Id': name,
                'X-Bergamotdoor-Deadline-Ms': str(TIMEOUT_MS),
            },
            str(WORK_MS).encode(),
            limit_s=TIMEOUT_MS / 1000,
            host=HOST,
        )
        self.replies[name] = reply
        record.add(f'client: {name}: {reply.end}, status {reply.status}')


def manifest() -> dict[str, object]:
    route = {
        'name': 'book',
        'host': HOST,
        'path_prefix': '/book/',
        'kind': 'unsafe',
        'service': SERVICE,
        'timeout_ms': TIMEOUT_MS,
        'goal_ms': 1000,
        'max_attempts': 2,
        'priority': 1,
    }
    return {
        'version': 3,
        'routes': [route],
        'services': [{'name': SERVICE}],
        'limits': {},
    }


def count_late(site: Site, left: Left) -> int:
    """Return how many calls reached an engine after it must get no more."""
    late = [
        run
        for run in left.engine.runs
        if run.began_s - left.removed_s > DRAIN_S
    ]
    for run in late:
        reply = site.replies.get(run.request, Reply(end='unknown'))
        record.add(
            f'{run.request} reached {left.engine.name} '
            f'{run.began_s - left.removed_s:.3f} s after its entry was '
            f'removed; {run.end}; its client got {reply.status or reply.end}'
        )
    lost = sum(run.end == 'exit' for run in late)
    record.say(
        f'{left.engine.name}: {len(late)} calls reached it later than '
        f'{DRAIN_S:.0f} s after its entry was removed, {lost} of them were '
        f'cut off by its exit'
    )
    return len(late)


async def case() -> bool:
    with product.temporary_folder() as folder:
        site = Site(folder)
        try:
            await site.start()
            calls = asyncio.ensure_future(site.run_calls())
            for _ in range(ROUNDS):
                await site.replace_engine()
            await asyncio.sleep(1)
            late = [count_late(site, left) for left in site.left]
            calls.cancel()
            await asyncio.gather(calls, return_exceptions=True)
        finally:
            site.stop()
    record.say(f'{sum(map(bool, late))} of {ROUNDS} engines got late calls')
    return any(late)


product.run_case(case, record, 110)
