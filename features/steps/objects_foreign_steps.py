"""Steps for objects that other writers put under the followed kinds."""

from __future__ import annotations

import asyncio
import datetime as dt
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
from features.job_scenes import JOB, lengths_of, owner_of, submit_job
from features.support import logged
from lab.site import Site, play
from lab.virtual import run_virtual, virtual_clock

if TYPE_CHECKING:
    from collections.abc import Callable

draws = hypothesis.strategies
GRACE = dt.timedelta(seconds=3)
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)


def registration(number: int) -> dict[str, Any]:
    """Return the spec of a valid registration."""
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


def object_of(name: str, spec: Any) -> dict[str, Any]:
    """Return an object as the store lists it."""
    return {'metadata': {'name': name, 'rev': 7}, 'spec': spec}


REMOVED = object()
UNEXPECTED_VALUES = draws.one_of(
    draws.just(REMOVED),
    draws.none(),
    draws.booleans(),
    draws.lists(draws.integers(), max_size=2),
    draws.dictionaries(draws.text(max_size=3), draws.integers(), max_size=2),
    draws.just('\x00�'),
    draws.just(1e300),
    draws.just(10**30),
)
#: Fields without which, or with another type, a registration is invalid.
REQUIRED_FIELDS = draws.sampled_from(
    ('service', 'address', 'zone', 'version', 'slots', 'state', 'seq', 'born')
)


def invalid_object(drawn: tuple[str, Any]) -> dict[str, Any]:
    """Return an object whose registration has one invalid field.

    Parameters
    ----------
    drawn
        The name of the field, and its unexpected value.
    """
    field, unexpected = drawn
    spec = {**registration(9), field: unexpected}
    if unexpected is REMOVED:
        spec.pop(field)
        # Older upstreams register without their start time.
        spec.setdefault('born', 'never')
    elif isinstance(unexpected, int) and unexpected > 1:
        spec = {**registration(9), 'born': unexpected}
    elif field in {'slots', 'seq', 'born'} and isinstance(unexpected, bool):
        spec[field] = 'true'
    elif field in {'service', 'zone', 'version'} and isinstance(
        unexpected, str
    ):
        spec['address'] = unexpected
    return object_of('bad', spec)


INVALID_OBJECTS = draws.one_of(
    draws.tuples(REQUIRED_FIELDS, UNEXPECTED_VALUES).map(invalid_object),
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
            object_of('bad', 'AAECAwQ='),
            object_of('bad', None),
        )
    ),
)


class FollowedFleet:
    """A fleet, and the view that updates it."""

    def __init__(self) -> None:
        self.fleet = Fleet()
        self.view = FleetView(self.fleet, virtual_clock(), GRACE, lambda: None)

    def names(self) -> list[str]:
        """Return the names of the registrations in the fleet."""
        return sorted(upstream.registration for upstream in self.fleet)


def parse_readable(parse: Callable[[bytes], Any], body: bytes) -> Any:
    """Return a parsed body; fail if it is unreadable as a whole."""
    try:
        return parse(body)
    except UnreadableError as error:
        raise AssertionError(
            f'the whole body is unreadable: {error}'
        ) from error


def page_of(objects: list[Any]) -> bytes:
    """Return the body of a page of a listing."""
    return json.dumps({'items': objects, 'as_of': 9}).encode()


@then('300 pages of registrations with an invalid object give only valid ones')
def check_pages(_: Any) -> None:
    @SETTINGS
    @hypothesis.given(
        draws.integers(0, 4), draws.integers(0, 4), INVALID_OBJECTS
    )
    def check(before: int, after: int, invalid: Any) -> None:
        valid = [
            object_of(f'e{number}', registration(number))
            for number in range(before + after)
        ]
        objects = [*valid[:before], invalid, *valid[before:]]

        async def read_names() -> list[str]:
            followed = FollowedFleet()
            followed.view.reset(
                parse_readable(parse_page, page_of(objects)).listing
            )
            return followed.names()

        assert run_virtual(read_names()) == [
            one['metadata']['name'] for one in valid
        ]

    check()


@then('300 watch responses with an invalid change give only valid changes')
def check_watches(_: Any) -> None:
    @SETTINGS
    @hypothesis.given(draws.integers(0, 3), INVALID_OBJECTS, draws.booleans())
    def check(place: int, invalid: Any, known: bool) -> None:
        valid = [
            object_of(f'e{number}', registration(number)) for number in range(3)
        ]
        events: list[Any] = [{'object': one} for one in valid]
        events.insert(place, {'object': invalid})
        body = json.dumps({'events': events, 'as_of': 9}).encode()

        async def read_names() -> list[str]:
            followed = FollowedFleet()
            if known:
                first = object_of('bad', registration(9))
                followed.view.reset(parse_page(page_of([first])).listing)
            followed.view.apply(parse_readable(parse_changes, body).changes)
            return [name for name in followed.names() if name != 'bad']

        assert run_virtual(read_names()) == ['e0', 'e1', 'e2']

    check()


@given('a registration whose {field} is {written}')
def registration_with(context: Any, field: str, written: str) -> None:
    spec = registration(1)
    if written == 'missing':
        spec.pop(field)
    else:
        spec[field] = json.loads(written)
    context.registration = StoredObject(
        'e1', Revision(1), json.dumps(spec).encode()
    )


@then('no upstream can be read from it')
def is_unreadable(context: Any) -> None:
    try:
        found = parse_upstream(context.registration)
    except UnreadableError:
        return
    raise AssertionError(found)


@given("a site whose first service's registration is overwritten for 1 s")
def overwrite_registration(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(engines=0, entries=1)
        first = site.services['desk-0']
        site.store.put('servers', 'desk-0', {'service': 'desk', 'seq': 'x'})
        await asyncio.sleep(1)
        context.meanwhile = await responding_services(site)
        site.store.put('servers', 'desk-0', first.registration())
        await asyncio.sleep(1)
        context.afterwards = await responding_services(site)

    play(scene)


async def responding_services(site: Site) -> set[str]:
    """Return the services that respond to ten concurrent calls."""
    replies = await asyncio.gather(
        *(
            site.ask('entry-0', 'POST', '/book/x', Request_Id=f'c{number}')
            for number in range(10)
        )
    )
    assert all(reply and reply.status == 200 for reply in replies), replies
    return {reply.body.split()[0].decode() for reply in replies if reply}


@then('the second service alone answers calls, and later both do')
def second_then_both(context: Any) -> None:
    assert context.meanwhile == {'desk-1'}, context.meanwhile
    assert context.afterwards == {'desk-0', 'desk-1'}, context.afterwards


@given('a view that gets a foreign object 5 times in 2 revisions')
def apply_foreign(context: Any) -> None:
    async def apply() -> None:
        followed = FollowedFleet()
        for revision in (1, 1, 1, 2, 2):
            foreign = StoredObject('strange', Revision(revision), b'{}')
            followed.view.reset(Listing((foreign,), Revision(revision)))
            followed.view.apply((Change(foreign, removed=False),))

    with logged('bergamotdoor.gateway') as lines:
        run_virtual(apply())
        context.lines = [line for line in lines if 'strange' in line]


@then('the log has {count:d} lines about it')
def check_lines(context: Any, count: int) -> None:
    assert len(context.lines) == count, context.lines


FOREIGN_SPECS: tuple[Any, ...] = (
    'AAECAwQ=',
    {},
    [1, 2],
    None,
    {'version': 'x'},
)


def put_foreign_objects(site: Site) -> None:
    """Put foreign objects under every kind that is followed."""
    kinds = (
        'config', 'servers', 'versions', 'retirements', 'entries', 'jobs',
        f'job-{JOB}',
    )  # fmt: skip
    for kind in kinds:
        for number, spec in enumerate(FOREIGN_SPECS):
            site.store.put(kind, f'foreign-{number}', spec)
            site.store.put(kind, f'a-foreign-{number}', spec)


@given('a site with foreign objects under every kind')
def foreign_everywhere(context: Any) -> None:
    context.groups = [[3, 3], [4, 4]]

    async def scene(site: Site) -> None:
        put_foreign_objects(site)
        await site.start()
        engine = site.engines['engine-0']
        await site.add_agent('side-0', engine)
        await site.add_agent('store-0', None)
        context.responding = await responding_services(site)
        await submit_job(site, context.groups)
        put_foreign_objects(site)
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


@then('calls are answered, and every entry has all results of a job')
def has_all_results(context: Any) -> None:
    assert context.responding
    first, second = context.results
    assert first == second
    assert {one['id'] for one in first} == set(lengths_of(context.groups))


@then('an engine loads the new version')
def loads_version(context: Any) -> None:
    assert context.version == 2, context.version


@then('a storage VM is evacuated on request')
def is_evacuated(context: Any) -> None:
    assert context.evacuation == {'state': 'completed'}, context.evacuation


@given('a site whose job has an unreadable record of results')
def unreadable_record(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[2, 2], [3, 3]])
        await site.all_results('entry-0', JOB)
        site.store.put(f'job-{JOB}', 'result-000000', {'writer': 5})
        await site.kill(owner_of(site))
        await asyncio.sleep(1)
        entry = next(iter(site.entries))
        context.status = await site.results(entry, JOB)

    play(scene)


@then("requests for its results get status 503 after the owner's crash")
def results_refused(context: Any) -> None:
    assert context.status == 503, context.status
