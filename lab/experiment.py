"""Runs scenarios in virtual time and measures what users would see."""

from __future__ import annotations

import asyncio
import importlib
import random
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from lab.site import Site, play
from lab.upstreams import register

if TYPE_CHECKING:
    from collections.abc import Iterator

    from lab.scenario import Scenario

_MS_PER_S: Final = 1000
#: How much the lengths of items vary, and how much longer long ones are.
_SPREAD: Final = 0.8
_LONG_FACTOR: Final = 5
#: A step that is not whole by then counts as this long.
_STEP_TIMEOUT_S: Final = 30
_REGISTER_S: Final = 0.3


class Measured(msgspec.Struct):
    """What one run of a scenario gave."""

    scenario: str
    seed: int
    #: From asking a step until it was read whole.
    steps_s: list[float] = []
    calls_ms: list[float] = []
    failed_calls: int = 0
    store_calls: int = 0


def run_scenario(scenario: Scenario, seed: int) -> Measured:
    """Play a scenario; the same seed gives the same run.

    Raises
    ------
    AttributeError
        A change names something that does not exist.
    """
    before = dict(_change(scenario.changes))
    try:
        return _Run(scenario, seed).play()
    finally:
        dict(_change(before))


def _change(changes: dict[str, float]) -> Iterator[tuple[str, float]]:
    """Set numbers of the product, and yield what they were."""
    for path, number in changes.items():
        module_name, _, name = path.rpartition('.')
        module = importlib.import_module(module_name)
        before = getattr(module, name)
        setattr(module, name, type(before)(number))
        yield path, before


class _Run:
    """Trainers and callers of one scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._measured = Measured(scenario.name, seed)
        self._site = Site()

    def play(self) -> Measured:
        """Run to the end in virtual time."""
        play(self._scene)
        return self._measured

    async def _scene(self, site: Site) -> None:
        self._site = site
        scenario = self._scenario
        await site.start(scenario.engines, 2, scenario.entries)
        for name, engine in tuple(site.engines.items()):
            engine.event_s = scenario.event_ms / _MS_PER_S
            await site.add_agent(f'side-{name}', engine)
        keeping = [
            asyncio.create_task(self._register()),
            asyncio.create_task(self._slow_down()),
        ]
        await asyncio.gather(
            self._call(),
            *(self._train(number) for number in range(scenario.trainers)),
        )
        for task in keeping:
            task.cancel()
        await asyncio.gather(*keeping, return_exceptions=True)
        self._measured.store_calls = len(site.store.calls)

    async def _train(self, trainer: int) -> None:
        scenario = self._scenario
        count = int(scenario.duration_s / scenario.every_s)
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(self._step(f'job-{trainer}-{number}'))
                await asyncio.sleep(scenario.every_s)

    async def _step(self, job: str) -> None:
        site = self._site
        loop = asyncio.get_running_loop()
        began = loop.time()
        lengths = [
            [self._length() for _ in range(self._scenario.group_size)]
            for _ in range(self._scenario.groups)
        ]
        entry = self._rng.choice(tuple(site.entries))
        await site.submit(entry, job, lengths)
        await site.all_results(entry, job, within_s=_STEP_TIMEOUT_S)
        self._measured.steps_s.append(round(loop.time() - began, 3))

    async def _call(self) -> None:
        scenario = self._scenario
        loop = asyncio.get_running_loop()
        for number in range(int(scenario.duration_s * scenario.calls_per_s)):
            began = loop.time()
            entry = self._rng.choice(tuple(self._site.entries))
            name = f'call-{number}'
            reply = await self._site.ask(
                entry, 'GET', f'/book/{name}', Request_Id=name
            )
            took_ms = (loop.time() - began) * _MS_PER_S
            if reply is None or reply.status != HTTPStatus.OK:
                self._measured.failed_calls += 1
            self._measured.calls_ms.append(round(took_ms, 1))
            await asyncio.sleep(self._rng.expovariate(scenario.calls_per_s))

    async def _register(self) -> None:
        """Register engines again when their weights have changed."""
        while True:
            for engine in self._site.engines.values():
                register(self._site.store, engine)
            await asyncio.sleep(_REGISTER_S)

    async def _slow_down(self) -> None:
        scenario = self._scenario
        if scenario.slow_at_s:
            await asyncio.sleep(scenario.slow_at_s)
            first = next(iter(self._site.engines.values()))
            first.event_s *= scenario.slow_factor

    def _length(self) -> int:
        scenario = self._scenario
        length = scenario.mean_events * self._rng.lognormvariate(0, _SPREAD)
        if self._rng.random() < scenario.long_share:
            length *= _LONG_FACTOR
        return max(1, min(round(length), scenario.most_events))
