"""Steps for loads that entries tell each other."""

from __future__ import annotations

import asyncio
import datetime as dt
from types import SimpleNamespace
from typing import Any, cast

import hypothesis
from behave import given, then, when

from bergamotdoor.fleet.fleet import Fleet
from bergamotdoor.fleet.known_load import KnownLoad, ReportedLoad
from bergamotdoor.fleet.load_telling import LoadTelling
from bergamotdoor.fleet.loads import Loads
from bergamotdoor.http import HttpClient
from bergamotdoor.http.server import HttpServer
from bergamotdoor.observe.metrics import Metrics
from bergamotdoor.peers.client import PeerClient, serve_peer
from bergamotdoor.peers.directory import EntryRecord
from bergamotdoor.peers.load_messages import LoadTold, ToldLoad
from bergamotdoor.peers.load_receivers import LoadReceivers
from bergamotdoor.peers.load_sharing import LoadSharing
from bergamotdoor.peers.messages import Done
from bergamotdoor.tasks import Tasks
from bergamotdoor.types import NodeId, UpstreamId, ZoneId
from features.fleet_scenes import ZONE, upstream, upstreams
from features.steps.fleet_loads_steps import PACED, draws, ms
from lab.site import at
from lab.store import LIMITS
from lab.virtual import run_virtual, virtual_clock

BUSY = UpstreamId('e0')
SENDER = NodeId('entry-1')
OLD = NodeId('entry-2')
NOW = dt.timedelta(seconds=50)


class Sharing:
    """The sharing of loads of one entry, beside entries of a directory."""

    def __init__(self, client: Any = None) -> None:
        self.loads = Loads()
        self.fleet = Fleet((self.loads.forget,))
        self.fleet.put(upstream(0))
        self.clock = virtual_clock()
        self.directory = SimpleNamespace(entries={})
        self.sharing = LoadSharing(
            self.fleet,
            self.loads,
            Metrics(),
            cast(
                'Any',
                SimpleNamespace(
                    directory=self.directory, peers=PeerClient(client)
                ),
            ),
            cast('Any', SimpleNamespace(node=NodeId('entry-0'), zone=ZONE)),
            self.clock,
        )

    def take(self, *names: str) -> None:
        """Take a message of 6 requests at each of these upstreams."""
        told = [ToldLoad(UpstreamId(name), 6, None, 0) for name in names]
        self.sharing.take(LoadTold(SENDER, tuple(told)))

    def estimate(self, name: str = 'e0', after_ms: float = 0) -> int:
        now = self.clock.elapsed() + ms(after_ms)
        return self.loads.of(UpstreamId(name)).estimated_requests(now)


@given('an upstream of which an entry told 6 requests')
def told_six(context: Any) -> None:
    async def scene() -> None:
        context.sharing = Sharing()
        context.sharing.take('e0')
        told: Sharing = context.sharing
        context.estimates = [
            told.estimate('e0', after) for after in (0, 1999, 2000, 60_000)
        ]
        told.take()
        context.after_other = told.estimate()
        told.take('e0')
        started = upstream(0, upstream='e0@2', started=ms(2))
        told.fleet.put(started)
        told.take('e0')
        context.restarted = told.estimate('e0@2')
        context.kept = set(told.loads._loads)

    run_virtual(scene())


@then('its estimate is 6 requests for 2 s, and 0 from then on')
def expires(context: Any) -> None:
    assert context.estimates == [6, 6, 0, 0], context.estimates


@then('a message with other upstreams drops the figure at once')
def replaced_at_once(context: Any) -> None:
    assert context.after_other == 0


@then('it is told of no more requests once it starts again')
def restarted(context: Any) -> None:
    assert context.restarted == 0
    assert 'e0' not in context.kept, context.kept


@then('only the last of {count:d} entries that come and go is remembered')
def forgotten(_: Any, count: int) -> None:
    known = KnownLoad()
    for number in range(count):
        known.record_told(NodeId(f'entry-{number}'), 1, NOW + ms(2000 * number))
    assert list(known._told) == [f'entry-{count - 1}'], known._told


@given('an upstream that reported 3 requests 500 ms ago')
def reported(context: Any) -> None:
    context.known = KnownLoad()
    context.known.record_report(ReportedLoad(3, 0, 6), 0, NOW - ms(500))


@then('a told report of 5 requests that is {age:d} ms old is not used')
def old_report(context: Any, age: int) -> None:
    context.known.record_told_report(ReportedLoad(5, 0, 6), ms(age), 0, NOW)
    assert context.known.other_requests(NOW) == 3
    assert context.known.is_direct


@then('a told report of 5 requests that is {age:d} ms old is used')
def new_report(context: Any, age: int) -> None:
    context.known.record_told_report(ReportedLoad(5, 0, 6), ms(age), 0, NOW)
    assert context.known.other_requests(NOW) == 5
    assert not context.known.is_direct


@then(
    'a told report of 5 requests that is {age:d} ms old is not used by others'
)
def expired_report(_: Any, age: int) -> None:
    known = KnownLoad()
    known.record_told_report(ReportedLoad(5, 0, 6), ms(age), 0, NOW)
    assert known.report is None


@given('an entry beside upstreams of four slots')
def telling(context: Any) -> None:
    context.telling = LoadTelling()
    context.loads = Loads()


def told_at(context: Any, in_flight: int, now_ms: int) -> Any:
    context.loads.of(BUSY).in_flight = in_flight
    return context.telling.figures_to_tell(
        upstreams(2), context.loads, NOW + ms(now_ms)
    )


@then('1 request is not told, and 2 are')
def only_busy(context: Any) -> None:
    assert told_at(context, 1, 0) is None
    assert told_at(context, 2, 0) == {BUSY: 2}


@then('a third one is told after 100 ms, not before')
def paced(context: Any) -> None:
    assert told_at(context, 3, 99) is None
    assert told_at(context, 3, 100) == {BUSY: 3}


@then('their end is told although the upstream is no longer busy')
def end_told(context: Any) -> None:
    assert told_at(context, 0, 200) == {BUSY: 0}
    assert told_at(context, 0, 300) is None


@then('estimates stay within what was told and reported')
def bounded(_: Any) -> None:
    counts = draws.integers(-3, 50)
    figures = draws.lists(
        draws.tuples(draws.sampled_from('abc'), counts, draws.integers(0, 900))
    )

    @PACED
    @hypothesis.given(figures, draws.integers(0, 50), draws.integers(0, 3000))
    def check(told: Any, running: int, age_ms: int) -> None:
        loads = Loads()
        load = loads.of(BUSY)
        now = NOW
        load.known.record_told_report(
            ReportedLoad(running, 0, 8), ms(age_ms), load.in_flight, now
        )
        latest: dict[str, int] = {}
        for sender, in_flight, pause_ms in told:
            now += ms(pause_ms)
            load.known.record_told(NodeId(sender), in_flight, now)
            latest[sender] = max(in_flight, 0)
            most = max(running, sum(latest.values()))
            assert 0 <= load.estimated_requests(now) <= most
        assert load.estimated_requests(now + ms(2000)) == 0

    check()


@then('a told figure of {told:d} requests counts as none')
def negative_figure(_: Any, told: int) -> None:
    known = KnownLoad()
    known.record_told(SENDER, told, NOW)
    assert known.other_requests(NOW) == 0


@given('an entry of the previous release, and one that accepts messages')
def two_receivers(context: Any) -> None:
    context.got = {SENDER: 0, OLD: 0}


async def serve(context: Any, node: NodeId, clock: Any, port: int) -> Any:
    async def accept(_: Any) -> Done:
        return Done()

    async def handle(request: Any) -> Any:
        context.got[node] += 1
        body = await request.read_body(10_000)
        known = node != OLD
        # The previous release has no message of this type.
        body = body if known else body.replace(b'LoadTold', b'NoneTold')

        async def read_body(_: int) -> Any:
            return body

        return await serve_peer(
            cast('Any', SimpleNamespace(read_body=read_body, peer='')), accept
        )

    server = HttpServer(at(port), handle, LIMITS, clock, node)
    await server.start()
    return server


@when('the load changes {count:d} times, every {pause:d} ms')
def keep_changing(context: Any, count: int, pause: int) -> None:
    async def scene() -> None:
        clock = virtual_clock()
        client = HttpClient(clock)
        one = Sharing(client)
        servers = []
        for port, node in enumerate((SENDER, OLD), start=9000):
            servers.append(await serve(context, node, clock, port))
            one.directory.entries[node] = EntryRecord(at(port), ZONE)
        tasks = Tasks()
        tasks.start(one.sharing.run(tasks))
        load = one.loads.of(BUSY)
        context.changes = count
        for number in range(context.changes):
            load.in_flight = 4 if number % 2 else 2
            load.begin_request()
            await asyncio.sleep(pause / 1000)
        context.first = dict(context.got)
        one.sharing.take(LoadTold(OLD, ()))
        load.in_flight = 0
        load.begin_request()
        await asyncio.sleep(0.2)
        await tasks.stop()
        await client.close()
        for server in servers:
            await server.stop(dt.timedelta())

    run_virtual(scene())


@then('the old one gets {count:d} messages, and the other one gets all of them')
def hardly_any(context: Any, count: int) -> None:
    assert context.first == {OLD: count, SENDER: context.changes}, context.first


@then('the old one is told again once it tells something itself')
def told_again(context: Any) -> None:
    assert context.got[OLD] == context.first[OLD] + 1, context.got


@then('an entry among 25 of two zones tells 8 of its own zone')
def own_zone(_: Any) -> None:
    entries = {
        NodeId(f'n{number}'): EntryRecord(
            at(9000 + number), ZONE if number % 2 else ZoneId('far')
        )
        for number in range(25)
    }
    chosen = LoadReceivers(NodeId('n99'), ZONE).choose(entries, NOW)
    assert len(chosen) == 8, chosen
    assert {entry.zone for entry in chosen.values()} == {ZONE}, chosen


@when('{count:d} requests begin 1 ms apart')
def begin_requests(context: Any, count: int) -> None:
    context.messages = []

    async def ask(_: Any, message: Any) -> Done:
        context.messages.append(message)
        return Done()

    async def scene() -> None:
        one = Sharing()
        one.directory.entries[SENDER] = EntryRecord(at(9000), ZONE)
        one.sharing._access.peers = cast('Any', SimpleNamespace(ask=ask))
        tasks = Tasks()
        tasks.start(one.sharing.run(tasks))
        for _ in range(count):
            one.loads.of(BUSY).begin_request()
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.05)
        await tasks.stop()

    run_virtual(scene())


@then('the first message tells of {count:d} requests')
def all_told(context: Any, count: int) -> None:
    assert context.messages[0].loads[0].in_flight == count, context.messages
