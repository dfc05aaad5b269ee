"""Steps for listings of several pages, whose objects change meanwhile."""

from __future__ import annotations

import asyncio
import datetime as dt
import json
from typing import TYPE_CHECKING, Any, Final

import msgspec
from behave import given, then, when
from hypothesis import given as given_cases
from hypothesis import settings, strategies

from bergamotdoor.http.client import HttpClient
from bergamotdoor.jobs.messages import (
    ItemResult,
    ItemState,
    JobSpec,
    ResultRecord,
)
from bergamotdoor.objects import Watch, Watcher
from bergamotdoor.objects.client import DirectCaller, ObjectClient
from bergamotdoor.objects.job_codec import split
from bergamotdoor.objects.job_names import part_name, parts_kind, record_name
from bergamotdoor.objects.job_store import JobStore
from bergamotdoor.objects.listed_ahead import ListedAhead
from bergamotdoor.objects.news import StoreNews
from bergamotdoor.stored import (
    Change,
    Changes,
    Listing,
    Outcome,
    StoredObject,
)
from bergamotdoor.types import (
    ItemId,
    JobId,
    ModelId,
    Revision,
    WeightVersion,
)
from features.fleet_scenes import publish, start_engine_with_agent
from features.job_scenes import JOB
from lab.site import Site, at, play
from lab.store import Store
from lab.virtual import run_virtual, virtual_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

KIND: Final = 'things'
#: More objects than the store lists in a page.
COUNT: Final = 60
STORE: Final = at(8000)
WAIT: Final = dt.timedelta(seconds=2)
SETTLED_S: Final = 1
#: The bound for upstreams that leave.
DRAIN_S: Final = 2
FIRST: Final = 'object-00'
JOB_SPEC: Final = JobSpec(
    JobId(JOB), 'lab.example', '/roll/j1', ModelId('m'), WeightVersion(1), ()
)


class RecordingView:
    """View that keeps the specs of the objects."""

    def __init__(self) -> None:
        self.specs: dict[str, bytes] = {}

    def reset(self, listing: Listing) -> None:
        self.specs = {stored.name: stored.spec for stored in listing.objects}

    def apply(self, changes: tuple[Change, ...]) -> None:
        for change in changes:
            self.specs.pop(change.stored.name, None)
            if not change.removed:
                self.specs[change.stored.name] = change.stored.spec

    def interrupted(self, failed_at: dt.timedelta) -> None:
        """Keep the objects."""


def change_object(store: Store, change: str) -> None:
    """Make a change to an object that the first page has or would have."""
    if change == 'changes':
        store.put(KIND, FIRST, 'changed')
    elif change == 'is created':
        store.put(KIND, f'{FIRST}-new', 'created')
    else:
        store.remove(KIND, FIRST)
    if change == 'is removed and created':
        store.put(KIND, FIRST, 'created again')


def interrupt(store: Store, when_changed: str) -> None:
    """Have the followers of the store list again, if they are to."""
    if when_changed == 'after an interruption':
        store.cut_watches()
    elif when_changed == 'after a lost history':
        store.drop_history()


@given('a kind of 60 objects that are listed in two pages')
def sixty_objects(context: Any) -> None:
    context.scene = follow_objects


async def follow_objects(
    change: str, when_changed: str
) -> tuple[dict[str, bytes], dict[str, bytes]]:
    """Follow a kind; return what the follower and the store have."""
    clock = virtual_clock()
    store = Store(STORE, clock)
    for number in range(COUNT):
        store.put(KIND, f'object-{number:02}', 'old')
    await store.start()
    client = HttpClient(clock)
    objects = ObjectClient(DirectCaller(client, STORE))
    view = RecordingView()
    watch = Watch(KIND, dt.timedelta(), WAIT)
    watcher = Watcher(objects, StoreNews(objects, clock), watch, view, clock)
    at_start = when_changed == 'at the start'
    if at_start:
        arm(store, change)
    following = asyncio.create_task(watcher.run())
    await asyncio.sleep(SETTLED_S)
    if not at_start:
        arm(store, change)
        interrupt(store, when_changed)
        await asyncio.sleep(SETTLED_S)
    assert not store.write_faults.between_pages, (
        'no listing of two pages was made'
    )
    following.cancel()
    await client.close()
    await store.stop()
    return view.specs, {
        name: f'"{spec}"'.encode()
        for name, spec in store.table.specs(KIND).items()
    }


def arm(store: Store, change: str) -> None:
    """Have the store make the change between two pages of a listing."""
    store.write_faults.between_pages[KIND] = lambda: change_object(
        store, change
    )


@when('an object of the first page {change} between the pages, {when_changed}')
def change_between_pages(context: Any, change: str, when_changed: str) -> None:
    context.found = run_virtual(context.scene(change, when_changed))


@then("a follower of the kind has the store's objects")
def check_followed(context: Any) -> None:
    followed, stored = context.found
    differing = {
        name: (followed.get(name), stored.get(name))
        for name in followed.keys() | stored.keys()
        if followed.get(name) != stored.get(name)
    }
    assert not differing, differing


async def lists_again(site: Site, interrupted: str) -> None:
    """Have the entry list its upstreams, at a start or while it runs."""
    if interrupted == 'starts':
        await site.kill('entry-0')
        await site.add_entry('entry-0')
    elif interrupted == 'lists after an interruption':
        site.store.cut_watches()
    else:
        site.store.drop_history()


@given('a site of 60 upstreams')
def sixty_upstreams(context: Any) -> None:
    context.upstreams = COUNT


@when('an upstream of the first page {leaves} while an entry {interrupted}')
def leave_between_pages(context: Any, leaves: str, interrupted: str) -> None:
    async def scene(site: Site) -> None:
        await site.start(engines=0, entries=1)
        spec = site.services['desk-1'].registration(service='other')
        for number in range(context.upstreams):
            site.store.put('servers', f'other-{number}', spec)
        await asyncio.sleep(DRAIN_S)
        leaving = site.services['desk-0']

        def leave() -> None:
            if leaves == 'drains':
                draining = leaving.registration(state='draining')
                site.store.put('servers', 'desk-0', draining)
            else:
                site.store.remove('servers', 'desk-0')

        site.store.write_faults.between_pages['servers'] = leave
        await lists_again(site, interrupted)
        await asyncio.sleep(DRAIN_S)
        assert not site.store.write_faults.between_pages, (
            'no listing of two pages was made'
        )
        before = len(leaving.seen)
        for number in range(20):
            reply = await site.ask(
                'entry-0', 'GET', f'/book/{number}', Request_Id=f'b{number}'
            )
            assert reply is not None and reply.status == 200, reply
        context.late = leaving.seen[before:]

    play(scene)


@then('no call reaches that upstream 2 s later')
def check_no_late_calls(context: Any) -> None:
    assert not context.late, len(context.late)


@given('a site with 60 models')
def sixty_models(context: Any) -> None:
    context.models = COUNT


@when('a version is published between two pages, as the agent starts')
def publish_between_pages(context: Any) -> None:
    async def scene(site: Site) -> None:
        # The names come after that of the engine's model.
        for number in range(context.models):
            name = f'z{number}'
            site.store.put('versions', name, {'model': name, 'version': 2})
        publish(site, 1)
        site.store.write_faults.between_pages['versions'] = lambda: publish(
            site, 2
        )
        engine = await start_engine_with_agent(site)
        assert not site.store.write_faults.between_pages, (
            'no listing of two pages was made'
        )
        await asyncio.sleep(2)
        context.version = engine.version

    play(scene)


@then('the engine has that version 4 s later')
def check_version(context: Any) -> None:
    assert context.version == 2, context.version


#: Names of objects that are written (``True``) or removed (``False``).
HISTORIES: Final = strategies.lists(
    strategies.tuples(strategies.sampled_from('abcd'), strategies.booleans()),
    min_size=1,
    max_size=20,
)
REVISIONS: Final = strategies.integers(0, 20)


@then('after every history a view is never older than its listing')
def check_views(_: Any) -> None:
    @settings(derandomize=True, max_examples=600, deadline=None, database=None)
    @given_cases(HISTORIES, REVISIONS, REVISIONS, strategies.lists(REVISIONS))
    def check(
        history: list[tuple[str, bool]],
        first_page_at: int,
        second_page_at: int,
        ends: list[int],
    ) -> None:
        pages = sorted(
            min(at_page, len(history))
            for at_page in (first_page_at, second_page_at)
        )
        check_view(history, pages, [*sorted(set(ends)), len(history)])

    check()


def check_view(
    history: list[tuple[str, bool]], pages: list[int], ends: list[int]
) -> None:
    """Follow a history from a listing of two pages.

    Parameters
    ----------
    history
        Changes in order; their revisions count from 1.
    pages
        Revisions at which the two pages were read.
    ends
        Revisions at which a batch of changes ends.
    """
    first, second = (states_at(history, at_page) for at_page in pages)
    listed = {
        **{name: seen for name, seen in first.items() if name < 'c'},
        **{name: seen for name, seen in second.items() if name >= 'c'},
    }
    ahead = ListedAhead.from_listing(
        Listing(
            tuple(
                StoredObject(name, Revision(revision), b'')
                for name, revision in listed.items()
            ),
            Revision(pages[0]),
        )
    )
    known = dict(listed)
    since = pages[0]
    followed = [end for end in ends if pages[0] < end <= len(history)]
    for until in followed:
        found = Changes(
            tuple(changes_of(history, since, until)), Revision(until)
        )
        since = until
        for change in ahead.without_older(found):
            known.pop(change.stored.name, None)
            if not change.removed:
                known[change.stored.name] = change.stored.revision
        for name, revision in listed.items():
            later = {
                states_at(history, at_revision).get(name)
                for at_revision in range(revision, len(history) + 1)
            }
            assert known.get(name) in later, (history, pages, ends)
    assert known == states_at(history, len(history)), (history, pages, ends)


def states_at(history: list[tuple[str, bool]], until: int) -> dict[str, int]:
    """Return the revisions of the objects that exist at a revision."""
    found: dict[str, int] = {}
    for revision, (name, is_written) in enumerate(history[:until], start=1):
        found.pop(name, None)
        if is_written:
            found[name] = revision
    return found


def changes_of(
    history: list[tuple[str, bool]], since: int, until: int
) -> Iterator[Change]:
    """Yield the changes of a history after `since` up to `until`."""
    for revision, (name, is_written) in enumerate(history, start=1):
        if since < revision <= until:
            stored = StoredObject(name, Revision(revision), b'')
            yield Change(stored, removed=not is_written)


@given('a job whose parts and results take two pages')
def long_job(context: Any) -> None:
    context.stored = COUNT


@when('results are stored between the pages of its listing')
def store_between_pages(context: Any) -> None:
    context.results = run_virtual(load_while_stored(context.stored))


async def load_while_stored(count: int) -> int:
    """Load a job while a result is stored; return how many results it has."""
    clock = virtual_clock()
    store = Store(STORE, clock)
    await store.start()
    client = HttpClient(clock)
    jobs = JobStore(ObjectClient(DirectCaller(client, STORE)))
    job = JobId(JOB)
    kind = parts_kind(job)
    store.put(kind, part_name(0), json.loads(split(JOB_SPEC)[0]))
    for number in range(count):
        await jobs.append(job, number, result_record(number))
    later = json.loads(msgspec.json.encode(result_record(count)))
    store.write_faults.between_pages[kind] = lambda: store.put(
        kind, record_name(count), later
    )
    loaded = await jobs.load(job)
    assert not isinstance(loaded, Outcome), loaded
    assert not store.write_faults.between_pages, (
        'no listing of two pages was made'
    )
    await client.close()
    await store.stop()
    return len(loaded.ledger)


def result_record(number: int) -> ResultRecord:
    """Return a record of one result."""
    item = ItemId(f'{JOB}.{number}')
    return ResultRecord('writer', (ItemResult(item, ItemState.LOST),))


@then('the loaded job has every result that was stored before')
def check_loaded(context: Any) -> None:
    assert context.results >= context.stored, context.results
