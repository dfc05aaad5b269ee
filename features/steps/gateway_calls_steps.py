"""Steps for plain calls on whole sites in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
from http import HTTPStatus
from typing import Any

from behave import given, then, when

from bergamotdoor.types import RegistrationId
from lab.client import Call
from lab.site import Site, at, play
from lab.site_routes import plain_route
from lab.store import StoreMode
from lab.upstreams import UpstreamMode

SLOW_WORK_S = 0.7


class CallPlan:
    """Setup and calls of a scenario, played on a site by its `When` step."""

    def __init__(self) -> None:
        self.prepare: list[Any] = []
        self.act: Any = None
        self.engines = 0

    async def __call__(self, site: Site) -> Any:
        await site.start(engines=self.engines, entries=1)
        for prepare in self.prepare:
            prepare(site)
        await asyncio.sleep(0.6)
        return await self.act(site)


@given('a site for calls')
def set_up_site(context: Any) -> None:
    context.plan = CallPlan()


@given('a site for calls whose first upstream is {mode}')
def set_mode_of_first(context: Any, mode: str) -> None:
    set_up_site(context)

    def prepare(site: Site) -> None:
        set_mode(site, 'desk-0', mode)

    context.plan.prepare.append(prepare)


@given('a site for calls whose upstreams are {mode}')
def set_mode_of_all(context: Any, mode: str) -> None:
    set_up_site(context)

    def prepare(site: Site) -> None:
        for name in site.services:
            set_mode(site, name, mode)

    context.plan.prepare.append(prepare)


@given('a site for calls whose upstreams take {seconds:d} s')
def set_work_time_of_all(context: Any, seconds: int) -> None:
    set_up_site(context)

    def prepare(site: Site) -> None:
        site.routes.append({**plain_route('/long/', 'safe', 1)})
        site.routes[-1]['timeout_ms'] = 5000
        site.put_manifest()
        for service in site.services.values():
            service.work_s = seconds

    context.plan.prepare.append(prepare)


def set_mode(site: Site, name: str, mode: str) -> None:
    service = site.services[name]
    if mode == 'slow':
        service.work_s = SLOW_WORK_S
    elif mode == 'draining':
        spec = service.registration(state='draining')
        site.store.put('servers', name, spec)
    else:
        service.mode = UpstreamMode(mode)


@given('a site for calls whose first upstream was replaced at its address')
def replace_first(context: Any) -> None:
    set_up_site(context)

    def prepare(site: Site) -> None:
        site.services['desk-0'].name = 'desk-9'
        # Makes the entry choose the replaced upstream.
        set_mode(site, 'desk-1', 'slow')

    context.plan.prepare.append(prepare)


@given('a site for calls whose first upstream answers with another id')
def answer_with_another_id(context: Any) -> None:
    set_up_site(context)

    def prepare(site: Site) -> None:
        service = site.services['desk-0']
        fields = service.fields
        setattr(service, 'fields', lambda _: fields('another'))  # noqa: B010

    context.plan.prepare.append(prepare)


@given(
    'a site for calls whose upstreams send a late {status:d} of another call'
)
def send_late_responses(context: Any, status: int) -> None:
    set_up_site(context)

    def prepare(site: Site) -> None:
        for service in site.services.values():
            service.late_statuses.append(HTTPStatus(status))

    context.plan.prepare.append(prepare)


def play_plan(context: Any, act: Any) -> None:
    context.plan.act = act
    context.site = None
    context.outcome = play(context.plan)


async def post(context: Any, site: Site, path: str, size: int) -> Any:
    context.site = site
    began = site.clock.elapsed()
    reply = await site.ask(
        'entry-0',
        'POST',
        path,
        b'x' * size,
        Request_Id='call-1',
        Deadline_Ms='4000',
    )
    context.took = site.clock.elapsed() - began
    return reply


@when('a caller posts {size:d} bytes to {path}, {times:d} times')
def post_several_times(context: Any, size: int, path: str, times: int) -> None:
    async def act(site: Site) -> None:
        for _ in range(times):
            await post(context, site, path, size)

    play_plan(context, act)


@when('a caller posts {size:d} bytes to {path}')
def post_once(context: Any, size: int, path: str) -> None:
    play_plan(context, lambda site: post(context, site, path, size))


@when('callers request {first}, {second} and {third}')
def post_to_three(context: Any, first: str, second: str, third: str) -> None:
    async def act(site: Site) -> list[int]:
        replies = [
            await post(context, site, path, 1)
            for path in (first, second, third)
        ]
        return [reply.status for reply in replies]

    play_plan(context, act)


@when('a caller disconnects {wait_ms:d} ms after it posted to {path}')
def disconnect(context: Any, wait_ms: int, path: str) -> None:
    async def act(site: Site) -> Any:
        task = asyncio.create_task(post(context, site, path, 1))
        await asyncio.sleep(wait_ms / 1000)
        busy = [
            name for name, service in site.services.items() if service.running
        ]
        task.cancel()
        await asyncio.sleep(0.05)
        still_busy = [
            name for name, service in site.services.items() if service.running
        ]
        return busy, still_busy

    play_plan(context, act)


@when('an entry begins to stop {wait_s:f} s after a call on a long route')
def begin_stop(context: Any, wait_s: float) -> None:
    async def act(site: Site) -> Any:
        first = asyncio.create_task(post(context, site, '/long/1', 1))
        await asyncio.sleep(wait_s)
        entry = site.entries['entry-0']
        stopping = asyncio.create_task(entry.stop())
        await asyncio.sleep(0.01)
        readiness_status = await probe_readiness(site)
        await asyncio.sleep(1)
        second = asyncio.create_task(post(context, site, '/long/2', 1))
        replies = await asyncio.gather(first, second)
        await stopping
        site.entries.clear()
        return readiness_status, [reply and reply.status for reply in replies]

    play_plan(context, act)


async def probe_readiness(site: Site) -> int:
    reply = await site.client.send(
        at(site.ports['entry-0'] + 1),
        Call('GET', '/-/readyz', idempotent=True),
    )
    assert reply is not None
    return reply.status


@then('the caller gets 200 with the proof of an upstream')
def has_proof_of_upstream(context: Any) -> None:
    reply = context.outcome
    assert reply is not None
    assert reply.status == 200, (reply.status, reply.body)
    stamp = reply.headers.first('x-bergamotdoor-server-stamp')
    assert stamp.startswith('proof of desk'), stamp
    name, request = stamp.removeprefix('proof of ').split()
    assert request == reply.headers.first('x-bergamotdoor-request-id')
    assert reply.body.decode().startswith(name), reply.body


@then('the upstream got the method, path, body and id, and a shorter deadline')
def upstream_got_call(context: Any) -> None:
    runs = [run for up in context.site.services.values() for run in up.seen]
    assert [run.request for run in runs] == ['call-1'], runs
    headers = runs[0].headers
    assert headers['content-length'] == '2000'
    assert int(headers['x-bergamotdoor-deadline-ms']) <= 1500, headers
    assert b'/book/visit 2000' in context.outcome.body


@then('the callers get {first:d}, {second:d} and {third:d}')
def have_statuses(context: Any, first: int, second: int, third: int) -> None:
    assert context.outcome == [first, second, third], context.outcome


@given('a site whose entry starts while the store refuses all calls')
def start_without_store(context: Any) -> None:
    async def scene(site: Site) -> Any:
        await site.store.start()
        site.put_manifest()
        await site.add_service('desk-0')
        site.store.mode = StoreMode.BUSY
        await site.add_entry('entry-0')
        await asyncio.sleep(1)
        reply = await post(context, site, '/book/1', 1)
        status_before = await probe_readiness(site)
        site.store.mode = StoreMode.UP
        await asyncio.sleep(2)
        return reply, status_before, await probe_readiness(site)

    outcome = play(scene)
    context.reply = outcome[0]
    context.readiness = outcome[1:]


@given(
    'a site whose entry starts while the store takes {answer_s:g} s per answer'
)
def start_with_slow_store(context: Any, answer_s: float) -> None:
    async def scene(site: Site) -> Any:
        await site.store.start()
        site.put_manifest()
        await site.add_service('desk-0')
        site.store.answer_s = answer_s
        await site.add_entry('entry-0')
        return await post(context, site, '/book/1', 1)

    context.reply = play(scene)


@then('a call that arrives at once gets 200')
def first_call_is_answered(context: Any) -> None:
    assert context.reply.status == 200, context.reply.status


@then('the caller gets 503 with a retry delay')
def has_retry_delay(context: Any) -> None:
    assert context.reply.status == 503, context.reply.status
    assert float(context.reply.headers.first('retry-after')) > 0


@then('the entry is not ready until the store answers again')
def becomes_ready(context: Any) -> None:
    assert context.readiness == (503, 200), context.readiness


@then('the caller gets 504 since the call may have run')
def may_have_run(context: Any) -> None:
    assert context.outcome.status == 504, context.outcome.status


@then('the call reached {count:d} upstream')
def reached_upstreams(context: Any, count: int) -> None:
    runs = [run for up in context.site.services.values() for run in up.seen]
    assert len(runs) == count, runs


@then('the caller waited at most {limit_ms:d} ms')
def waited_at_most(context: Any, limit_ms: int) -> None:
    assert context.took <= dt.timedelta(milliseconds=limit_ms), context.took


@then('no upstream works on the call 50 ms later')
def no_upstream_works(context: Any) -> None:
    busy, still_busy = context.outcome
    assert busy
    assert not still_busy, still_busy


@then('the entry no longer knows the replaced upstream')
def replaced_is_unknown(context: Any) -> None:
    fleet = context.site.entries['entry-0']._context.fleet
    assert fleet.find_registered(RegistrationId('desk-0')) is None


@then('the first upstream got none of them')
def first_got_none(context: Any) -> None:
    first, second = context.site.services.values()
    assert not first.seen, first.seen
    assert second.seen


@then('that call and one that arrives 1 s later both get 200')
def both_are_answered(context: Any) -> None:
    assert context.outcome[1] == [200, 200], context.outcome


@then('the entry was not ready as soon as the stop began')
def was_not_ready(context: Any) -> None:
    assert context.outcome[0] == 503, context.outcome


@given(
    'a site for streams whose first engine breaks off after {events:d} events'
)
def set_up_streams(context: Any, events: int) -> None:
    context.plan = CallPlan()
    context.plan.engines = 2

    def prepare(site: Site) -> None:
        for resumable in (True, False):
            site.routes.append(
                {
                    **plain_route(f'/stream-{resumable}/', 'stream', 3),
                    'service': 'lm',
                    'timeout_ms': 9000,
                    'can_resume': resumable,
                }
            )
        site.put_manifest()
        site.engines['engine-0'].break_after = events
        # Makes the entry choose the first engine: the second one has one slot
        # and is in another availability zone.
        second = site.engines['engine-1']
        spec = second.registration(slots=1, zone='there')
        site.store.put('servers', second.name, spec)

    context.plan.prepare.append(prepare)


@given('a site for streams whose first engine resets and the others break off')
def set_up_breaking_streams(context: Any) -> None:
    set_up_streams(context, 3)
    context.plan.engines = 4

    def prepare(site: Site) -> None:
        for stream_route in site.routes:
            if stream_route['name'] == '/stream-True/':
                stream_route['max_attempts'] = 2
        site.put_manifest()
        for engine in site.engines.values():
            engine.break_after = 3
        site.engines['engine-0'].mode = UpstreamMode.RESET
        for name in ('engine-2', 'engine-3'):
            spec = site.engines[name].registration(slots=1, zone='there')
            site.store.put('servers', name, spec)

    context.plan.prepare.append(prepare)


@when('a caller requests a stream that may run at 2 engines')
def request_limited_stream(context: Any) -> None:
    async def act(site: Site) -> list[str]:
        await site.ask(
            'entry-0',
            'POST',
            '/stream-True/1',
            b'12',
            Request_Id='call-1',
            Deadline_Ms='8000',
        )
        return [
            name
            for name, engine in site.engines.items()
            if any(seen.request == 'call-1' for seen in engine.seen)
        ]

    play_plan(context, act)


@then('at most {most:d} engines got the request')
def few_engines_got_it(context: Any, most: int) -> None:
    assert 0 < len(context.outcome) <= most, context.outcome


@when('a caller requests a stream of {count:d} events that may be resumed')
def request_resumable_stream(context: Any, count: int) -> None:
    request_stream(context, count, 'True')


@when('a caller requests a stream of {count:d} events that may not be resumed')
def request_plain_stream(context: Any, count: int) -> None:
    request_stream(context, count, 'False')


def request_stream(context: Any, count: int, resumable: str) -> None:
    async def act(site: Site) -> Any:
        return await site.ask(
            'entry-0',
            'POST',
            f'/stream-{resumable}/1',
            str(count).encode(),
            Request_Id='call-1',
            Deadline_Ms='8000',
        )

    play_plan(context, act)


@then('the caller gets events 1 to {count:d}, each once, in a whole response')
def stream_is_whole(context: Any, count: int) -> None:
    assert context.outcome is not None
    blocks = context.outcome.body.decode().split('\n\n')[:-1]
    numbers = [int(block.split('\n')[0].split(': ')[1]) for block in blocks]
    assert numbers == list(range(1, count + 1)), numbers


@then('the response to the caller breaks off')
def response_breaks_off(context: Any) -> None:
    assert context.outcome is None, context.outcome
