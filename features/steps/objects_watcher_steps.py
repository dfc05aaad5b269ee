"""Steps for bergamotdoor.objects.watcher, on a whole site."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given, then, when

from bergamotdoor.types import RegistrationId
from lab.site import Site, at, play
from lab.store import StoreMode
from lab.ways import StoreWay


async def change_and_cut(site: Site) -> None:
    """Change the manifest without reporting it, and cut all watches."""
    site.store.deaf = True
    site.put_manifest()
    await asyncio.sleep(1)
    site.store.cut_watches()
    # A watch that begins now gets later changes only.
    await asyncio.sleep(0.05)
    site.store.drop_history()
    site.store.table.forgotten = 0
    site.store.deaf = False


@given('a site whose store hides a change from its watches and cuts them')
def hide_change(context: Any) -> None:
    async def scene(site: Site) -> list[int]:
        await site.start()
        await change_and_cut(site)
        await asyncio.sleep(2)
        return generations(site)

    context.generations = play(scene)


@given('a site whose store drops its history after a change')
def drop_history(context: Any) -> None:
    async def scene(site: Site) -> list[int]:
        await site.start()
        site.store.deaf = True
        site.put_manifest()
        site.store.drop_history()
        site.store.deaf = False
        await asyncio.sleep(2)
        return generations(site)

    context.generations = play(scene)


def generations(site: Site) -> list[int]:
    """Return the manifest's generation at each entry, and the newest one."""
    return [
        entry._manifests.manifest.generation  # type: ignore[union-attr]
        for entry in site.entries.values()
    ] + [site.version]


@then('every entry has the newest manifest 2 s later')
def all_newest(context: Any) -> None:
    assert len(set(context.generations)) == 1, context.generations


@given('a site whose registrations expire during a store outage')
def expire_registrations(context: Any) -> None:
    async def scene(site: Site) -> tuple[int, int]:
        await site.start()
        await site.ask('entry-0', 'GET', '/book/1', Request_Id='b1')
        site.store.mode = StoreMode.BUSY
        site.store.cut_watches()
        await asyncio.sleep(3)
        for name in list(site.services):
            site.store.remove('servers', name)
        site.store.mode = StoreMode.UP
        await asyncio.sleep(1)
        early = await site.ask('entry-0', 'GET', '/book/2', Request_Id='b2')
        await asyncio.sleep(3)
        late = await site.ask('entry-0', 'GET', '/book/3', Request_Id='b3')
        assert early is not None
        assert late is not None
        return early.status, late.status

    context.statuses = play(scene)


@then("calls are answered right after the store's return")
def early_call_answered(context: Any) -> None:
    assert context.statuses[0] == 200, context.statuses


@then('upstreams that are still missing 4 s later get no calls')
def late_call_refused(context: Any) -> None:
    assert context.statuses[1] == 503, context.statuses


@given('a site where an upstream is removed 0.2 s after the watches {ended}')
def remove_after_watch(context: Any, ended: str) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await asyncio.sleep(0.5)
        # The other upstream has few slots, so that both get calls.
        spec = site.services['desk-1'].registration(slots=1, zone='there')
        site.store.put('servers', 'desk-1', spec)
        await asyncio.sleep(2.5)
        if ended == 'were cut':
            site.store.cut_watches()
        else:
            site.store.end_watches()
        await asyncio.sleep(0.2)
        site.store.remove('servers', 'desk-0')
        loop = asyncio.get_running_loop()
        context.removed_s = loop.time()
        for number in range(80):
            await site.ask(
                'entry-0', 'GET', f'/book/{number}', Request_Id=f'b{number}'
            )
        context.seen_s = [one.at_s for one in site.services['desk-0'].seen]

    play(scene)


@then('no call reaches the upstream later than 2 s after its removal')
def no_late_calls(context: Any) -> None:
    assert context.seen_s, 'no call reached the upstream at all'
    late_s = max(context.seen_s) - context.removed_s
    assert late_s <= 2, late_s


@given('a site where another entry relays a watch that is cut')
def cut_relayed_watch(context: Any) -> None:
    async def scene(site: Site) -> list[int]:
        await site.start(entries=3)
        access = site.entries['entry-0']._access
        direct = access.direct.address
        access.direct.address = at(8999)
        site.store.cut_watches()
        await asyncio.sleep(1.5)
        access.direct.address = direct
        # Another entry relays the watch now.
        await change_and_cut(site)
        await asyncio.sleep(2)
        return generations(site)

    context.generations = play(scene)


@given('a site whose store ends watches without reporting a change')
def end_watches(context: Any) -> None:
    async def scene(site: Site) -> list[int]:
        await site.start()
        site.store.deaf = True
        site.put_manifest()
        await asyncio.sleep(1)
        site.store.end_watches()
        await asyncio.sleep(0.2)
        site.store.deaf = False
        await asyncio.sleep(3)
        return generations(site)

    context.generations = play(scene)


@given('a site whose store drops its history and leaves watches waiting')
def leave_watches_waiting(context: Any) -> None:
    async def scene(site: Site) -> list[int]:
        await site.start()
        site.store.deaf = True
        site.put_manifest()
        await asyncio.sleep(1)
        site.store.table.forget()
        await asyncio.sleep(3)
        return generations(site)

    context.generations = play(scene)


@then('every entry has the newest manifest 3 s later')
def all_newest_later(context: Any) -> None:
    all_newest(context)


@given('a site that is idle for {seconds:d} s')
def idle_site(context: Any, seconds: int) -> None:
    async def scene(site: Site) -> list[str]:
        await site.start(entries=2)
        await asyncio.sleep(3)
        site.store.calls.clear()
        await asyncio.sleep(seconds)
        return list(site.store.calls)

    context.calls = play(scene)


@then('each entry made at most {most:d} watches of each kind')
def check_watch_counts(context: Any, most: int) -> None:
    for kind in ('config', 'servers'):
        made = [one for one in context.calls if f'/{kind}?watch' in one]
        assert 0 < len(made) <= most * 2, made


@given('a site whose store is silent for 6.5 s and never answers its watches')
def ignore_watches(context: Any) -> None:
    async def scene(site: Site) -> list[int]:
        await site.start()
        site.store.mode = StoreMode.SILENT
        # A watch lasts 2 s: each has ended, and the store never answers the
        # next one, nor its second attempt.
        await asyncio.sleep(6.5)
        site.store.mode = StoreMode.UP
        site.put_manifest()
        await asyncio.sleep(3)
        return generations(site)

    context.generations = play(scene)


@given('a site whose store never answers listings after it cut its watches')
def ignore_listings(context: Any) -> None:
    async def scene(site: Site) -> list[int]:
        await site.start(entries=3)
        site.store.mode = StoreMode.SILENT
        site.store.cut_watches()
        # The second attempts were sent after 3.1 s, those through other
        # entries after 3.45 s: both attempts of each listing remain unanswered.
        await asyncio.sleep(3.5)
        site.store.mode = StoreMode.UP
        site.put_manifest()
        await asyncio.sleep(3)
        return generations(site)

    context.generations = play(scene)


@given('an entry without others whose way to the store fails for 0.1 s, often')
def entry_with_short_failures(context: Any) -> None:
    # The pauses between failures differ, so that watches begin in some.
    context.pauses_s = [0.07 * number for number in range(40)]


@when('the manifest and a registration change 0.3 s after each failure')
def change_after_failures(context: Any) -> None:
    async def scene(site: Site) -> list[str]:
        way = StoreWay(site, 'entry-0')
        await way.start()
        await site.start(engines=0, entries=1)
        found = []
        for slots, pause_s in enumerate(context.pauses_s, start=1):
            await asyncio.sleep(pause_s)
            way.silence()
            await asyncio.sleep(0.1)
            way.heal()
            await asyncio.sleep(0.3)
            site.put_manifest()
            spec = site.services['desk-0'].registration(slots=slots)
            site.store.put('servers', 'desk-0', spec)
            await asyncio.sleep(2.7)
            found.extend(find_old(site, slots, f'pause {pause_s:.2f} s'))
        await way.stop()
        return found

    context.found = play(scene)


def find_old(site: Site, slots: int, when_told: str) -> list[str]:
    """Return what the entry does not know yet."""
    found = []
    if len(set(generations(site))) > 1:
        found.append(f'{when_told}: manifest {generations(site)}')
    known = site.entries['entry-0']._context.fleet.find_registered(
        RegistrationId('desk-0')
    )
    if known is None or known.slots != slots:
        found.append(f'{when_told}: registration {known}')
    return found


@then('the entry knows both changes 3 s after each failure')
def check_known_in_time(context: Any) -> None:
    assert not context.found, context.found


@given('an entry without others whose way to the store is cut, often')
def entry_with_cuts(context: Any) -> None:
    context.cuts_s = [
        (pause_s, cut_s)
        for pause_s in (0, 0.4, 0.9, 1.7)
        for cut_s in (0.3, 1.2, 2.1, 2.9, 4, 5.5)
    ]


@when('an upstream is removed before each time that the way is back')
def remove_before_return(context: Any) -> None:
    async def scene(site: Site) -> list[str]:
        way = StoreWay(site, 'entry-0')
        await way.start()
        await site.start(engines=0, entries=1)
        found = []
        for number, (pause_s, cut_s) in enumerate(context.cuts_s):
            name = f'desk-removed-{number}'
            spec = site.services['desk-0'].registration()
            site.store.put('servers', name, spec)
            await asyncio.sleep(3 + pause_s)
            fleet = site.entries['entry-0']._context.fleet
            assert fleet.find_registered(RegistrationId(name)), name
            way.silence()
            await asyncio.sleep(cut_s - 0.1)
            site.store.remove('servers', name)
            await asyncio.sleep(0.1)
            way.heal()
            await asyncio.sleep(3)
            if fleet.find_registered(RegistrationId(name)):
                found.append(f'pause {pause_s} s, cut {cut_s} s')
        await way.stop()
        return found

    context.found = play(scene)


@then('the entry knows the upstream no more 3 s after the way is back')
def check_dropped(context: Any) -> None:
    assert not context.found, context.found
