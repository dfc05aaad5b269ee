"""Steps for calls that wait at an entry, on whole sites in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
import gc
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any
from unittest import mock

from behave import given, then, when

from bergamotdoor import utils
from bergamotdoor.calls.attempts import CallAttempts
from bergamotdoor.cli.ctl import Seen, status_lines
from bergamotdoor.fleet.fleet import Fleet
from bergamotdoor.fleet.known_load import ReportedLoad
from bergamotdoor.fleet.loads import Loads
from bergamotdoor.forwarding.call import Call as ForwardedRequest
from bergamotdoor.forwarding.forwarded_call import ForwardedCall
from bergamotdoor.forwarding.relayed_stream import relayed_stream
from bergamotdoor.gateway.readmission import Readmission
from bergamotdoor.platform import headers
from bergamotdoor.queueing.service_calls import CallQueueing
from bergamotdoor.types import ServiceId
from features.fleet_scenes import upstream
from lab.client import Call
from lab.site import Site, at, play
from lab.site_routes import plain_route
from lab.upstreams import Upstream, UpstreamMode
from lab.wire import ENGINES, HOST, route

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PATIENCE = dt.timedelta(seconds=60)
KEYS = ('ant-key', 'bee-key')


class Crowd:
    """A site with a busy service, and callers that post to it at once."""

    def __init__(self, work_s: float) -> None:
        self.work_s = work_s
        self.replies: list[Any] = []
        self.highest = 0
        self.took_ms = 0

    def play(self, act: Callable[[Site], Awaitable[Any]]) -> None:
        async def scene(site: Site) -> None:
            await site.start(engines=0, services=1, entries=1)
            self.site = site
            self.service = site.services['desk-0']
            self.observe(self.service)
            # The service time is known after the first call.
            await self.post('first')
            self.service.seen.clear()
            await act(site)

        play(scene)

    def observe(self, service: Upstream) -> None:
        service.work_s = self.work_s
        run = service.run

        async def observed(*arguments: Any) -> Any:
            self.highest = max(self.highest, len(service.running))
            return await run(*arguments)

        setattr(service, 'run', observed)  # noqa: B010

    async def post(
        self, name: str, path: str = '/book/', ms: int = 4000, key: str = ''
    ) -> Any:
        fields = (
            ('X-Bergamotdoor-Request-Id', name),
            ('X-Bergamotdoor-Deadline-Ms', str(ms)),
            ('Authorization', f'Bearer {key}'),
        )
        call = Call(
            'POST', f'{path}{name}', b'x', fields[: 3 if key else 2], PATIENCE
        )
        began = self.site.clock.elapsed()
        reply = await self.site.client.send(
            at(self.site.ports['entry-0']), call
        )
        self.took_ms = utils.to_ms(self.site.clock.elapsed() - began)
        return reply

    def start(self, count: int, **options: Any) -> list[asyncio.Task[Any]]:
        return [
            asyncio.create_task(self.post(f'call-{number}', **options))
            for number in range(count)
        ]

    async def read(self, path: str) -> bytes:
        call = Call('GET', path, idempotent=True)
        reply = await self.site.client.send(
            at(self.site.ports['entry-0'] + 3), call
        )
        assert reply is not None
        return reply.body

    @property
    def got(self) -> list[str]:
        return [seen.request for seen in self.service.seen]

    @property
    def statuses(self) -> list[Any]:
        return [reply and reply.status for reply in self.replies]


@given('a site with a service of 4 slots that takes {work_s:g} s for a call')
def site_with_one(context: Any, work_s: float) -> None:
    context.crowd = Crowd(work_s)


@when('{count:d} callers post at once')
def post_at_once(context: Any, count: int) -> None:
    crowd = context.crowd

    async def act(site: Site) -> None:
        tasks = crowd.start(count)
        await asyncio.sleep(0.1)
        seen = Seen(at(1), await crowd.read('/state'))
        context.status = list(status_lines((seen,)))
        crowd.replies = await asyncio.gather(*tasks)
        context.metrics = (await crowd.read('/metrics')).decode()

    crowd.play(act)


@then(
    'the {count:d} callers get 200, and the service never ran over {most:d} '
    'calls'
)
def all_served(context: Any, count: int, most: int) -> None:
    assert context.crowd.statuses.count(200) == count, context.crowd.statuses
    assert context.crowd.highest == most, context.crowd.highest


@then('the metrics count 8 calls that waited, and the state showed them')
def shown(context: Any) -> None:
    lines = context.metrics.split('\n')
    assert 'bergamotdoor_calls_queued_total{service="desk"} 8' in lines, lines
    assert 'bergamotdoor_queued_latency_count{service="desk"} 8' in lines
    place = context.status.index('services with calls: 1')
    assert context.status[place + 1 : place + 3] == [
        '  desk: 8 calls wait at 1 entries, forecast at most 0.40 s, '
        '4 of 4 allowed in flight',
        '    (no account): 8 calls wait',
    ], context.status


@when('{count:d} callers post at once, and then one that waits for 300 ms')
def post_one_with_little_time(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        tasks = context.crowd.start(count)
        await asyncio.sleep(0.01)
        context.crowd.replies = [await context.crowd.post('last', ms=300)]
        context.took_ms = context.crowd.took_ms
        await asyncio.gather(*tasks)
        context.metrics = (await context.crowd.read('/metrics')).decode()

    context.crowd.play(act)


@then('the last gets 503 within {ms:d} ms, and a delay of its forecast wait')
def refused_at_once(context: Any, ms: int) -> None:
    assert context.crowd.statuses == [503]
    assert context.took_ms <= ms, context.took_ms
    # 8 calls wait before 4 slots of 0.2 s each.
    delay = float(context.crowd.replies[0].headers.first('retry-after'))
    assert round(delay * 1000) in range(380, 620), delay
    assert 'calls_refused_late_total{service="desk"} 1' in context.metrics


@then('the service never got its call')
def never_got_last(context: Any) -> None:
    assert 'last' not in context.crowd.got, context.crowd.got


@when('{count:d} callers post at once, and the last 3 leave after 0.1 s')
def last_leave(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        tasks = context.crowd.start(count)
        await asyncio.sleep(0.1)
        for task in tasks[-3:]:
            task.cancel()
        await asyncio.sleep(0.01)
        state = site.entries['entry-0']._context
        context.waiting = len(state.queueing.services()[0].queue)
        await asyncio.gather(*tasks, return_exceptions=True)
        upstream = next(iter(state.fleet)).upstream
        context.leftover = (
            len(state.queueing.services()[0].queue),
            state.queueing.limits.of(upstream).in_flight,
            state.loads.of(upstream).in_flight,
        )

    context.crowd.play(act)


@then('the service got the calls of {count:d} callers, and no other')
def got_calls(context: Any, count: int) -> None:
    expected = {f'call-{number}' for number in range(count)}
    assert set(context.crowd.got) == expected, context.crowd.got
    # 9 calls less the 4 that are in flight: no place is kept for the others.
    assert context.waiting == 5, context.waiting
    assert context.leftover == (0, 0, 0), context.leftover


@when('7 callers and one more post, and its {what} ends while it waits')
def end_admission(context: Any, what: str) -> None:
    async def act(site: Site) -> None:
        site.routes.append(plain_route('/other/', 'safe', 2))
        put_keys(site, KEYS)
        await asyncio.sleep(0.5)
        tasks = context.crowd.start(7, key=KEYS[0])
        await asyncio.sleep(0.01)
        last = context.crowd.post('last', '/other/', key=KEYS[1])
        tasks.append(asyncio.create_task(last))
        await asyncio.sleep(0.05)
        if what == 'route':
            site.routes.pop()
        put_keys(site, KEYS if what == 'route' else KEYS[:1])
        context.crowd.replies = await asyncio.gather(*tasks)

    context.crowd.play(act)


def put_keys(site: Site, keys: tuple[str, ...]) -> None:
    site.put_manifest(
        tenants=[{'name': key, 'api_keys': [key]} for key in keys]
    )


@then('the 7 callers get 200 and the last {status:d}')
def last_status(context: Any, status: int) -> None:
    statuses = context.crowd.statuses
    assert statuses.count(200) == 7, statuses
    assert statuses[-1] == status, statuses


@when('calls of priorities 5, 3 and 0 wait, the lowest for longest')
def wait_by_priority(context: Any) -> None:
    async def act(site: Site) -> None:
        site.routes.append(plain_route('/other/', 'safe', 2))
        next(one for one in site.routes if one['name'] == '/book/').update(
            priority=3
        )
        ant, bee = ({'name': key, 'api_keys': [key]} for key in KEYS)
        site.put_manifest(tenants=[ant, {**bee, 'priority': 5}])
        await asyncio.sleep(0.5)
        tasks = []
        for name, path, key in (
            *((f'call-{number}', '/book/', KEYS[0]) for number in range(4)),
            ('low', '/other/', KEYS[1]),
            ('middle', '/book/', KEYS[0]),
            ('high', '/other/', KEYS[0]),
        ):
            await asyncio.sleep(0.01)
            post = context.crowd.post(name, path, key=key)
            tasks.append(asyncio.create_task(post))
        context.crowd.replies = await asyncio.gather(*tasks)

    context.crowd.play(act)


@then('they are sent by priority, and an account has its own before its route')
def sent_by_priority(context: Any) -> None:
    sent = sorted(context.crowd.service.seen, key=lambda seen: seen.at_s)
    order = [seen.request for seen in sent[4:]]
    assert order == ['high', 'middle', 'low'], order


@when('a caller posts while the service refuses calls for 0.2 s')
def refuse_for_a_while(context: Any) -> None:
    async def act(site: Site) -> None:
        context.crowd.service.mode = UpstreamMode.FULL
        task = asyncio.create_task(context.crowd.post('last'))
        await asyncio.sleep(0.2)
        context.crowd.service.mode = UpstreamMode.GOOD
        context.crowd.replies = [await task]

    context.crowd.play(act)


@then('the caller gets 200 as soon as the backoff ends')
def served_after_refusal(context: Any) -> None:
    assert context.crowd.statuses == [200]
    # A backoff of 0.3 s, one check of the queue, and a call of 0.2 s.
    assert context.crowd.took_ms in range(500, 530), context.crowd.took_ms


@when('a caller that waits for 1500 ms posts while the service refuses')
def post_to_refusing(context: Any) -> None:
    async def act(_: Site) -> None:
        context.crowd.service.mode = UpstreamMode.FULL
        context.crowd.replies = [await context.crowd.post('last', ms=1500)]

    context.crowd.play(act)


@then('the last gets 503 within {ms:d} ms, and a delay')
def not_held(context: Any, ms: int) -> None:
    assert context.crowd.statuses == [503]
    assert context.crowd.took_ms <= ms, context.crowd.took_ms
    delay = float(context.crowd.replies[0].headers.first('retry-after'))
    assert round(delay * 1000) in range(100, 750), delay


@when('a caller posts once to a service that refuses and reports its load')
def post_to_reporting(context: Any) -> None:
    async def act(site: Site) -> None:
        context.crowd.service.mode = UpstreamMode.FULL
        report = ReportedLoad(4, 0, 4)
        with mock.patch.object(headers, 'parse_load', return_value=report):
            context.crowd.replies = [await context.crowd.post('last', ms=100)]
        state = site.entries['entry-0']._context
        upstream = next(iter(state.fleet)).upstream
        now = state.clock.elapsed()
        calls = state.queueing.limits.of(upstream)
        context.learned = (calls.has_refused(now), calls.learned_limit(4, now))

    context.crowd.play(act)


@then('the limit that refusals have shown is still {limit:d}')
def not_reduced(context: Any, limit: int) -> None:
    assert context.learned == (True, limit), context.learned


@when('3 callers that wait for 290 ms post after a refusal')
def post_after_refusal(context: Any) -> None:
    async def act(site: Site) -> None:
        crowd = context.crowd
        crowd.service.work_s = 0.05
        await asyncio.gather(*(crowd.post(f'fast-{n}') for n in range(20)))
        crowd.highest = 0
        crowd.service.mode = UpstreamMode.FULL
        crowd.replies = [await crowd.post('refused', ms=30)]
        assert crowd.statuses == [503], crowd.statuses
        crowd.service.mode = UpstreamMode.GOOD
        crowd.replies = await asyncio.gather(*crowd.start(3, ms=290))

    context.crowd.play(act)


@when('a call breaks at a service and finds no room at another in time')
def break_and_wait(context: Any) -> None:
    async def act(site: Site) -> None:
        broken = await site.add_service('desk-1')
        broken.mode = UpstreamMode.BROKEN
        await asyncio.sleep(0.5)
        context.crowd.service.work_s = 1.2
        tasks = context.crowd.start(4)
        # The backoff of the broken service ends, and the other one is full.
        await asyncio.sleep(0.7)
        context.crowd.replies = [await context.crowd.post('last', ms=340)]
        context.took_ms = context.crowd.took_ms
        await asyncio.gather(*tasks)
        assert 'last' in [seen.request for seen in broken.seen]
        assert 'last' not in context.crowd.got

    context.crowd.play(act)


@then('the caller gets 504 after it waited')
def gets_unclear(context: Any) -> None:
    assert context.crowd.statuses == [504]
    assert context.took_ms > 50, context.took_ms


@when('{count:d} callers post at once to two services')
def post_to_two(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        second = await site.add_service('desk-1')
        context.crowd.observe(second)
        await asyncio.sleep(0.5)
        tasks = context.crowd.start(count)
        context.crowd.replies = await asyncio.gather(*tasks)
        context.ran = [
            *context.crowd.got,
            *(seen.request for seen in second.seen),
        ]

    context.crowd.play(act)


@then('the {count:d} callers get 200, and each call ran once')
def ran_once(context: Any, count: int) -> None:
    assert context.crowd.statuses.count(200) == count, context.crowd.statuses
    assert len(context.ran) == len(set(context.ran)) == count, context.ran


def post_without_target(context: Any, services: int) -> None:
    context.checks = 0
    wait_time = CallAttempts.wait_time

    def counted(*arguments: Any, **options: Any) -> dt.timedelta:
        context.checks += 1
        assert context.checks < 1000, 'no pause between checks'
        return wait_time(*arguments, **options)

    async def act(site: Site) -> None:
        for number in range(1, services):
            await site.add_service(f'desk-{number}')
        site.routes.append(plain_route('/other/', 'safe', 2))
        site.routes[-1].pop('goal_ms', None)
        site.put_manifest()
        await asyncio.sleep(0.5)
        with mock.patch.object(CallAttempts, 'wait_time', counted):
            context.crowd.replies = [
                await context.crowd.post('last', '/other/')
            ]
        state = site.entries['entry-0']._context
        now = state.clock.elapsed()
        context.has_left = state.queueing.services()[0].hedges.has_left(now)

    context.crowd.play(act)


@when('a caller posts on a route without a target latency')
def post_to_one_without_target(context: Any) -> None:
    post_without_target(context, 1)


@when('a caller posts without a target latency to two services')
def post_to_two_without_target(context: Any) -> None:
    post_without_target(context, 2)


@then(
    'its call gets 200 after {least:d} to {most:d} checks, and used up no hedge'
)
def few_checks(context: Any, least: int, most: int) -> None:
    assert context.crowd.statuses == [200]
    assert least <= context.checks <= most, context.checks
    assert context.has_left


@when('an entry stops while {count:d} callers of a long route wait')
def stop_while_waiting(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        site.routes.append(plain_route('/long/', 'safe', 1))
        site.routes[-1]['timeout_ms'] = 60_000
        site.put_manifest()
        context.crowd.service.work_s = 2
        await asyncio.sleep(0.5)
        tasks = context.crowd.start(count, path='/long/', ms=60_000)
        await asyncio.sleep(0.1)
        await site.entries.pop('entry-0').stop()
        context.crowd.replies = await asyncio.gather(*tasks)

    context.crowd.play(act)


@then('the {count:d} callers get 200, or 503 and did not run')
def none_cut_off(context: Any, count: int) -> None:
    statuses = context.crowd.statuses
    assert set(statuses) == {200, 503}, statuses
    assert len(statuses) == count, statuses
    assert len(context.crowd.got) == statuses.count(200), context.crowd.got


@when('12 callers post at once, and the second admission of one fails')
def fail_admission(context: Any) -> None:
    check = Readmission.check

    def failing(self: Any, request: Any, *arguments: Any) -> Any:
        if request.target.endswith('call-6'):
            raise RuntimeError(request.target)
        return check(self, request, *arguments)

    async def act(_: Site) -> None:
        with mock.patch.object(Readmission, 'check', failing):
            context.crowd.replies = await asyncio.gather(
                *context.crowd.start(12)
            )

    context.crowd.play(act)


@then('11 callers get 200 and one 500')
def one_failed(context: Any) -> None:
    statuses = context.crowd.statuses
    assert statuses.count(200) == 11, statuses
    assert statuses[6] == 500, statuses


@when('12 callers post at once without a cyclic collector')
def post_without_collector(context: Any) -> None:
    async def act(_: Site) -> None:
        gc.collect()
        gc.disable()
        try:
            context.crowd.replies = await asyncio.gather(
                *context.crowd.start(12)
            )
            kinds = (ForwardedCall, ForwardedRequest)
            context.kept = sum(
                isinstance(one, kinds) for one in gc.get_objects()
            )
        finally:
            gc.enable()

    context.crowd.play(act)


@then('the 12 callers get 200, and none of their calls is in memory')
def none_in_memory(context: Any) -> None:
    assert context.crowd.statuses.count(200) == 12, context.crowd.statuses
    assert not context.kept, context.kept


@then('a stream of which nothing is read counts until its body is dropped')
def stream_dropped(_: Any) -> None:
    one = upstream(0)
    loads = Loads()
    state: Any = SimpleNamespace(
        loads=loads,
        queueing=CallQueueing(loads),
        fleet=Fleet(),
        clock=SimpleNamespace(elapsed=dt.timedelta),
    )
    call: Any = SimpleNamespace(route=SimpleNamespace(resumable=False))
    body = relayed_stream(state, call, one, mock.Mock())
    counts = [loads.of(one.upstream), state.queueing.limits.of(one.upstream)]
    assert [count.in_flight for count in counts] == [1, 1]
    del body
    assert [count.in_flight for count in counts] == [0, 0]


@when('5 streams of 0.4 s are requested from an engine of 4 slots')
def request_streams_in_turn(context: Any) -> None:
    request_streams(context, 0.02)


@when('5 streams are requested at once from an engine of 4 slots')
def request_streams_at_once(context: Any) -> None:
    request_streams(context, 0)


def request_streams(context: Any, interval_s: float) -> None:
    async def act(site: Site) -> None:
        site.routes.append(route(HOST, '/flow/', 'stream', ENGINES))
        site.put_manifest()
        engine = await site.add_engine('engine-0')
        await asyncio.sleep(0.5)
        tasks = []
        for number in range(5):
            post = site.ask(
                'entry-0',
                'POST',
                f'/flow/{number}',
                b'10',
                Request_Id=f's{number}',
            )
            tasks.append(asyncio.create_task(post))
            await asyncio.sleep(interval_s)
        context.crowd.replies = await asyncio.gather(*tasks)
        context.begun_s = [seen.at_s for seen in engine.seen]
        state = site.entries['entry-0']._context
        found = next(state.fleet.of_service(ServiceId(ENGINES)))
        calls = state.queueing.limits.of(found.upstream)
        context.leftover = (
            calls.in_flight,
            state.loads.of(found.upstream).in_flight,
        )

    context.crowd.play(act)


@then('no count of a stream is left over')
def no_count_left(context: Any) -> None:
    assert context.leftover == (0, 0), context.leftover


@then('the last begins after another has ended')
def last_begins_later(context: Any) -> None:
    assert context.crowd.statuses.count(200) == 5, context.crowd.statuses
    later_s = context.begun_s[-1] - context.begun_s[0]
    assert later_s * 1000 > 390, context.begun_s
