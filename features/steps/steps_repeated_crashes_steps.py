"""Steps for prompts under which engines end, in several steps of a trainer."""

from __future__ import annotations

import asyncio
import functools
import json
import random
from collections import defaultdict
from typing import Any, NamedTuple

from behave import given, then, when

from lab.site import Site, play
from lab.upstreams import register
from lab.wire import JobItem, job_body

GROUPS_PER_STEP = 20
ITEMS_PER_GROUP = 4
STEPS = 9
STEP_INTERVAL_S = 4
#: The share of the steps in which a prompt occurs.
PROMPT_SHARE = 0.7
SLOTS = 16
DOWNTIME_S = 3.2
#: Sends within this time of the third one began before its engine ended.
SAME_MOMENT_S = 0.05


class Send(NamedTuple):
    """A request that reached an engine, and ended it."""

    at_s: float
    engine: str


class CrashingSteps:
    """A site and the steps of a trainer, drawn from a seed.

    Parameters
    ----------
    count
        Number of prompts that end each engine that runs them.
    seed
        Seed of the random numbers.
    """

    def __init__(self, count: int, seed: int) -> None:
        self._paths = [f'/roll/deadly-{number}' for number in range(count)]
        self._rng = random.Random(seed)

    async def __call__(self, site: Site) -> dict[str, list[Send]]:
        """Return the requests for each path that reached an engine."""
        await site.start(engines=5, services=0, entries=3)
        for engine in site.engines.values():
            engine.crashes.targets.update(self._paths)
            engine.crashes.down_s = DOWNTIME_S
            engine.crashes.started_again = functools.partial(
                register, site.store, engine
            )
            spec = engine.registration(slots=SLOTS)
            site.store.put('servers', engine.name, spec)
        await asyncio.sleep(2.5)
        for number in range(STEPS):
            await self._submit(site, f'j{number}')
            await asyncio.sleep(STEP_INTERVAL_S)
        await asyncio.sleep(2 * STEP_INTERVAL_S)
        return self._sends(site)

    async def _submit(self, site: Site, name: str) -> None:
        entry = self._rng.choice(list(site.entries))
        reply = await site.ask(
            entry, 'POST', f'/roll/{name}', self._body(name), Request_Id=name
        )
        assert reply is not None
        assert reply.status == 202, reply

    def _body(self, name: str) -> bytes:
        items = tuple(
            JobItem(
                f'{name}.{group}.{number}',
                self._rng.randint(20, 60),
                f'g{group}',
            )
            for group in range(GROUPS_PER_STEP)
            for number in range(ITEMS_PER_GROUP)
        )
        written = json.loads(job_body('/roll/', items, 1, 1))
        crashing = {
            self._rng.randrange(GROUPS_PER_STEP): path
            for path in self._paths
            if self._rng.random() < PROMPT_SHARE
        }
        for index, item in enumerate(written['items']):
            path = crashing.get(index // ITEMS_PER_GROUP)
            if path is not None:
                item['path'] = path
                prompt = f'a{path}:500,b:16'
                item['headers']['X-Bergamotdoor-Prompt-Prefix'] = prompt
        return json.dumps(written).encode()

    def _sends(self, site: Site) -> dict[str, list[Send]]:
        sends: dict[str, list[Send]] = defaultdict(list)
        for name, engine in site.engines.items():
            for seen in engine.seen:
                if seen.target in self._paths:
                    sends[seen.target].append(Send(round(seen.at_s, 3), name))
        return {path: sorted(listed) for path, listed in sends.items()}


@given("a trainer's steps with {count:d} prompt that ends engines")
@given("a trainer's steps with {count:d} prompts that end engines")
def set_up_prompts(context: Any, count: int) -> None:
    context.count = count


@when('the steps of seeds {first:d} to {last:d} run at a site with 5 engines')
def run_steps(context: Any, first: int, last: int) -> None:
    context.sends = {
        seed: play(CrashingSteps(context.count, seed))
        for seed in range(first, last + 1)
    }


@then(
    'each prompt is sent at most {most:d} times once {ends:d} engines have '
    'ended under it'
)
def check_later_sends(context: Any, most: int, ends: int) -> None:
    too_many = {
        (seed, path): sends
        for seed, by_path in context.sends.items()
        for path, sends in by_path.items()
        if count_later(sends, ends) > most
    }
    assert not too_many, too_many


def count_later(sends: list[Send], ends: int) -> int:
    """Return how many sends came after a number of engines had ended."""
    end_times_s: list[float] = []
    last_ends_s: dict[str, float] = {}
    for send in sends:
        last_end_s = last_ends_s.get(send.engine, -DOWNTIME_S)
        if send.at_s - last_end_s >= DOWNTIME_S:
            last_ends_s[send.engine] = send.at_s
            end_times_s.append(send.at_s)
    if len(end_times_s) < ends:
        return 0
    known_s = end_times_s[ends - 1] + SAME_MOMENT_S
    return len([one for one in sends if one.at_s > known_s])
