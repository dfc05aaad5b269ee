"""Steps for objects that other writers put under kinds of ours."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

import hypothesis
from behave import given, then

from bergamotdoor.entry.views import FleetView
from bergamotdoor.fleet.fleet import Fleet
from bergamotdoor.platform.engines import parse_upstream
from bergamotdoor.platform.store_wire import parse_changes, parse_page
from bergamotdoor.stored import (
    Change,
    Listing,
    StoredObject,
    UnreadableError,
)
from bergamotdoor.types import Revision
from features.job_scenes import JOB, handed_in, lengths_of, owner_of
from features.support import logged
from lab.site import Site, play
from lab.virtual import run_virtual, virtual_clock

if TYPE_CHECKING:
    from collections.abc import Callable

draws = hypothesis.strategies
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)


def registration(number: int) -> dict[str, Any]:
    return {
        'service': 'lm',
        'address': f'10.0.0.{number}:80',
        'zone': 'z',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': number,
        'born': 1_700_000_000_000 + number,
    }


def listed(name: str, spec: Any) -> dict[str, Any]:
    return {'metadata': {'name': name, 'rev': 7}, 'spec': spec}


REMOVED = object()
STRANGE = draws.one_of(
    draws.just(REMOVED),
    draws.none(),
    draws.booleans(),
    draws.lists(draws.integers(), max_size=2),
    draws.dictionaries(draws.text(max_size=3), draws.integers(), max_size=2),
    draws.just('\x00�'),
    draws.just(1e300),
    draws.just(10**30),
)
#: Of another type or missing, each makes an entry another writer's.
NEEDED = draws.sampled_from(
    ('service', 'address', 'zone', 'version', 'slots', 'state', 'seq', 'born')
)


def spoilt(drawn: tuple[str, Any]) -> dict[str, Any]:
    field, strange = drawn
    spec = {**registration(9), field: strange}
    if strange is REMOVED:
        spec.pop(field)
        # Older upstreams tell no start.
        spec.setdefault('born', 'never')
    elif isinstance(strange, int) and strange > 1:
        spec = {**registration(9), 'born': strange}
    elif field in {'slots', 'seq', 'born'} and isinstance(strange, bool):
        spec[field] = 'true'
    elif field in {'service', 'zone', 'version'} and isinstance(strange, str):
        spec['address'] = strange
    return listed('bad', spec)


BAD_OBJECTS = draws.one_of(
    draws.tuples(NEEDED, STRANGE).map(spoilt),
    draws.sampled_from(
        (
            None,
            17,
            [],
            {},
            {'metadata': None},
            {'metadata': {'rev': 3}, 'spec': registration(9)},
            {'metadata': {'name': 5}, 'spec': registration(9)},
            {'metadata': {'name': 'bad', 'rev': 'x'}, 'spec': registration(9)},
            listed('bad', 'AAECAwQ='),
            listed('bad', None),
        )
    ),
)


class Taken:
    """A fleet that is fed by a view, and what it holds."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.view = FleetView(self.fleet, virtual_clock(), lambda: None)

    def names(self) -> list[str]:
        return sorted(one.registration for one in self.fleet)


def whole(parse: Callable[[bytes], Any], body: bytes) -> Any:
    try:
        return parse(body)
    except UnreadableError as error:
        raise AssertionError(f'nothing was read: {error}') from error


def page_of(objects: list[Any]) -> bytes:
    return json.dumps({'items': objects, 'as_of': 9}).encode()


@then('300 pages of good entries with a bad one give just the good ones')
def pages(_: Any) -> None:
    @SETTINGS
    @hypothesis.given(draws.integers(0, 4), draws.integers(0, 4), BAD_OBJECTS)
    def check(before: int, behind: int, bad: Any) -> None:
        good = [
            listed(f'e{number}', registration(number))
            for number in range(before + behind)
        ]
        objects = [*good[:before], bad, *good[before:]]

        async def take() -> list[str]:
            taken = Taken()
            taken.view.reset(whole(parse_page, page_of(objects)).listing)
            return taken.names()

        assert run_virtual(take()) == [one['metadata']['name'] for one in good]

    check()


@then('300 answers of watches with a bad change give just the good changes')
def watches(_: Any) -> None:
    @SETTINGS
    @hypothesis.given(draws.integers(0, 3), BAD_OBJECTS, draws.booleans())
    def check(place: int, bad: Any, known: bool) -> None:
        good = [
            listed(f'e{number}', registration(number)) for number in range(3)
        ]
        events: list[Any] = [{'object': one} for one in good]
        events.insert(place, {'object': bad})
        body = json.dumps({'events': events, 'as_of': 9}).encode()

        async def take() -> list[str]:
            taken = Taken()
            if known:
                first = listed('bad', registration(9))
                taken.view.reset(parse_page(page_of([first])).listing)
            taken.view.apply(whole(parse_changes, body).changes)
            return [name for name in taken.names() if name != 'bad']

        assert run_virtual(take()) == ['e0', 'e1', 'e2']

    check()


@given('an entry whose {field} is {written}')
def entry_with(context: Any, field: str, written: str) -> None:
    spec = registration(1)
    if written == 'missing':
        spec.pop(field)
    else:
        spec[field] = json.loads(written)
    context.entry = StoredObject('e1', Revision(1), json.dumps(spec).encode())


@then('it names no upstream')
def names_none(context: Any) -> None:
    try:
        found = parse_upstream(context.entry)
    except UnreadableError:
        return
    raise AssertionError(found)


@given("a site whose first service's entry is overwritten for 1 s")
def overwritten(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(engines=0, entries=1)
        first = site.services['desk-0']
        site.store.put('servers', 'desk-0', {'service': 'desk', 'seq': 'x'})
        await asyncio.sleep(1)
        context.meanwhile = await served(site)
        site.store.put('servers', 'desk-0', first.registration())
        await asyncio.sleep(1)
        context.afterwards = await served(site)

    play(scene)


async def served(site: Site) -> set[str]:
    """Return the services that answer ten calls at once."""
    replies = await asyncio.gather(
        *(
            site.ask('entry-0', 'POST', '/book/x', Request_Id=f'c{number}')
            for number in range(10)
        )
    )
    assert all(reply and reply.status == 200 for reply in replies), replies
    return {reply.body.split()[0].decode() for reply in replies if reply}


@then('callers are served by the second one, and then by both')
def then_both(context: Any) -> None:
    assert context.meanwhile == {'desk-1'}, context.meanwhile
    assert context.afterwards == {'desk-0', 'desk-1'}, context.afterwards


@given('a view that is shown a foreign entry 5 times in 2 revisions')
def shown(context: Any) -> None:
    async def show() -> None:
        taken = Taken()
        for revision in (1, 1, 1, 2, 2):
            foreign = StoredObject('strange', Revision(revision), b'{}')
            taken.view.reset(Listing((foreign,), Revision(revision)))
            taken.view.apply((Change(foreign, removed=False),))

    with logged('bergamotdoor.gateway') as lines:
        run_virtual(show())
        context.lines = [line for line in lines if 'strange' in line]


@then('the log has {count:d} lines about it')
def told(context: Any, count: int) -> None:
    assert len(context.lines) == count, context.lines


FOREIGN: tuple[Any, ...] = ('AAECAwQ=', {}, [1, 2], None, {'version': 'x'})


def scatter(site: Site) -> None:
    """Put foreign objects under every kind that is followed."""
    kinds = (
        'config', 'servers', 'versions', 'retirements', 'entries', 'jobs',
        f'job-{JOB}',
    )  # fmt: skip
    for kind in kinds:
        for number, spec in enumerate(FOREIGN):
            site.store.put(kind, f'foreign-{number}', spec)
            site.store.put(kind, f'a-foreign-{number}', spec)


@given('a site with foreign objects under every kind')
def everywhere(context: Any) -> None:
    context.groups = [[3, 3], [4, 4]]

    async def scene(site: Site) -> None:
        scatter(site)
        await site.start()
        engine = site.engines['engine-0']
        await site.add_agent('side-0', engine)
        await site.add_agent('store-0', None)
        context.served = await served(site)
        await handed_in(site, context.groups)
        scatter(site)
        context.results = [
            await site.all_results(entry, JOB) for entry in sorted(site.entries)
        ]
        site.store.put('versions', 'm', {'model': 'm', 'version': 2})
        await asyncio.sleep(3)
        context.version = engine.version
        site.store.put('retirements', 'store-0', {'duration_s': 5})
        await asyncio.sleep(1)
        status = site.store.table.of_kind('retirements')['store-0']['status']
        context.evacuation = status

    play(scene)


@then('calls are answered, and a job is whole at every entry')
def job_whole(context: Any) -> None:
    assert context.served
    first, second = context.results
    assert first == second
    assert {one['id'] for one in first} == set(lengths_of(context.groups))


@then('an engine takes a new version')
def takes_version(context: Any) -> None:
    assert context.version == 2, context.version


@then('a storage machine is emptied when it is asked to be')
def emptied(context: Any) -> None:
    assert context.evacuation == {'state': 'completed'}, context.evacuation


@given('a site whose job has a broken record of results')
def broken_record(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await handed_in(site, [[2, 2], [3, 3]])
        await site.all_results('entry-0', JOB)
        site.store.put(f'job-{JOB}', 'result-000000', {'writer': 5})
        await site.kill(owner_of(site))
        await asyncio.sleep(1)
        entry = next(iter(site.entries))
        context.status = await site.results(entry, JOB)

    play(scene)


@then('its results are answered with 503 after a restart')
def not_guessed(context: Any) -> None:
    assert context.status == 503, context.status
