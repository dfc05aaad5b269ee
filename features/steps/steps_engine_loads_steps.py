"""Steps for bergamotdoor.steps.engine_loads and announced weight loads."""

from __future__ import annotations

import asyncio
import datetime as dt
from collections import Counter
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any
from unittest import mock

import hypothesis
import msgspec
from behave import given, then, when
from hypothesis import strategies as st

from bergamotdoor.fleet.loads import UpstreamLoad
from bergamotdoor.fleet.model_assignment import LOAD_TIME
from bergamotdoor.jobs import PendingLoads, Progress, choose_moves
from bergamotdoor.peers import codec
from bergamotdoor.peers.client import serve_peer
from bergamotdoor.peers.messages import AdoptJob, JobOwned
from bergamotdoor.peers.weight_messages import EngineLoaded, LoadAnnounced
from bergamotdoor.types import ItemId, ModelId, UpstreamId, WeightVersion
from features.fleet_scenes import publish
from features.job_scenes import JOB, owner_of, running_requests
from features.steps.jobs_placement_steps import measured_speeds
from features.support import logged
from lab.site import Site, play

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lab.upstreams import Engine

MODEL = ModelId('m')
#: The messages that entries of the previous release can decode, as far as
#: these scenes send them.
PREVIOUS_REQUESTS = AdoptJob | JobOwned | EngineLoaded


def ms(value: float) -> dt.timedelta:
    return dt.timedelta(milliseconds=value)


async def prepare(
    site: Site, models: int, speed: int, others: int = 1
) -> Engine:
    """Start a job with an item at each of three engines, and an agent.

    The other engines have a version of their own.
    """
    await site.start(engines=3, services=0)
    for name, engine in site.engines.items():
        engine.version = 1 if name == 'engine-0' else others
        registered = engine.registration()
        if models > 1:
            registered['models'].append({'name': 'other', 'version': 1})
        site.store.put('servers', name, registered)
    site.engines['engine-0'].event_s /= speed
    await site.add_agent('side-0', site.engines['engine-0'])
    await asyncio.sleep(2)
    await site.submit('entry-0', JOB, [[300], [300], [300]])
    await asyncio.sleep(0.7)
    assert len(running_requests(site)) == 3, running_requests(site)
    return site.engines['engine-0']


@given('a site whose engines two models share, with an item at each engine')
def shared_site(context: Any) -> None:
    context.models = 2
    context.patches = ()
    context.answers = True
    context.speed = 1


@given('the other engines have loaded version 2')
def others_loaded(context: Any) -> None:
    context.others = 2


@given('a site whose engines one model has, with an item at each engine')
def site_of_one_model(context: Any) -> None:
    context.models = 1
    context.patches = ()
    context.answers = True
    context.speed = 1


@given('entries that are of the previous release')
def previous_release(context: Any) -> None:
    decoder = msgspec.msgpack.Decoder(PREVIOUS_REQUESTS)
    context.patches = (mock.patch.object(codec, '_REQUEST_DECODER', decoder),)


@given('entries that do not answer announcements')
def unanswered(context: Any) -> None:
    context.answers = False


def leave_unanswered(service: Any) -> None:
    """Keep a service from replying to announcements."""
    handle = service.handle

    async def wait_forever(message: Any) -> Any:
        if isinstance(message, LoadAnnounced):
            await asyncio.Event().wait()
        return await handle(message)

    service.handle = wait_forever


def play_scene(
    context: Any, scene: Callable[[Site, Engine], Awaitable[None]]
) -> None:
    """Play a scene on the prepared site, and keep what it logs and counts."""

    async def whole(site: Site) -> None:
        others = getattr(context, 'others', 1)
        engine = await prepare(site, context.models, context.speed, others)
        context.owner = owner_of(site)
        if not context.answers:
            for entry in site.entries.values():
                leave_unanswered(entry._components.peer_service)
        await scene(site, engine)
        rows = site.entries[context.owner]._context.metrics.snapshot().counters
        context.counts = Counter({row.name: row.count for row in rows})

    for patch in context.patches:
        patch.start()
    try:
        with logged('bergamotdoor.agent') as lines:
            play(whole)
            context.agent_lines = lines
    finally:
        mock.patch.stopall()


async def probe(site: Site, engine: Engine, job: str) -> int:
    """Submit a job of six short items; return how many the engine gets."""
    before = len(engine.seen)
    await site.submit('entry-0', job, [[1, 1], [1, 1], [1, 1]])
    await asyncio.sleep(0.1)
    return len(engine.seen) - before


@when('the first engine is ordered to load version 2 of its model')
def order_load(context: Any) -> None:
    async def scene(site: Site, engine: Engine) -> None:
        publish(site, 2)
        while not engine.orders:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        context.items_left = set(engine.running)
        context.items_running = len(running_requests(site))
        context.sent_in_load = await probe(site, engine, 'j2')
        while engine.version < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        context.items_later = set(engine.running)
        context.sent_after = await probe(site, engine, 'j3')
        context.engine = engine

    play_scene(context, scene)


@given('a first engine that is three times as fast as the others')
def fast_engine(context: Any) -> None:
    context.speed = 3


@then('its items are still there after the load')
def check_item_stays(context: Any) -> None:
    assert context.items_left
    assert context.items_left <= context.items_later, context.items_later


@then('its item continues at another engine within 100 ms')
def check_moved(context: Any) -> None:
    assert not context.items_left, context.items_left
    assert context.items_running == 3, context.items_running


@then('it moves at once only to an engine that has loaded, to any after 50 ms')
def check_waits_a_moment(context: Any) -> None:
    free = {UpstreamId('e1'): 1}
    for age_ms, settled, moves in (
        (0, free, 1),
        (0, {}, 0),
        (49, {}, 0),
        (50, {}, 1),
    ):
        loads = PendingLoads(
            {UpstreamId('e0'): LOAD_TIME - ms(age_ms)}, frozenset(settled)
        )
        found = choose_moves(
            [progress_of('i', 'e0', 100)], free, context.speeds, ms(1000), loads
        )
        assert len(list(found)) == moves, (age_ms, settled)


@then('the engine gets no item until it has the version')
def check_spared(context: Any) -> None:
    assert context.sent_in_load == 0, context.sent_in_load


@then('it gets items within 400 ms after that')
def check_opened(context: Any) -> None:
    assert context.sent_after > 0, context.sent_after


@then('the owner has counted {loads:d} announcements, {moved:d} items moved')
def check_counts(context: Any, loads: int, moved: int) -> None:
    found = (
        context.counts['loads_announced'],
        context.counts['items_moved_for_load'],
    )
    assert found == (loads, moved), context.counts


async def measure_closed_time(context: Any, site: Site, engine: Engine) -> None:
    """Probe the engine until it gets items; keep the time that it takes."""
    began = site.clock.elapsed()
    number = 0
    while not await probe(site, engine, f'probe-{number}'):
        number += 1
        assert site.clock.elapsed() - began < ms(5000)
    context.closed_s = (site.clock.elapsed() - began).total_seconds()


@when('the owner is told that the first engine {news}')
def tell_owner(context: Any, news: str) -> None:
    kinds: dict[str, type[Any]] = {'loads': LoadAnnounced, 'has': EngineLoaded}

    async def scene(site: Site, engine: Engine) -> None:
        service = site.entries[context.owner]._components.peer_service
        for one in news.split(' and then '):
            word, version = one.split()
            told = kinds[word](
                engine.address, MODEL, WeightVersion(int(version))
            )
            await service.handle(told)
        await measure_closed_time(context, site, engine)

    play_scene(context, scene)


@then(
    'the engine gets no item for {least:g} s, and gets items after {most:g} s'
)
def check_closed(context: Any, least: float, most: float) -> None:
    assert least <= context.closed_s <= most, context.closed_s


@then('the order was sent at most {most_ms:d} ms after the announcement')
def check_order_time(context: Any, most_ms: int) -> None:
    line = next(one for one in context.agent_lines if 'announced' in one)
    assert 'not accepted' in line, line
    assert int(line.split()[-2]) <= most_ms, line


@then('the engine has loaded version 2')
def check_loaded(context: Any) -> None:
    assert context.engine.version == 2
    assert len(context.engine.orders) == 1, context.engine.orders


@given('an upstream that is closed for {closed_ms:d} ms')
def closed_upstream(context: Any, closed_ms: int) -> None:
    context.load = UpstreamLoad()
    context.load.close_until(ms(closed_ms), ms(0))


@then('an acceptance {after_ms:d} ms later leaves it closed')
def check_stays_closed(context: Any, after_ms: int) -> None:
    context.load.record_acceptance(ms(after_ms))
    assert context.load.is_in_backoff(ms(after_ms))


@then('an acceptance {after_ms:d} ms later opens it')
def check_opens(context: Any, after_ms: int) -> None:
    assert context.load.is_in_backoff(ms(after_ms))
    context.load.record_acceptance(ms(after_ms))
    assert not context.load.is_in_backoff(ms(after_ms))


@then('it is open {after_ms:d} ms later without any')
def check_open_again(context: Any, after_ms: int) -> None:
    context.load.close_until(ms(after_ms), ms(0))
    assert context.load.is_in_backoff(ms(after_ms - 1))
    assert not context.load.is_in_backoff(ms(after_ms))


def progress_of(item: str, engine: str, events: int) -> Progress:
    """Return the progress of an item whose last event is 10 ms ago."""
    one = Progress(ItemId(item), UpstreamId(engine), ms(0), events)
    one.advance(1, ms(990))
    return one


def moves_in_load(
    context: Any, events: int, free: dict[UpstreamId, int]
) -> list[str]:
    """Return where an item of the first engine moves, which loads."""
    found = choose_moves(
        [progress_of('i', 'e0', events)],
        free,
        context.speeds,
        ms(1000),
        PendingLoads({UpstreamId('e0'): LOAD_TIME}, frozenset(free)),
    )
    return [move.destination for move in found]


@given('a long item at a fast engine that is about to load weights')
def long_item(context: Any) -> None:
    context.speeds = measured_speeds([25, 25, 50])


@then('it moves to an engine that is as fast, not to one twice as slow')
def check_fast_only(context: Any) -> None:
    slow = {UpstreamId('e2'): 1}
    assert moves_in_load(context, 100, {**slow, UpstreamId('e1'): 1}) == ['e1']
    assert not moves_in_load(context, 100, slow)


@then('a short item moves to the slower one')
def check_short_moves(context: Any) -> None:
    assert moves_in_load(context, 20, {UpstreamId('e2'): 1}) == ['e2']


@then('any items at engines of which some load move to free slots of others')
def check_moves(_: Any) -> None:
    engines = st.sampled_from(['e0', 'e1', 'e2', 'e3'])
    intervals = st.lists(st.sampled_from([0, 25, 50]), min_size=4, max_size=4)
    free_slots = st.dictionaries(engines, st.integers(1, 3))
    running = st.lists(st.tuples(engines, st.integers(1, 200)), max_size=20)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(intervals, free_slots, running, st.sets(engines))
    def check(
        intervals_ms: list[int],
        free: dict[str, int],
        items: list[tuple[str, int]],
        loading: set[str],
    ) -> None:
        progresses = [
            progress_of(str(number), engine, events)
            for number, (engine, events) in enumerate(items)
        ]
        open_slots = {
            UpstreamId(name): count
            for name, count in free.items()
            if name not in loading
        }
        found = list(
            choose_moves(
                progresses,
                open_slots,
                measured_speeds(intervals_ms),
                ms(1000),
                PendingLoads(
                    dict.fromkeys(map(UpstreamId, loading), LOAD_TIME),
                    frozenset(open_slots),
                ),
            )
        )
        arrived = Counter(move.destination for move in found)
        assert all(open_slots[name] >= arrived[name] for name in arrived)
        assert len({move.item for move in found}) == len(found), found
        for move in found:
            assert items[int(move.item)][0] != move.destination, move

    check()


@then('an entry answers 400 to a message that it cannot decode')
def check_unknown_message(_: Any) -> None:
    async def read_body(_limit_bytes: int) -> bytes:
        unknown = msgspec.msgpack.encode({'type': 'NotYetKnown'})
        return b'p%b' % unknown

    async def fail(_message: Any) -> Any:
        raise AssertionError('handled')

    request: Any = SimpleNamespace(read_body=read_body)
    response = asyncio.run(serve_peer(request, fail))
    assert response.status == 400, response
