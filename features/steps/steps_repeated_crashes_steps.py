"""Steps for engines that end in bursts, in several steps of a trainer."""

from __future__ import annotations

import asyncio
import functools
import random
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from lab.site import Site, play
from lab.upstreams import register
from lab.wire import JobItem, job_body

if TYPE_CHECKING:
    from collections.abc import Iterator

GROUPS_PER_STEP = 10
ITEMS_PER_GROUP = 4
#: Groups of each step that the next step has as well, under the same ids.
REPEATED_GROUPS = 4
STEPS = 5
STEP_INTERVAL_S = 4
SLOTS = 16
DOWNTIME_S = 0.4
BURSTS_S = (5, 11, 17)
CRASHES_PER_BURST = 5
#: Share of the engines that end at once.
CRASH_SHARE = 0.3
WAIT_AFTER_BURSTS_S = 15


class UnluckySteps:
    """A site and the steps of a trainer, drawn from a seed.

    Parameters
    ----------
    seed
        Seed of the random numbers.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)

    async def __call__(self, site: Site) -> dict[str, str]:
        """Return the states of all items at the end, by job and item."""
        await site.start(engines=5, services=0, entries=3)
        for engine in site.engines.values():
            engine.crashes.down_s = DOWNTIME_S
            engine.crashes.started_again = functools.partial(
                register, site.store, engine
            )
            spec = engine.registration(slots=SLOTS)
            site.store.put('servers', engine.name, spec)
        await asyncio.sleep(2.5)
        await asyncio.gather(self._submit_steps(site), self._end_engines(site))
        await asyncio.sleep(WAIT_AFTER_BURSTS_S)
        states = {}
        for number in range(STEPS):
            for result in await site.all_results('entry-0', f'j{number}', 2):
                states[f'j{number}/{result["id"]}'] = result['state']
        return states

    async def _submit_steps(self, site: Site) -> None:
        for number in range(STEPS):
            name = f'j{number}'
            body = job_body(
                '/roll/', self._step_items(number), 1, GROUPS_PER_STEP
            )
            reply = await site.ask(
                self._rng.choice(list(site.entries)),
                'POST',
                f'/roll/{name}',
                body,
                Request_Id=name,
            )
            assert reply is not None
            assert reply.status == 202, reply
            await asyncio.sleep(STEP_INTERVAL_S)

    def _step_items(self, step: int) -> Iterator[JobItem]:
        for item in item_ids(step):
            group = item.rpartition('.')[0]
            yield JobItem(item, self._rng.randint(20, 60), group)

    async def _end_engines(self, site: Site) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for burst_s in BURSTS_S:
            await asyncio.sleep(began_s + burst_s - loop.time())
            for _ in range(CRASHES_PER_BURST):
                self._end_some(site)
                await asyncio.sleep(DOWNTIME_S)

    def _end_some(self, site: Site) -> None:
        for engine in site.engines.values():
            if self._rng.random() < CRASH_SHARE:
                engine.crashes.begin(engine)


def item_ids(step: int) -> Iterator[str]:
    """Yield the ids of a step's items; some groups are of the step before."""
    first_group = step * (GROUPS_PER_STEP - REPEATED_GROUPS)
    for group in range(first_group, first_group + GROUPS_PER_STEP):
        for number in range(ITEMS_PER_GROUP):
            yield f'{group}.{number}'


@given('the steps of a trainer, in which some items come again')
def set_up_steps(context: Any) -> None:
    context.expected = {
        f'j{step}/{item}' for step in range(STEPS) for item in item_ids(step)
    }


@when(
    'they run with seeds {first:d} to {last:d}, and engines end in three bursts'
)
def run_steps(context: Any, first: int, last: int) -> None:
    context.states = {
        seed: play(UnluckySteps(seed)) for seed in range(first, last + 1)
    }


@then(
    'each item of each step is listed as completed {wait_s:d} s after the last '
    'burst'
)
def check_completed(context: Any, wait_s: int) -> None:
    assert wait_s == WAIT_AFTER_BURSTS_S
    for seed, states in context.states.items():
        missing = context.expected - set(states)
        assert not missing, (seed, sorted(missing))
        assert set(states.values()) == {'completed'}, (seed, states)
