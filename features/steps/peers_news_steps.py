"""Steps for entries of a zone that share watches of the store."""

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

#: Entries know each other so long after their start, and wait at the source.
SETTLED_S = 12
ZONE = ZoneId('here')


def sources(site: Site) -> list[str]:
    """Return the entries that watch the manifest for others."""
    return [
        name
        for name, entry in site.entries.items()
        if entry._components.news_source.follows('config')
    ]


def count_watches(calls: list[str]) -> Counter[str]:
    """Return how many of the store calls are watches, by kind."""
    return Counter(
        kind
        for kind in ('config', 'servers')
        for call in calls
        if f'/{kind}?watch' in call
    )


@given('a zone of {count:d} entries that is idle for {seconds:d} s')
def idle_zone(context: Any, count: int, seconds: int) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=count)
        await asyncio.sleep(SETTLED_S)
        site.store.calls.clear()
        await asyncio.sleep(seconds)
        context.watches = count_watches(site.store.calls)
        context.sources = sources(site)

    context.seconds = seconds
    play(scene)


@then('fewer watches are made than by 3 entries that watch the store alone')
def check_fewer_watches(context: Any) -> None:
    # Without a source, an entry watches the store each 2.5 s or more often.
    unshared = 3 * context.seconds / 2.5
    assert len(context.sources) == 1, context.sources
    # The source watches three times as often as an entry without a source.
    assert max(context.watches.values()) < unshared * 1.2, context.watches


@then('no entry watches the store for others')
def check_no_source(context: Any) -> None:
    assert not context.sources


@given('a zone of {count:d} entries, of which one watches for the others')
def zone_with_source(context: Any, count: int) -> None:
    context.count = count
    context.faults = []


async def start_zone(context: Any, site: Site) -> None:
    """Start the entries, and wait until they share one source."""
    await site.start(entries=context.count)
    await asyncio.sleep(SETTLED_S)
    assert len(sources(site)) == 1, sources(site)


async def never_answer(*_: Any) -> None:
    """Replace a function that should answer, and wait forever."""
    await asyncio.Event().wait()


async def inject_fault(site: Site, name: str, fault: str) -> None:
    """Cause a fault of an entry, and exclude the entry from later checks."""
    entry = site.entries.pop(name)
    site.ports.pop(name)
    if fault == 'is killed':
        await entry.kill()
    elif fault == 'answers nothing':
        entry._components.peer_service.handle = never_answer  # type: ignore
    elif fault == 'loses the store':
        await cut_off_store(entry)
    else:
        site.leaving = asyncio.create_task(entry.stop())  # type: ignore


async def cut_off_store(entry: Any) -> None:
    """Leave all calls and watches of an entry at the store unanswered."""
    direct = entry._access.direct
    direct.call = never_answer
    direct.watch = never_answer
    entry._access.store._caller.watch = never_answer
    entry._access.store._caller.directory = None


@when('that entry {fault} and the manifest changes')
def add_fault(context: Any, fault: str) -> None:
    context.faults.append(fault)


@when('the next one answers nothing and the manifest changes')
def add_next_fault(context: Any) -> None:
    context.faults.append('answers nothing')


@when('the store drops its history with a change in it')
def add_history_drop(context: Any) -> None:
    context.faults.append('history')


async def change_manifest(site: Site, fault: str) -> None:
    """Change the manifest at the moment of a fault."""
    if fault == 'history':
        site.store.deaf = True
        site.put_manifest()
        site.store.drop_history()
        site.store.deaf = False
        return
    source = sources(site)[0]
    await inject_fault(site, source, fault)
    if fault in {'answers nothing', 'loses the store'}:
        # Requests that waited at the source, and its own watches, have ended
        # by then.
        await asyncio.sleep(1)
    site.put_manifest()


@then('each other entry has the newest manifest 2 s later')
def check_newest_manifests(context: Any) -> None:
    async def scene(site: Site) -> None:
        await start_zone(context, site)
        all_entries = dict(site.entries)
        for fault in context.faults:
            await change_manifest(site, fault)
            await asyncio.sleep(2)
            check_generations(site, fault)
            await asyncio.sleep(SETTLED_S)
        # The entries with faults have to be stopped as well.
        site.entries.update(all_entries)

    play(scene)


def check_generations(site: Site, fault: str) -> None:
    generations = [
        entry._manifests.manifest.generation  # type: ignore[union-attr]
        for entry in site.entries.values()
    ]
    assert set(generations) == {site.version}, (fault, generations)


@when('a service registers, and another one begins to drain')
def change_upstreams(context: Any) -> None:
    async def scene(site: Site) -> None:
        await start_zone(context, site)
        leaving = site.services['desk-0']
        new = await site.add_service('desk-9')
        registration = leaving.registration(state='draining')
        site.store.put('servers', leaving.name, registration)
        await asyncio.sleep(2)
        context.known = [
            {
                upstream.registration: upstream.draining
                for upstream in entry._context.fleet
                if upstream.service == new.service
            }
            for entry in site.entries.values()
        ]

    play(scene)


@then('every entry sends calls to the first and none to the second 2 s later')
def check_upstreams_known(context: Any) -> None:
    for known in context.known:
        assert known['desk-9'] is False, known
        assert known['desk-0'] is True, known


@when('the store answers no watch of the source for {seconds:d} s')
def leave_watch_unanswered(context: Any, seconds: int) -> None:
    async def scene(site: Site) -> None:
        await start_zone(context, site)
        source = site.entries[sources(site)[0]]
        source._access.store._caller.watch = never_answer  # type: ignore
        site.store.calls.clear()
        await asyncio.sleep(seconds)
        context.calls = list(site.store.calls)

    play(scene)


@then('no more than {most:d} listings of a kind are made for each entry')
def check_listings(context: Any, most: int) -> None:
    for kind in ('config', 'servers'):
        listings = [call for call in context.calls if call.endswith(f'/{kind}')]
        assert len(listings) <= most * context.count, (kind, len(listings))


#: Sequences of changes: the name of an object, and whether it is written
#: (``True``) or removed (``False``).
HISTORIES = strategies.lists(
    strategies.tuples(strategies.sampled_from('abc'), strategies.booleans()),
    max_size=30,
)


@then("after every history of changes a follower has the store's objects")
def check_followers(_: Any) -> None:
    @settings(derandomize=True, max_examples=400, deadline=None, database=None)
    # The follower listed the kind at a revision in the middle of a batch, after
    # a removal in the same batch.
    @example([('a', True), ('a', False), ('a', True), ('b', True)], [4], 3)
    @given_cases(
        HISTORIES,
        strategies.lists(strategies.integers(1, 30), max_size=8),
        strategies.integers(0, 30),
    )
    def check(
        history: list[tuple[str, bool]], batches: list[int], listed_at: int
    ) -> None:
        check_follower(history, sorted(set(batches)), listed_at)

    check()


def check_follower(
    history: list[tuple[str, bool]], batches: list[int], listed_at: int
) -> None:
    """Append a history to a change log in batches, and follow the log.

    Parameters
    ----------
    history
        Changes in order; their revisions count from 1.
    batches
        Revisions at which a batch ends.
    listed_at
        Revision at which the follower has listed the kind.
    """
    listed_at = min(listed_at, len(history))
    known = names_at(history, listed_at)
    log = ChangeLog(Revision(0))
    since = Revision(listed_at)
    appended = 0
    ends = [*batches, len(history)]
    for end in ends:
        until = min(end, len(history))
        if until <= appended:
            continue
        log.append(
            Changes(changes_between(history, appended, until), Revision(until))
        )
        appended = until
        found = log.behind(since)
        assert found is not None
        for change in found.changes:
            if change.removed:
                known.discard(change.stored.name)
            else:
                known.add(change.stored.name)
        since = found.revision
    assert known == names_at(history, len(history)), (
        history,
        batches,
        listed_at,
    )


def changes_between(
    history: list[tuple[str, bool]], since: int, until: int
) -> tuple[Change, ...]:
    """Return the changes of a history after `since` up to `until`."""
    return tuple(
        Change(StoredObject(name, Revision(number), b''), not is_written)
        for number, (name, is_written) in enumerate(history, start=1)
        if since < number <= until
    )


def names_at(history: list[tuple[str, bool]], until: int) -> set[str]:
    """Return the names of the objects that exist at a revision."""
    known: set[str] = set()
    for name, is_written in history[:until]:
        known = known | {name} if is_written else known - {name}
    return known


@then('with bounds of 2, 3 and 4 s each limit is below 3/4 of it')
def check_limits(_: Any) -> None:
    for seconds in (2, 3, 4):
        bound = dt.timedelta(seconds=seconds)
        bounds = SharingBounds(bound)
        assert bounds.answer_wait + PEER_MARGIN < bound * 3 / 4, bounds
        for gather in (dt.timedelta(), bounds.most_gather):
            wait = bounds.watch_wait(gather)
            watch = Watch('config', gather, wait)
            assert bounds.trusted(watch) < bound * 3 / 4, bounds


@given('the entries of a zone by name')
def entries_by_name(context: Any) -> None:
    context.entries = {
        NodeId(f'e{number}'): EntryRecord(at(9000 + number), ZONE)
        for number in range(6)
    }
    context.choices = {
        name: SourceChoice(name, ZONE) for name in context.entries
    }


def choose_sources(context: Any, at_s: float) -> dict[NodeId, NodeId | None]:
    """Return the source that each entry chooses at a time."""
    now = dt.timedelta(seconds=at_s)
    return {
        name: choice.choose(context.entries, now)
        for name, choice in context.choices.items()
    }


def common_source(found: dict[NodeId, NodeId | None]) -> NodeId:
    """Return the entry that all others have chosen."""
    chosen = next(name for name, source in found.items() if source is None)
    others = {source for name, source in found.items() if name != chosen}
    assert others == {chosen}, found
    return chosen


@then('all choose one of them, which watches the store itself')
def check_same_source(context: Any) -> None:
    context.first = common_source(choose_sources(context, 0))


def mark_unreachable(context: Any, name: NodeId, at_s: float) -> None:
    """Record in all choices that an entry was unreachable at `at_s`."""
    for choice in context.choices.values():
        choice.unreachable(name, dt.timedelta(seconds=at_s))


@then('while it is unreachable all choose the next, and after 30 s it again')
def check_next_source(context: Any) -> None:
    mark_unreachable(context, context.first, 0)
    found = choose_sources(context, 29)
    found.pop(context.first)
    context.second = common_source(found)
    assert context.second != context.first
    assert common_source(choose_sources(context, 30)) == context.first


@then('with 3 of them unreachable all watch the store')
def check_no_source_left(context: Any) -> None:
    for _ in range(3):
        found = choose_sources(context, 40)
        source = next(name for name in found.values() if name is not None)
        mark_unreachable(context, source, 40)
    assert set(choose_sources(context, 40).values()) == {None}
