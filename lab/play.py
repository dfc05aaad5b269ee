"""One run of a deployment: clients at work, faults, and what is checked."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import shutil
import tempfile
import time
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.gateway.inspection import STATE_PATH
from lab.callers import Callers
from lab.client import Call
from lab.deployment import Deployment, Size, new_client
from lab.faults import RANDOM, Fault, Faults, Harm
from lab.promises import Promise, Promises
from lab.readers import Readers
from lab.trainer import Trainer

if TYPE_CHECKING:
    from bergamotdoor.settings.document import Address
    from lab.processes import ProductProcess

_LOOK_S: Final = 0.25
#: From the end of the last fault until all is well again; the longest rest
#: of an upstream that failed often is 8 s, a step 4 s.
_RECOVERY_S: Final = 60


class Outcome(msgspec.Struct, frozen=True):
    """What a run found."""

    seed: int
    seconds: float
    calls: int
    steps: int
    #: Connections between entries, which all go over proxies.
    led: int
    faults: dict[str, int]
    checked: dict[str, int]
    broken: list[str]
    #: All promises, as a table.
    report: str
    #: Settings and logs, kept if a promise broke.
    folder: str


async def play(seed: int, size: Size, harm: Harm) -> Outcome:
    """Run a deployment, do it harm, wait until all is well again.

    Parameters
    ----------
    seed
        Draws everything but the timing of the machine.
    size
        How many entries, engines and services.
    harm
        Does the faults; returns once they are over.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'lab-{seed}-'))
    began = time.monotonic()
    run = _Run(seed, folder, size)
    try:
        await run.play(harm)
    finally:
        await run.stop()
    outcome = run.outcome(time.monotonic() - began)
    if not outcome.broken:
        shutil.rmtree(folder, ignore_errors=True)
    return outcome


async def soak(
    seed: int, seconds: float, size: Size, kinds: tuple[Fault, ...] = RANDOM
) -> Outcome:
    """Run a deployment under faults of these kinds, drawn from `seed`."""
    return await play(seed, size, lambda faults: faults.run(seconds, kinds))


class _Run:
    """One deployment, its clients and its faults."""

    def __init__(self, seed: int, folder: pathlib.Path, size: Size) -> None:
        rng = random.Random(seed)
        self._seed = seed
        self._folder = folder
        self._promises = Promises()
        self._deployment = Deployment(folder, seed, size)
        # Each draws from its own source, so that one does not shift another.
        self._callers = Callers(
            self._deployment, self._promises, random.Random(rng.random())
        )
        self._trainer = Trainer(
            self._deployment,
            self._promises,
            random.Random(rng.random()),
            size.groups,
        )
        self._faults = Faults(
            self._deployment, self._promises, random.Random(rng.random())
        )
        self._readers = Readers(
            self._deployment,
            self._trainer,
            random.Random(rng.random()),
        )
        self._client = new_client()
        #: The manifest that each process was last seen with.
        self._seen: dict[str, int] = {}

    async def play(self, harm: Harm) -> None:
        """Let clients work under faults, then wait until all is well."""
        await self._deployment.start()
        background = [
            asyncio.create_task(self._callers.run()),
            asyncio.create_task(self._watch_manifests()),
            asyncio.create_task(self._readers.run()),
        ]
        training = asyncio.create_task(self._trainer.run())
        try:
            await harm(self._faults)
            self._trainer.ending = True
            await self._recover(training)
        finally:
            for task in (*background, training):
                task.cancel()
            await asyncio.gather(*background, training, return_exceptions=True)
        await self._trainer.check_again()

    async def stop(self) -> None:
        """End everything; check what ran at the upstreams."""
        # First of all: nothing that was started may be left behind.
        await self._deployment.stop()
        await self._callers.close()
        await self._trainer.close()
        await self._client.close()
        self._check_orders()

    def outcome(self, seconds: float) -> Outcome:
        """Return what was found."""
        promises = self._promises
        deployment = self._deployment
        names = [entry.name for entry in deployment.entries]
        return Outcome(
            seed=self._seed,
            seconds=round(seconds, 1),
            calls=self._callers.answered,
            steps=self._trainer.whole,
            led=sum(
                way.accepted for way in deployment.ways_between(names, names)
            ),
            faults={
                fault.name: count for fault, count in self._faults.done.items()
            },
            checked={
                promise.name: promises.checked[promise] for promise in Promise
            },
            broken=promises.broken,
            report=promises.report(),
            folder=str(self._folder),
        )

    async def _recover(self, training: asyncio.Task[None]) -> None:
        """Wait for all that has to be well again after the faults."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RECOVERY_S):
                await training
                while not self._well():
                    await asyncio.sleep(_LOOK_S)
        for step in self._trainer.steps:
            self._promises.check(Promise.COMPLETE, step.whole, step.progress())
        for name, generation in self._seen.items():
            self._promises.check(
                Promise.NEWEST,
                generation == self._deployment.generation,
                f'{name} has manifest {generation}',
            )
        for engine in self._deployment.engines:
            self._promises.check(
                Promise.WEIGHTS,
                engine.version == self._deployment.version,
                f'{engine.name} has {engine.version}',
            )

    def _well(self) -> bool:
        deployment = self._deployment
        newest = all(
            self._seen.get(entry.name) == deployment.generation
            for entry in deployment.entries
        )
        return newest and all(
            engine.version == deployment.version
            for engine in deployment.engines
        )

    def _check_orders(self) -> None:
        for engine in self._deployment.engines:
            versions = [order['version'] for order in engine.orders]
            self._promises.check(
                Promise.ORDERS,
                versions == sorted(versions),
                f'{engine.name}: {versions}',
            )

    async def _watch_manifests(self) -> None:
        while True:
            for entry in self._deployment.entries:
                if entry.running:
                    await self._look_at(entry)
            await asyncio.sleep(_LOOK_S)

    async def _look_at(self, entry: ProductProcess) -> None:
        generation = await self._generation(entry.inspection)
        if generation is None:
            return
        before = self._seen.get(entry.name, 0)
        self._seen[entry.name] = generation
        self._promises.check(
            Promise.MANIFEST,
            generation >= before,
            f'{entry.name}: {generation} after {before}',
        )

    async def _generation(self, address: Address) -> int | None:
        reply = await self._client.send(
            address, Call('GET', STATE_PATH, idempotent=True)
        )
        if reply is None:
            return None
        found = reply.json['gateway']['generation']
        return None if found is None else int(found)
