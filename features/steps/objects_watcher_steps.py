"""Steps for bergamotdoor.objects.watcher, on a whole site."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given, then

from lab.site import Site, at, play
from lab.store import StoreMode


async def change_and_cut(site: Site) -> None:
    """Change the manifest, tell no watch of it, and cut all watches."""
    site.store.deaf = True
    site.put_manifest()
    await asyncio.sleep(1)
    site.store.cut_watches()
    # A watch that begins now is told of later changes only.
    await asyncio.sleep(0.05)
    site.store.drop_history()
    site.store.table.forgotten = 0
    site.store.deaf = False


@given('a site whose store becomes deaf, changes and cuts its watches')
def deaf(context: Any) -> None:
    async def scene(site: Site) -> list[int]:
        await site.start()
        await change_and_cut(site)
        await asyncio.sleep(2)
        return generations(site)

    context.generations = play(scene)


@given('a site whose store drops its history after a change')
def history_gone(context: Any) -> None:
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
    return [
        entry._manifests.manifest.generation  # type: ignore[union-attr]
        for entry in site.entries.values()
    ] + [site.version]


@then('every entry has the newest manifest 2 s later')
def newest(context: Any) -> None:
    assert len(set(context.generations)) == 1, context.generations


@given('a site whose registrations lapse while the store is away')
def lapse(context: Any) -> None:
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
def answered(context: Any) -> None:
    assert context.statuses[0] == 200, context.statuses


@then('upstreams that are still missing 4 s later get no calls')
def gone(context: Any) -> None:
    assert context.statuses[1] == 503, context.statuses


@given("a site where an entry's watch waits at another entry when it is cut")
def relayed_watch(context: Any) -> None:
    async def scene(site: Site) -> list[int]:
        await site.start(entries=3)
        access = site.entries['entry-0']._access
        direct = access.direct.address
        access.direct.address = at(8999)
        site.store.cut_watches()
        await asyncio.sleep(1.5)
        access.direct.address = direct
        # Its watch waits at another entry now.
        await change_and_cut(site)
        await asyncio.sleep(2)
        return generations(site)

    context.generations = play(scene)


@given('a site whose store ends watches without telling of a change')
def ends_quietly(context: Any) -> None:
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
def left_waiting(context: Any) -> None:
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
def newest_later(context: Any) -> None:
    newest(context)


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
def few_watches(context: Any, most: int) -> None:
    for kind in ('config', 'servers'):
        made = [one for one in context.calls if f'/{kind}?watch' in one]
        assert 0 < len(made) <= most * 2, made


@given('a site whose store is silent for 6.5 s and never answers its watches')
def swallowed(context: Any) -> None:
    async def scene(site: Site) -> list[int]:
        await site.start()
        site.store.mode = StoreMode.SILENT
        # A watch lasts 2.5 s: each has ended, and the next one is swallowed,
        # also if it is sent again.
        await asyncio.sleep(6.5)
        site.store.mode = StoreMode.UP
        site.put_manifest()
        await asyncio.sleep(3)
        return generations(site)

    context.generations = play(scene)


@given('a site whose store swallows the listings after its watches were cut')
def swallowed_listing(context: Any) -> None:
    async def scene(site: Site) -> list[int]:
        await site.start(entries=3)
        site.store.mode = StoreMode.SILENT
        site.store.cut_watches()
        # The listings were sent again after 3.1 s, those through others after
        # 3.45 s: all of them have been swallowed twice.
        await asyncio.sleep(3.5)
        site.store.mode = StoreMode.UP
        site.put_manifest()
        await asyncio.sleep(3)
        return generations(site)

    context.generations = play(scene)
