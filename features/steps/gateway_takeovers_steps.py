"""Steps for jobs whose owner changes, ends or stops."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given, then, when

from bergamotdoor.peers.directory import EntryRecord
from features.job_scenes import (
    JOB,
    SHORT_AND_LONG,
    end_job_at,
    other_entry,
    owner_of,
    running_requests,
    submit_job,
    take_over_at,
)
from lab.site import Site, at, play
from lab.store import Store, StoreMode

#: How old the answers of the store are to calls that allow for old ones.
STALE_S = 3
#: Time after the confirmed end of a job in which its items may still start.
END_EFFECT_S = 3
#: More items than the engines run until then.
MANY_ITEMS = [[20, 20, 20, 20] for _ in range(40)]


@given('a site whose job has a second owner and is ended at a third entry')
def ended_elsewhere(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await submit_job(site, list(SHORT_AND_LONG))
        await asyncio.sleep(0.5)
        first = owner_of(site)
        second, third = (name for name in sorted(site.ports) if name != first)
        await site.kill(first)
        await site.results(second, JOB)
        assert owner_of(site) == second
        await site.add_entry(first)
        await asyncio.sleep(0.3)
        assert running_requests(site)
        await end_job_at(site, third)
        await asyncio.sleep(0.5)
        context.running = running_requests(site)

    play(scene)


@given('a site whose job is ended at an owner that was taken over')
def ended_at_first(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, list(SHORT_AND_LONG))
        await asyncio.sleep(0.5)
        first = owner_of(site)
        await take_over_at(site, other_entry(site, first))
        await asyncio.sleep(0.2)
        await end_job_at(site, first)
        await asyncio.sleep(0.5)
        context.running = running_requests(site)

    play(scene)


@given('a site whose owner gets its job back before it noticed the takeover')
def got_back(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, list(SHORT_AND_LONG))
        await asyncio.sleep(0.5)
        first = owner_of(site)
        second = other_entry(site, first)
        await take_over_at(site, second)
        stopping = asyncio.create_task(site.entries.pop(second).stop())
        await asyncio.sleep(0.2)
        assert owner_of(site) == first
        context.running = []
        for _ in range(5):
            await asyncio.sleep(0.5)
            context.running.append(len(running_requests(site)))
        await stopping

    play(scene)


@then('its items continue to run without a reader')
def continue_to_run(context: Any) -> None:
    assert all(context.running), context.running


@given('a site whose next owner starts again and is cut off from its store')
def restarted_cut_off(context: Any) -> None:
    context.groups = [[2, 2], [4, 4]]

    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await site.submit('entry-0', 'j0', [[1]])
        owner = str(site.store.table.specs('jobs')['j0']['owner'])
        await site.kill(owner)
        store = site.store.address
        # No process listens at the address where this entry expects the store.
        site.store.address = at(8999)
        started = await site.add_entry(owner)
        site.store.address = store
        await asyncio.sleep(0.5)
        second = other_entry(site, owner)
        again = await site.submit(second, JOB, context.groups)
        assert again is not None
        assert again.status == 202, again.status
        context.results = await site.all_results(second, JOB, 8)
        await asyncio.sleep(5)
        started._access.direct.address = store
        await asyncio.sleep(5)
        context.late = await site.all_results(second, JOB, 8)

    play(scene)


@then('every item of the job is listed whole at another entry in time')
def whole_in_time(context: Any) -> None:
    assert len(context.results) == 4, context.results


@then('none is listed as lost once the owner reaches the store')
def none_lost(context: Any) -> None:
    states = [result['state'] for result in context.late]
    assert len(states) == 4, states
    assert set(states) == {'completed'}, states


async def cut_off(site: Site, entry: str, silent: Store) -> None:
    """Have neither the store nor other entries respond to an entry.

    Parameters
    ----------
    site
        The site.
    entry
        The entry that is cut off.
    silent
        A store, not started yet, whose address stands for both.
    """
    silent.mode = StoreMode.SILENT
    await silent.start()
    access = site.entries[entry]._access
    access.direct.address = silent.address
    access.directory.entries = {
        name: EntryRecord(silent.address) for name in access.directory.entries
    }


@given('a site whose owner reaches no store and no entry and is stopped')
def cut_off_and_stopped(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await submit_job(site, [[200, 200]])
        await asyncio.sleep(0.5)
        first = owner_of(site)
        silent = Store(at(8998), site.clock)
        await cut_off(site, first, silent)
        started_at = site.clock.elapsed()
        stopping = asyncio.create_task(site.entries.pop(first).stop())
        reading = asyncio.create_task(
            site.all_results(other_entry(site, first), JOB)
        )
        await asyncio.sleep(0.1)
        while not running_requests(site):
            await asyncio.sleep(0.1)
        context.took_s = (site.clock.elapsed() - started_at).total_seconds()
        reading.cancel()
        await stopping
        await silent.stop()

    play(scene)


@then('another entry runs its items within {most_s:g} s')
def run_elsewhere(context: Any, most_s: float) -> None:
    assert context.took_s <= most_s, context.took_s


@given(
    'a site whose job is ended while its next owner takes {load:g} s to load it'
)
def ended_while_loading(context: Any, load: float) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=3)
        await submit_job(site, list(SHORT_AND_LONG))
        await asyncio.sleep(0.7)
        first = owner_of(site)
        second, third = (name for name in sorted(site.ports) if name != first)
        await site.kill(first)
        site.store.list_s = load
        reading = asyncio.create_task(site.results(second, JOB))
        await asyncio.sleep(0.1)
        assert owner_of(site) == second
        await end_job_at(site, third)
        await reading
        await asyncio.sleep(0.5)
        context.running = running_requests(site)

    play(scene)


@given('a site whose owner was replaced, and {news} from then on')
def replaced_owner(context: Any, news: str) -> None:
    context.is_silent = news.startswith('receives nothing')


@when('the job is ended at a third entry')
def end_at_third(context: Any) -> None:
    async def scene(site: Site) -> None:
        site.store.stale_s = STALE_S
        await site.start(entries=3)
        await submit_job(site, MANY_ITEMS)
        first = owner_of(site)
        second, third = (name for name in sorted(site.ports) if name != first)
        if context.is_silent:
            setattr(  # noqa: B010
                site.entries[first]._components.peer_service,
                'handle',
                wait_forever,
            )
        await take_over_at(site, second)
        await end_job_at(site, third)
        ended_s = asyncio.get_running_loop().time()
        await asyncio.sleep(STALE_S + END_EFFECT_S)
        context.late_items = [
            seen.request
            for engine in site.engines.values()
            for seen in engine.seen
            if seen.at_s > ended_s + END_EFFECT_S
        ]

    play(scene)


async def wait_forever(_message: Any) -> Any:
    await asyncio.Event().wait()


@then('no item reaches an engine later than 3 s after the end')
def no_late_items(context: Any) -> None:
    assert not context.late_items, context.late_items
