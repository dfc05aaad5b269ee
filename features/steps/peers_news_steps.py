"""Steps for what entries of a zone tell each other of the store."""

from __future__ import annotations

import asyncio
import datetime as dt
from collections import Counter
from typing import Any

from behave import given, then, when
from hypothesis import example, settings, strategies
from hypothesis import given as given_cases

from bergamotdoor.objects.change_log import ChangeLog
from bergamotdoor.objects.news import Watch
from bergamotdoor.peers.client import PEER_MARGIN
from bergamotdoor.peers.directory import EntryRecord
from bergamotdoor.peers.sharing import SharingBounds, SourceChoice
from bergamotdoor.stored import Change, Changes, StoredObject
from bergamotdoor.types import NodeId, Revision, ZoneId
from lab.site import Site, at, play

#: Entries know each other by then, and follow the source.
SETTLED_S = 12
ZONE = ZoneId('here')


def sources(site: Site) -> list[str]:
    """Return the entries that follow the manifest for others."""
    return [
        name
        for name, entry in site.entries.items()
        if entry._parts.news_source.follows('config')
    ]


def watches(calls: list[str]) -> Counter[str]:
    return Counter(
        kind
        for kind in ('config', 'servers')
        for call in calls
        if f'/{kind}?watch' in call
    )


@given('a zone of {count:d} entries that is idle for {seconds:d} s')
def idle(context: Any, count: int, seconds: int) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=count)
        await asyncio.sleep(SETTLED_S)
        site.store.calls.clear()
        await asyncio.sleep(seconds)
        context.watches = watches(site.store.calls)
        context.sources = sources(site)

    context.seconds = seconds
    play(scene)


@then('fewer watches are made than by 3 entries that watch the store alone')
def fewer(context: Any) -> None:
    # A watch lasts 2.5 s, the contact bound less half a second.
    alone = 3 * context.seconds / 2.5
    assert len(context.sources) == 1, context.sources
    # The source watches three times as often as one that watches alone.
    assert max(context.watches.values()) < alone * 1.2, context.watches


@then('no entry follows a kind for others')
def nobody_follows(context: Any) -> None:
    assert not context.sources


@given('a zone of {count:d} entries, of which one watches for the others')
def zone(context: Any, count: int) -> None:
    context.count = count
    context.steps = []


async def settled(context: Any, site: Site) -> None:
    await site.start(entries=context.count)
    await asyncio.sleep(SETTLED_S)
    assert len(sources(site)) == 1, sources(site)


async def answers_nothing(*_: Any) -> None:
    await asyncio.Event().wait()


async def harm(site: Site, name: str, fault: str) -> None:
    """Do something to an entry; it is no entry to be checked after that."""
    entry = site.entries.pop(name)
    site.ports.pop(name)
    if fault == 'is killed':
        await entry.kill()
    elif fault == 'answers nothing':
        entry._parts.peer_service.handle = answers_nothing  # type: ignore
    elif fault == 'loses the store':
        await cut_off(entry)
    else:
        site.leaving = asyncio.create_task(entry.stop())  # type: ignore


async def cut_off(entry: Any) -> None:
    """Have an entry's calls of the store get no answer, its watches too."""
    direct = entry._access.direct
    direct.call = answers_nothing
    direct.watch = answers_nothing
    entry._access.store._caller.watch = answers_nothing
    entry._access.store._caller.directory = None


@when('that entry {fault} and the manifest changes')
def harmed(context: Any, fault: str) -> None:
    context.steps.append(fault)


@when('the next one answers nothing and the manifest changes')
def next_harmed(context: Any) -> None:
    context.steps.append('answers nothing')


@when('the store drops its history with a change in it')
def history(context: Any) -> None:
    context.steps.append('history')


async def step(site: Site, fault: str) -> None:
    if fault == 'history':
        site.store.deaf = True
        site.put_manifest()
        site.store.drop_history()
        site.store.deaf = False
        return
    harmed_entry = sources(site)[0]
    await harm(site, harmed_entry, fault)
    if fault in {'answers nothing', 'loses the store'}:
        # What waited at it, and what it waited for, has ended by then.
        await asyncio.sleep(1)
    site.put_manifest()


@then('each other entry has the newest manifest 2 s later')
def newest(context: Any) -> None:
    async def scene(site: Site) -> None:
        await settled(context, site)
        everyone = dict(site.entries)
        for fault in context.steps:
            await step(site, fault)
            await asyncio.sleep(2)
            check_newest(site, fault)
            await asyncio.sleep(SETTLED_S)
        # Those that were harmed have to be stopped as well.
        site.entries.update(everyone)

    play(scene)


def check_newest(site: Site, fault: str) -> None:
    generations = [
        entry._manifests.manifest.generation  # type: ignore[union-attr]
        for entry in site.entries.values()
    ]
    assert set(generations) == {site.version}, (fault, generations)


@when('a service registers, and another one begins to drain')
def members_change(context: Any) -> None:
    async def scene(site: Site) -> None:
        await settled(context, site)
        leaving = site.services['desk-0']
        new = await site.add_service('desk-9')
        registration = leaving.registration(state='draining')
        site.store.put('servers', leaving.name, registration)
        await asyncio.sleep(2)
        context.known = [
            {
                one.registration: one.draining
                for one in entry._context.fleet
                if one.service == new.service
            }
            for entry in site.entries.values()
        ]

    play(scene)


@then('every entry sends calls to the first and none to the second 2 s later')
def members_known(context: Any) -> None:
    for known in context.known:
        assert known['desk-9'] is False, known
        assert known['desk-0'] is True, known


@when('the store answers no watch of the source for {seconds:d} s')
def unanswered(context: Any, seconds: int) -> None:
    async def scene(site: Site) -> None:
        await settled(context, site)
        source = site.entries[sources(site)[0]]
        source._access.store._caller.watch = answers_nothing  # type: ignore
        site.store.calls.clear()
        await asyncio.sleep(seconds)
        context.calls = list(site.store.calls)

    play(scene)


@then('no more than {most:d} listings of a kind are made for each entry')
def few_listings(context: Any, most: int) -> None:
    for kind in ('config', 'servers'):
        listings = [one for one in context.calls if one.endswith(f'/{kind}')]
        assert len(listings) <= most * context.count, (kind, len(listings))


#: Names that are written (True) or removed (False), in order.
HISTORIES = strategies.lists(
    strategies.tuples(strategies.sampled_from('abc'), strategies.booleans()),
    max_size=30,
)


@then('in no history of changes a follower ends elsewhere than the store')
def same_end(_: Any) -> None:
    @settings(derandomize=True, max_examples=400, deadline=None, database=None)
    # One that was listed in the middle of a batch, behind a removal there.
    @example([('a', True), ('a', False), ('a', True), ('b', True)], [4], 3)
    @given_cases(
        HISTORIES,
        strategies.lists(strategies.integers(1, 30), max_size=8),
        strategies.integers(0, 30),
    )
    def check(
        history: list[tuple[str, bool]], batches: list[int], began: int
    ) -> None:
        follow(history, sorted(set(batches)), began)

    check()


def follow(
    history: list[tuple[str, bool]], batches: list[int], began: int
) -> None:
    """Tell a log of changes in batches, and a follower of the log."""
    began = min(began, len(history))
    known = state(history, began)
    log = ChangeLog(Revision(0))
    since = Revision(began)
    told = 0
    ends = [*batches, len(history)]
    for end in ends:
        until = min(end, len(history))
        if until <= told:
            continue
        log.append(Changes(changes(history, told, until), Revision(until)))
        told = until
        found = log.behind(since)
        assert found is not None
        for change in found.changes:
            if change.removed:
                known.discard(change.stored.name)
            else:
                known.add(change.stored.name)
        since = found.revision
    assert known == state(history, len(history)), (history, batches, began)


def changes(
    history: list[tuple[str, bool]], told: int, until: int
) -> tuple[Change, ...]:
    return tuple(
        Change(StoredObject(name, Revision(number), b''), not there)
        for number, (name, there) in enumerate(history, start=1)
        if told < number <= until
    )


def state(history: list[tuple[str, bool]], until: int) -> set[str]:
    known: set[str] = set()
    for name, there in history[:until]:
        known = known | {name} if there else known - {name}
    return known


@then('with bounds of 2, 3 and 4 s each way takes less than three quarters')
def bounded(_: Any) -> None:
    for seconds in (2, 3, 4):
        bound = dt.timedelta(seconds=seconds)
        bounds = SharingBounds(bound)
        assert bounds.answer_wait + PEER_MARGIN < bound * 3 / 4, bounds
        for gather in (dt.timedelta(), bounds.most_gather):
            wait = bounds.watch_wait(gather)
            watch = Watch('config', gather, wait)
            assert bounds.trusted(watch) < bound * 3 / 4, bounds


@given('the entries of a zone by name')
def by_name(context: Any) -> None:
    context.entries = {
        NodeId(f'e{number}'): EntryRecord(at(9000 + number), ZONE)
        for number in range(6)
    }
    context.choices = {
        name: SourceChoice(name, ZONE) for name in context.entries
    }


def chosen(context: Any, at_s: float) -> dict[NodeId, NodeId | None]:
    now = dt.timedelta(seconds=at_s)
    return {
        name: choice.choose(context.entries, now)
        for name, choice in context.choices.items()
    }


def one_source(found: dict[NodeId, NodeId | None]) -> NodeId:
    """Return the entry that all others have chosen."""
    alone = next(name for name, source in found.items() if source is None)
    others = {source for name, source in found.items() if name != alone}
    assert others == {alone}, found
    return alone


@then('all choose one of them, which watches the store itself')
def same_source(context: Any) -> None:
    context.first = one_source(chosen(context, 0))


def rest(context: Any, name: NodeId, at_s: float) -> None:
    for choice in context.choices.values():
        choice.unreachable(name, dt.timedelta(seconds=at_s))


@then('while it is unreachable all choose the next, and after 30 s it again')
def next_source(context: Any) -> None:
    rest(context, context.first, 0)
    found = chosen(context, 29)
    found.pop(context.first)
    context.second = one_source(found)
    assert context.second != context.first
    assert one_source(chosen(context, 30)) == context.first


@then('with 3 of them unreachable all watch the store')
def nobody_left(context: Any) -> None:
    for _ in range(3):
        found = chosen(context, 40)
        source = next(one for one in found.values() if one is not None)
        rest(context, source, 40)
    assert set(chosen(context, 40).values()) == {None}
