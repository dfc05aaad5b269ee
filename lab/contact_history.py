"""Histories of faults in virtual time, judged while the faults go on."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from typing import TYPE_CHECKING, Any, Final

import msgspec

from lab.leaving import Leaving
from lab.manifest_probes import ManifestProbes
from lab.promises import Promise, Promises
from lab.site import Site, play
from lab.virtual_deployment import (
    ENTRIES,
    VirtualCallers,
    VirtualDeployment,
)
from lab.virtual_faults import VirtualFaults
from lab.ways import StoreWay

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterable

_SERVICES: Final = 4


class HistoryResult(msgspec.Struct, frozen=True):
    """What a history has shown."""

    seed: int
    checked: dict[str, int]
    broken: list[str]


def play_history(seed: int, seconds: float) -> HistoryResult:
    """Play the history of a seed."""
    promises = Promises()
    rng = random.Random(seed)
    play(functools.partial(_play_scene, promises, rng, seconds))
    checked = {
        promise.name: promises.checked[promise]
        for promise in (Promise.CURRENT, Promise.LEFT)
    }
    return HistoryResult(seed, checked, promises.broken)


def search_histories(
    seeds: Iterable[int], seconds: float, jobs: int
) -> list[HistoryResult]:
    """Play the histories of some seeds, several at a time."""
    with ProcessPoolExecutor(jobs) as pool:
        return list(
            pool.map(functools.partial(play_history, seconds=seconds), seeds)
        )


def summarize_histories(results: Iterable[HistoryResult]) -> str:
    """Return the totals, and what was broken by seed."""
    checked: Counter[str] = Counter()
    lines: list[str] = []
    count = 0
    for found in results:
        count += 1
        checked.update(found.checked)
        lines.extend(f'seed {found.seed}: {line}' for line in found.broken)
    totals = ', '.join(f'{name} {sum_}' for name, sum_ in checked.items())
    summary = f'{count} histories, checks: {totals}; {len(lines)} broken'
    return '\n'.join((*lines, summary))


async def _play_scene(
    promises: Promises, rng: random.Random, seconds: float, site: Site
) -> None:
    ways = {name: StoreWay(site, name) for name in ENTRIES}
    for way in ways.values():
        await way.start()
    async with contextlib.AsyncExitStack() as ends:
        for opened in ways.values():
            ends.push_async_callback(opened.stop)
        await site.start(engines=0, services=_SERVICES, entries=len(ENTRIES))
        deployment = VirtualDeployment(site)
        probes = ManifestProbes(deployment, promises, site.clock)
        ends.push_async_callback(probes.close)
        callers = VirtualCallers(site, deployment.entries)
        ends.push_async_callback(callers.close)
        leaving = Leaving(deployment, rng)
        leaving.register_others()
        faults = VirtualFaults(deployment, ways, site.entries, leaving, rng)
        watching = deployment.contact.watch(site.store)
        await _run_beside(
            faults.run(seconds), probes.run(), callers.run(), watching
        )
        leaving.check(promises, callers.sent)


async def _run_beside(
    main: Coroutine[Any, Any, None], *others: Coroutine[Any, Any, None]
) -> None:
    """Run a coroutine beside others, which are cancelled at its end."""
    background = [asyncio.create_task(other) for other in others]
    await main
    for task in background:
        task.cancel()
    await asyncio.gather(*background, return_exceptions=True)
