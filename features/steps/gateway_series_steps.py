"""Steps for entries that stop in quick series, in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
import random
from typing import Any, Final

from behave import given, then

from features.job_scenes import JOB, handed_in
from lab.site import Site, play

_GROUPS: Final = ([60, 60], [80, 80], [5, 5], [120, 30])
_ITEMS: Final = 8
#: What was read at one entry is there at every entry after this.
_SETTLED: Final = dt.timedelta(seconds=1)
#: The shares of bodies, and of bodies and pages, in what is asked.
_BODIES: Final = 0.5
_READS: Final = 0.9
_HALF: Final = 0.5
_STOPPED: Final = 4
_USUAL_S: Final = 0.004
_DENIED: Final = (404, 410)
_OK: Final = 200


class Series:
    """Stops entries and asks all of them."""

    def __init__(self, site: Site, seed: int) -> None:
        self.read: dict[int, Any] = {}
        self.denied: list[tuple[Any, ...]] = []
        self._site = site
        self._rng = random.Random(seed)
        self._read_at: dict[int, dt.timedelta] = {}
        self._down: set[str] = set()

    async def play(self) -> list[dict[str, Any]]:
        """Return the results at the entry that was up all the time."""
        site = self._site
        await site.start(entries=5)
        await handed_in(site, list(_GROUPS))
        asking = [
            asyncio.create_task(self._ask_on(entry))
            for entry in sorted(site.entries)
        ]
        names = sorted(site.entries)
        self._rng.shuffle(names)
        await self._stop_all(names[:_STOPPED])
        await asyncio.sleep(6)
        for task in asking:
            task.cancel()
        return await site.all_results(names[_STOPPED], JOB)

    async def _stop_all(self, names: list[str]) -> None:
        rng, store = self._rng, self._site.store
        stops = []
        for name in names:
            await asyncio.sleep(rng.uniform(0.05, 0.5))
            store.answer_s = rng.choice((_USUAL_S, 0.05, 0.3, 0.5))
            store.list_s = rng.choice((0, 0, 0.5, 1.2))
            stops.append(asyncio.create_task(self._restart(name)))
        await asyncio.sleep(3)
        store.answer_s = _USUAL_S
        store.list_s = 0
        await asyncio.gather(*stops)

    async def _restart(self, name: str) -> None:
        entry = self._site.entries.pop(name)
        if self._rng.random() < _HALF:
            await entry.stop()
        else:
            await entry.kill()
        self._down.add(name)
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        await self._site.add_entry(name)
        self._down.discard(name)

    async def _ask_on(self, entry: str) -> None:
        rng = self._rng
        while True:
            await asyncio.sleep(rng.uniform(0.02, 0.3))
            if entry in self._down:
                continue
            group, number = rng.randrange(len(_GROUPS)), rng.randrange(2)
            kind = rng.random()
            if kind < _BODIES:
                await self._ask_body(entry, f'{JOB}.{group}.{number}')
            elif kind < _READS:
                await self._ask_page(entry)
            else:
                await self._site.submit(entry, JOB, list(_GROUPS))

    async def _ask_body(self, entry: str, item: str) -> None:
        reply = await self._site.ask(entry, 'GET', f'/-/items/{JOB}?id={item}')
        if reply is None or reply.status not in _DENIED:
            return
        stored = self._site.store.table.specs(f'job-{JOB}')
        if not any(
            name.startswith('result') and item in str(spec)
            for name, spec in stored.items()
        ):
            self.denied.append((entry, item))

    async def _ask_page(self, entry: str) -> None:
        after = self._rng.randrange(len(self.read) + 1)
        wait: dict[str, Any] = {}
        if self._rng.random() < _HALF:
            wait['Wait_Ms'] = '1000'
        began = self._site.clock.elapsed()
        reply = await self._site.ask(
            entry, 'GET', f'/-/lots/{JOB}?after={after}', **wait
        )
        if reply is None or reply.status != _OK:
            if reply is not None and reply.status in _DENIED:
                self.denied.append((entry, reply.status))
            return
        results = reply.json['results']
        read_at = self._read_at.get(after, began)
        if not results and began - read_at > _SETTLED:
            self.denied.append((entry, after))
        for position, result in enumerate(results, after):
            assert self.read.setdefault(position, result) == result
            self._read_at.setdefault(position, self._site.clock.elapsed())


@given('a series of stops of seed {seed:d}')
def series(context: Any, seed: int) -> None:
    async def scene(site: Site) -> None:
        run = Series(site, seed)
        context.results = await run.play()
        context.series = run

    play(scene)


@then('no body of an open item and no position that was read is denied')
def none_denied(context: Any) -> None:
    assert not context.series.denied, context.series.denied


@then('each item is listed once, whole and for good')
def listed_for_good(context: Any) -> None:
    results = context.results
    assert len({result['id'] for result in results}) == _ITEMS, results
    assert len(results) == _ITEMS, results
    assert {result['state'] for result in results} == {'completed'}
    for position, result in context.series.read.items():
        assert results[position] == result, position
