"""A run of a deployment with clients, faults and checks."""

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
from lab.deployment import Deployment, Size, new_client
from lab.faults import RANDOM, Fault, Faults, Harm
from lab.promises import Promise, Promises
from lab.readers import Readers
from lab.submitters import Submitters
from lab.trainer import Trainer

if TYPE_CHECKING:
    from bergamotdoor.settings.document import Address
    from lab.processes import ProductProcess

_POLL_INTERVAL_S: Final = 0.25
#: Time limit for the recovery after the last fault. The longest backoff of an
#: upstream that failed often is 8 s, and a step takes 4 s.
_RECOVERY_TIMEOUT_S: Final = 60


class Outcome(msgspec.Struct, frozen=True):
    """The findings of a run."""

    seed: int
    seconds: float
    calls: int
    steps: int
    #: The number of connections between entries; all go through proxies.
    led: int
    faults: dict[str, int]
    checked: dict[str, int]
    broken: list[str]
    #: Jobs of trainers that give up, by how their attempts were answered.
    jobs: dict[str, int]
    #: All promises, as a table.
    report: str
    #: The folder with settings and logs, kept only if a promise was broken.
    folder: str


async def play(seed: int, size: Size, harm: Harm) -> Outcome:
    """Run a deployment, apply faults, and wait until it has recovered.

    Parameters
    ----------
    seed
        The seed of everything but the timing of the machine.
    size
        The numbers of entries, engines, services and groups.
    harm
        A function that applies the faults and returns once they are over.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'lab-{seed}-'))
    started_s = time.monotonic()
    run = _DeploymentRun(seed, folder, size)
    try:
        await run.run_with_faults(harm)
    finally:
        await run.stop()
    outcome = run.outcome(time.monotonic() - started_s)
    if not outcome.broken:
        shutil.rmtree(folder, ignore_errors=True)
    return outcome


async def soak(
    seed: int, seconds: float, size: Size, kinds: tuple[Fault, ...] = RANDOM
) -> Outcome:
    """Run a deployment under faults that are drawn from a seed.

    Parameters
    ----------
    seed
        The seed of the run.
    seconds
        How long new faults begin.
    size
        The numbers of entries, engines, services and groups.
    kinds
        The kinds of faults to draw from.
    """
    return await play(seed, size, lambda faults: faults.run(seconds, kinds))


class _DeploymentRun:
    """A deployment with its clients, faults and checks."""

    def __init__(self, seed: int, folder: pathlib.Path, size: Size) -> None:
        rng = random.Random(seed)
        self._seed = seed
        self._folder = folder
        self._promises = Promises()
        self._deployment = Deployment(folder, seed, size)
        # Each part has its own random source, so that the draws of one part
        # don't change those of another.
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
        self._submitters = Submitters(
            self._deployment, self._promises, random.Random(rng.random())
        )
        self._client = new_client()
        #: The manifest's generation that each entry reported last.
        self._generations: dict[str, int] = {}

    async def run_with_faults(self, apply_faults: Harm) -> None:
        """Run the clients under faults, then wait for the recovery."""
        await self._deployment.start()
        self._faults.leaving.register_others()
        background = [
            asyncio.create_task(self._callers.run()),
            asyncio.create_task(self._watch_manifests()),
            asyncio.create_task(self._readers.run()),
            asyncio.create_task(self._submitters.run()),
        ]
        training = asyncio.create_task(self._trainer.run())
        try:
            await apply_faults(self._faults)
            await self._check_recovery(training)
        finally:
            for task in (*background, training):
                task.cancel()
            await asyncio.gather(*background, training, return_exceptions=True)
        await self._submitters.ask_for_refused_jobs()
        await self._trainer.check_again()

    async def stop(self) -> None:
        """Stop everything; check what ran at the upstreams."""
        # The deployment stops first, so that an error in the other lines
        # leaves no process behind.
        await self._deployment.stop()
        await self._callers.close()
        self._faults.leaving.check(self._promises, self._callers.sent)
        await self._trainer.close()
        await self._submitters.close()
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
                proxy.accepted
                for proxy in deployment.ways_between(names, names)
            ),
            faults={
                fault.name: count for fault, count in self._faults.done.items()
            },
            checked={
                promise.name: promises.checked[promise] for promise in Promise
            },
            jobs=dict(self._submitters.counts()),
            broken=promises.broken,
            report=promises.report(),
            folder=str(self._folder),
        )

    async def _check_recovery(self, training: asyncio.Task[None]) -> None:
        """Wait for the recovery after the faults, then check it."""
        self._trainer.ending = True
        self._submitters.ending = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RECOVERY_TIMEOUT_S):
                await training
                while not self._has_recovered():
                    await asyncio.sleep(_POLL_INTERVAL_S)
        for step in self._trainer.steps:
            self._promises.check(Promise.COMPLETE, step.whole, step.progress())
        for name, generation in self._generations.items():
            self._promises.check(
                Promise.NEWEST,
                generation == self._deployment.manifests.generation,
                f'{name} has manifest {generation}',
            )
        for engine in self._deployment.engines:
            self._promises.check(
                Promise.WEIGHTS,
                engine.version == self._deployment.version,
                f'{engine.name} has {engine.version}',
            )

    def _has_recovered(self) -> bool:
        deployment = self._deployment
        newest = all(
            self._generations.get(entry.name) == deployment.manifests.generation
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
                    await self._check_generation(entry)
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _check_generation(self, entry: ProductProcess) -> None:
        generation = await self._read_generation(entry.inspection)
        if generation is None:
            return
        before = self._generations.get(entry.name, 0)
        self._generations[entry.name] = generation
        self._promises.check(
            Promise.MANIFEST,
            generation >= before,
            f'{entry.name}: {generation} after {before}',
        )

    async def _read_generation(self, address: Address) -> int | None:
        reply = await self._client.get(address, STATE_PATH)
        if reply is None:
            return None
        generation = reply.json['gateway']['generation']
        return None if generation is None else int(generation)
