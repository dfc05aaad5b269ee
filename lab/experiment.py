"""Runs of scenarios in virtual time, and measurements of them."""

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
#: The sigma of the log-normal distribution of items' lengths, and how many
#: times longer a long item is.
_LENGTH_SIGMA: Final = 0.8
_LONG_FACTOR: Final = 5
#: A step that is not complete by then is recorded with this duration.
_STEP_TIMEOUT_S: Final = 30
_REGISTER_INTERVAL_S: Final = 0.3


class Measured(msgspec.Struct):
    """Measurements of one run of a scenario, as users would see them."""

    scenario: str
    seed: int
    #: From the submission of each step until all its results were read.
    steps_s: list[float] = []
    calls_ms: list[float] = []
    failed_calls: int = 0
    store_calls: int = 0


def run_scenario(scenario: Scenario, seed: int) -> Measured:
    """Run a scenario; the same seed always gives the same run.

    Raises
    ------
    AttributeError
        ``scenario.changes`` names a constant that does not exist.
    """
    before = dict(_set_constants(scenario.changes))
    try:
        return _ScenarioRun(scenario, seed).run()
    finally:
        dict(_set_constants(before))


def _set_constants(changes: dict[str, float]) -> Iterator[tuple[str, float]]:
    """Set constants of the product; yield their previous values."""
    for path, number in changes.items():
        module_name, _, name = path.rpartition('.')
        module = importlib.import_module(module_name)
        before = getattr(module, name)
        setattr(module, name, type(before)(number))
        yield path, before


class _ScenarioRun:
    """One run of a scenario, with its trainers and callers."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._measured = Measured(scenario.name, seed)
        self._site = Site()

    def run(self) -> Measured:
        """Run the scenario in virtual time; return the measurements."""
        play(self._run_load)
        return self._measured

    async def _run_load(self, site: Site) -> None:
        self._site = site
        scenario = self._scenario
        await site.start(scenario.engines, 2, scenario.entries)
        for name, engine in tuple(site.engines.items()):
            engine.event_s = scenario.event_ms / _MS_PER_S
            await site.add_agent(f'side-{name}', engine)
        background = [
            asyncio.create_task(self._keep_registered()),
            asyncio.create_task(self._slow_first_engine()),
        ]
        await asyncio.gather(
            self._send_calls(),
            *(self._run_trainer(number) for number in range(scenario.trainers)),
        )
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        self._measured.store_calls = len(site.store.calls)

    async def _run_trainer(self, trainer: int) -> None:
        scenario = self._scenario
        count = int(scenario.duration_s / scenario.every_s)
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(self._run_step(f'job-{trainer}-{number}'))
                await asyncio.sleep(scenario.every_s)

    async def _run_step(self, job: str) -> None:
        site = self._site
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        lengths = [
            [self._draw_length() for _ in range(self._scenario.group_size)]
            for _ in range(self._scenario.groups)
        ]
        entry = self._rng.choice(tuple(site.entries))
        await site.submit(entry, job, lengths)
        await site.all_results(entry, job, within_s=_STEP_TIMEOUT_S)
        self._measured.steps_s.append(round(loop.time() - started_s, 3))

    async def _send_calls(self) -> None:
        scenario = self._scenario
        loop = asyncio.get_running_loop()
        for number in range(int(scenario.duration_s * scenario.calls_per_s)):
            started_s = loop.time()
            entry = self._rng.choice(tuple(self._site.entries))
            name = f'call-{number}'
            reply = await self._site.ask(
                entry, 'GET', f'/book/{name}', Request_Id=name
            )
            took_ms = (loop.time() - started_s) * _MS_PER_S
            if reply is None or reply.status != HTTPStatus.OK:
                self._measured.failed_calls += 1
            self._measured.calls_ms.append(round(took_ms, 1))
            await asyncio.sleep(self._rng.expovariate(scenario.calls_per_s))

    async def _keep_registered(self) -> None:
        """Register engines again whenever their weights have changed."""
        while True:
            for engine in self._site.engines.values():
                register(self._site.store, engine)
            await asyncio.sleep(_REGISTER_INTERVAL_S)

    async def _slow_first_engine(self) -> None:
        scenario = self._scenario
        if scenario.slow_at_s:
            await asyncio.sleep(scenario.slow_at_s)
            first = next(iter(self._site.engines.values()))
            first.event_s *= scenario.slow_factor

    def _draw_length(self) -> int:
        scenario = self._scenario
        length = scenario.mean_events * self._rng.lognormvariate(
            0, _LENGTH_SIGMA
        )
        if self._rng.random() < scenario.long_share:
            length *= _LONG_FACTOR
        return max(1, min(round(length), scenario.most_events))
