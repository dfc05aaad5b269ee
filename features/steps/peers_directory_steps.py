"""Steps for bergamotdoor.peers.directory."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import Any

from behave import given, then, when

from bergamotdoor.peers.directory import EntryRecord, home_order
from bergamotdoor.types import ModelId, NodeId, ZoneId
from features.job_scenes import JOB, owner_of
from lab.site import Site, at, play
from lab.store import StoreMode

#: Longest wait for a step to begin.
MAX_WAIT = dt.timedelta(seconds=5)
ZONES = ('a', 'b', 'c')
MODELS = [ModelId(f'm{number}') for number in range(50)]


@given('6 entries in 3 zones')
def six_entries(context: Any) -> None:
    context.entries = {
        NodeId(f'entry-{zone}-{number}'): EntryRecord(at(9000), ZoneId(zone))
        for zone in ZONES
        for number in range(2)
    }


@then("every model's steps are run by an entry of the zone of their trainer")
def check_owner_zone(context: Any) -> None:
    for model in MODELS:
        for zone in ZONES:
            owner = home_order(model, context.entries, ZoneId(zone))[0]
            assert context.entries[owner].zone == zone, (model, zone, owner)


@then('all entries of the zone choose the same entry for a model')
def check_same_owner(context: Any) -> None:
    shuffled = dict(sorted(context.entries.items(), reverse=True))
    owners = set()
    for model in MODELS:
        owner = home_order(model, context.entries, ZoneId('b'))[0]
        assert owner == home_order(model, shuffled, ZoneId('b'))[0]
        owners.add(owner)
    assert len(owners) == 2, owners


@then('the steps of a zone without entries are run by the same entry always')
def check_owner_elsewhere(context: Any) -> None:
    for model in MODELS:
        first = home_order(model, context.entries, ZoneId('d'))
        second = home_order(model, context.entries, ZoneId('e'))
        assert first == second
        assert len(first) == 6


@given("a site of two zones whose engine is not in its trainer's zone")
def two_zones(context: Any) -> None:
    async def prepare(site: Site) -> None:
        site.place('entry-0', 'near')
        site.place('entry-1', 'far')
        site.place('side-0', 'far')
        await site.start(engines=1, services=0)
        await site.add_agent('side-0', site.engines['engine-0'])
        reply = await site.submit('entry-0', JOB, [[2, 2]])
        assert reply is not None
        await site.all_results('entry-0', JOB)
        assert owner_of(site) == 'entry-0', owner_of(site)
        await asyncio.sleep(1)

    context.prepare = prepare


@when('the engine has loaded version 2')
def load_version(context: Any) -> None:
    async def scene(site: Site) -> None:
        await context.prepare(site)
        engine = site.engines['engine-0']
        site.store.put('versions', 'm', {'model': 'm', 'version': 2})
        while engine.version < 2:
            await asyncio.sleep(0.01)
        # The agent queries its engine a few times a second.
        await asyncio.sleep(0.2)
        reply = await site.submit('entry-0', 'j2', [[2, 2]], 2)
        assert reply is not None
        before = len(engine.seen)
        began = site.clock.elapsed()
        while (
            len(engine.seen) == before
            and site.clock.elapsed() < began + MAX_WAIT
        ):
            await asyncio.sleep(0.01)
        context.took_s = (site.clock.elapsed() - began).total_seconds()

    play(scene)


@then('a step that requires this version begins within {limit_s:g} s')
def check_step_begins(context: Any, limit_s: float) -> None:
    assert context.took_s <= limit_s, context.took_s


@given('6 entries in 3 zones, one of each zone with a link of 100 Mbit/s')
def fast_links(context: Any) -> None:
    six_entries(context)
    context.entries = {
        name: EntryRecord(entry.address, entry.zone, 100 if '1' in name else 30)
        for name, entry in context.entries.items()
    }


@then("every model's steps are run by the fast entry of the zone")
def check_fast_owner(context: Any) -> None:
    for model in MODELS:
        for zone in ZONES:
            owner = home_order(model, context.entries, ZoneId(zone))[0]
            assert owner == f'entry-{zone}-1', (model, zone, owner)


@given('a site of 2 entries, one of which starts while the store is away')
def start_without_store(context: Any) -> None:
    context.away_s = 6


@when('the store is back for {back_s:d} s')
def store_is_back(context: Any, back_s: int) -> None:
    async def scene(site: Site) -> None:
        await site.start(engines=0, services=1, entries=1)
        site.store.mode = StoreMode.BUSY
        late = await site.add_entry('late')
        await asyncio.sleep(context.away_s)
        site.store.mode = StoreMode.UP
        await asyncio.sleep(back_s)
        context.known = set(late._access.directory.entries)

    play(scene)


@then('the entry knows the other one')
def check_known(context: Any) -> None:
    assert context.known == {'entry-0'}, context.known
