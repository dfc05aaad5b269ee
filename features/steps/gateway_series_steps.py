"""Steps for entries that stop in quick succession, in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
import random
from typing import Any, Final

from behave import given, then

from features.job_scenes import JOB, submit_job
from lab.site import Site, play

#: Events of the job's items, by group.
_GROUPS: Final = ([60, 60], [80, 80], [5, 5], [120, 30])
_ITEM_COUNT: Final = 8
#: A position that was read at one entry is readable at all after this time.
_VISIBLE_AFTER: Final = dt.timedelta(seconds=1)
#: The share of body reads in all requests.
_BODY_SHARE: Final = 0.5
#: The share of body and page reads in all requests; the rest are submissions.
_READ_SHARE: Final = 0.9
#: The probability of a planned stop instead of a kill, and of a read that
#: waits for a result.
_HALF: Final = 0.5
_STOPPED_ENTRIES: Final = 4
#: How long the store usually takes for a response.
_USUAL_ANSWER_S: Final = 0.004
#: Statuses that deny a body or a position for good.
_DENIED_STATUSES: Final = (404, 410)
_OK: Final = 200


class StopSeries:
    """A series of stops, and the requests to all entries meanwhile.

    Parameters
    ----------
    site
        The site, not started yet.
    seed
        Seed of all times, requests and choices of entries.
    """

    def __init__(self, site: Site, seed: int) -> None:
        #: The results that were read, by position.
        self.read: dict[int, Any] = {}
        #: Requests that were denied, though they must not be.
        self.denied: list[tuple[Any, ...]] = []
        self._site = site
        self._rng = random.Random(seed)
        #: When each position was read first.
        self._read_at: dict[int, dt.timedelta] = {}
        #: Entries that are stopped now.
        self._stopped: set[str] = set()

    async def play(self) -> list[dict[str, Any]]:
        """Play the series; return the results at the entry never stopped."""
        site = self._site
        await site.start(entries=5)
        await submit_job(site, list(_GROUPS))
        clients = [
            asyncio.create_task(self._send_requests(entry))
            for entry in sorted(site.entries)
        ]
        names = sorted(site.entries)
        self._rng.shuffle(names)
        await self._stop_all(names[:_STOPPED_ENTRIES])
        await asyncio.sleep(6)
        for task in clients:
            task.cancel()
        return await site.all_results(names[_STOPPED_ENTRIES], JOB)

    async def _stop_all(self, names: list[str]) -> None:
        rng, store = self._rng, self._site.store
        stops = []
        for name in names:
            await asyncio.sleep(rng.uniform(0.05, 0.5))
            store.answer_s = rng.choice((_USUAL_ANSWER_S, 0.05, 0.3, 0.5))
            store.list_s = rng.choice((0, 0, 0.5, 1.2))
            stops.append(asyncio.create_task(self._restart(name)))
        await asyncio.sleep(3)
        store.answer_s = _USUAL_ANSWER_S
        store.list_s = 0
        await asyncio.gather(*stops)

    async def _restart(self, name: str) -> None:
        entry = self._site.entries.pop(name)
        if self._rng.random() < _HALF:
            await entry.stop()
        else:
            await entry.kill()
        self._stopped.add(name)
        await asyncio.sleep(self._rng.uniform(0.2, 1.5))
        await self._site.add_entry(name)
        self._stopped.discard(name)

    async def _send_requests(self, entry: str) -> None:
        """Send body reads, page reads and submissions until cancelled."""
        rng = self._rng
        while True:
            await asyncio.sleep(rng.uniform(0.02, 0.3))
            if entry in self._stopped:
                continue
            group, number = rng.randrange(len(_GROUPS)), rng.randrange(2)
            kind = rng.random()
            if kind < _BODY_SHARE:
                await self._read_body(entry, f'{JOB}.{group}.{number}')
            elif kind < _READ_SHARE:
                await self._read_page(entry)
            else:
                await self._site.submit(entry, JOB, list(_GROUPS))

    async def _read_body(self, entry: str, item: str) -> None:
        """Read an item's body; it may be denied once the item is listed."""
        reply = await self._site.ask(entry, 'GET', f'/-/items/{JOB}?id={item}')
        if reply is None or reply.status not in _DENIED_STATUSES:
            return
        stored = self._site.store.table.specs(f'job-{JOB}')
        if not any(
            name.startswith('result') and item in str(spec)
            for name, spec in stored.items()
        ):
            self.denied.append((entry, item))

    async def _read_page(self, entry: str) -> None:
        """Read a page, and compare it with all earlier reads."""
        after = self._rng.randrange(len(self.read) + 1)
        wait: dict[str, Any] = {}
        if self._rng.random() < _HALF:
            wait['Wait_Ms'] = '1000'
        started_at = self._site.clock.elapsed()
        reply = await self._site.ask(
            entry, 'GET', f'/-/lots/{JOB}?after={after}', **wait
        )
        if reply is None or reply.status != _OK:
            if reply is not None and reply.status in _DENIED_STATUSES:
                self.denied.append((entry, reply.status))
            return
        results = reply.json['results']
        read_at = self._read_at.get(after, started_at)
        if not results and started_at - read_at > _VISIBLE_AFTER:
            self.denied.append((entry, after))
        for position, result in enumerate(results, after):
            assert self.read.setdefault(position, result) == result
            self._read_at.setdefault(position, self._site.clock.elapsed())


@given('a series of stops of seed {seed:d}')
def series(context: Any, seed: int) -> None:
    async def scene(site: Site) -> None:
        stops = StopSeries(site, seed)
        context.results = await stops.play()
        context.series = stops

    play(scene)


@then('no body of an open item and no position that was read is denied')
def none_denied(context: Any) -> None:
    assert not context.series.denied, context.series.denied


@then('each item is listed once, whole and for good')
def listed_for_good(context: Any) -> None:
    results = context.results
    assert len({result['id'] for result in results}) == _ITEM_COUNT, results
    assert len(results) == _ITEM_COUNT, results
    assert {result['state'] for result in results} == {'completed'}
    for position, result in context.series.read.items():
        assert results[position] == result, position
