"""Steps for plain calls on whole sites in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import Any

from behave import given, then, when

from bergamotdoor.types import RegistrationId
from lab.client import Call
from lab.site import Site, at, play
from lab.site_routes import plain_route
from lab.store import StoreMode
from lab.upstreams import UpstreamMode

SLOW_S = 0.7


class Plan:
    """What a scenario sets up and does, played at its first check."""

    def __init__(self) -> None:
        self.prepare: list[Any] = []
        self.act: Any = None
        self.engines = 0

    async def __call__(self, site: Site) -> Any:
        await site.start(engines=self.engines, entries=1)
        for prepared in self.prepare:
            prepared(site)
        await asyncio.sleep(0.6)
        return await self.act(site)


@given('a site for calls')
def a_site(context: Any) -> None:
    context.plan = Plan()


@given('a site for calls whose first upstream is {mode}')
def first_is(context: Any, mode: str) -> None:
    a_site(context)

    def prepare(site: Site) -> None:
        set_mode(site, 'desk-0', mode)

    context.plan.prepare.append(prepare)


@given('a site for calls whose upstreams are {mode}')
def all_are(context: Any, mode: str) -> None:
    a_site(context)

    def prepare(site: Site) -> None:
        for name in site.services:
            set_mode(site, name, mode)

    context.plan.prepare.append(prepare)


@given('a site for calls whose upstreams take {seconds:d} s')
def all_take(context: Any, seconds: int) -> None:
    a_site(context)

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
        service.work_s = SLOW_S
    elif mode == 'draining':
        spec = service.registration(state='draining')
        site.store.put('servers', name, spec)
    else:
        service.mode = UpstreamMode(mode)


@given('a site for calls whose first upstream was replaced at its address')
def replaced(context: Any) -> None:
    a_site(context)

    def prepare(site: Site) -> None:
        site.services['desk-0'].name = 'desk-9'
        # So that it would be chosen.
        set_mode(site, 'desk-1', 'slow')

    context.plan.prepare.append(prepare)


@given('a site for calls whose first upstream answers with another id')
def another_id(context: Any) -> None:
    a_site(context)

    def prepare(site: Site) -> None:
        service = site.services['desk-0']
        honest = service.fields
        setattr(service, 'fields', lambda _: honest('another'))  # noqa: B010

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
def posts_often(context: Any, size: int, path: str, times: int) -> None:
    async def act(site: Site) -> None:
        for _ in range(times):
            await post(context, site, path, size)

    play_plan(context, act)


@when('a caller posts {size:d} bytes to {path}')
def posts(context: Any, size: int, path: str) -> None:
    play_plan(context, lambda site: post(context, site, path, size))


@when('callers ask for {first}, {second} and {third}')
def ask_three(context: Any, first: str, second: str, third: str) -> None:
    async def act(site: Site) -> list[int]:
        replies = [
            await post(context, site, path, 1)
            for path in (first, second, third)
        ]
        return [reply.status for reply in replies]

    play_plan(context, act)


@when('a caller leaves {wait:d} ms after it posted to {path}')
def leaves(context: Any, wait: int, path: str) -> None:
    async def act(site: Site) -> Any:
        task = asyncio.create_task(post(context, site, path, 1))
        await asyncio.sleep(wait / 1000)
        busy = [name for name, one in site.services.items() if one.running]
        task.cancel()
        await asyncio.sleep(0.05)
        left = [name for name, one in site.services.items() if one.running]
        return busy, left

    play_plan(context, act)


@when('an entry is asked to stop {wait:f} s after a call on a long route')
def stops(context: Any, wait: float) -> None:
    async def act(site: Site) -> Any:
        first = asyncio.create_task(post(context, site, '/long/1', 1))
        await asyncio.sleep(wait)
        entry = site.entries['entry-0']
        stopping = asyncio.create_task(entry.stop())
        await asyncio.sleep(0.01)
        ready = await probe(site)
        await asyncio.sleep(1)
        second = asyncio.create_task(post(context, site, '/long/2', 1))
        replies = await asyncio.gather(first, second)
        await stopping
        site.entries.clear()
        return ready, [reply and reply.status for reply in replies]

    play_plan(context, act)


async def probe(site: Site) -> int:
    reply = await site.client.send(
        at(site.ports['entry-0'] + 1),
        Call('GET', '/-/readyz', idempotent=True),
    )
    assert reply is not None
    return reply.status


@then('the caller gets 200 with the proof of an upstream')
def proven(context: Any) -> None:
    reply = context.outcome
    assert reply is not None
    assert reply.status == 200, (reply.status, reply.body)
    stamp = reply.headers.first('x-bergamotdoor-server-stamp')
    assert stamp.startswith('proof of desk'), stamp
    name, request = stamp.removeprefix('proof of ').split()
    assert request == reply.headers.first('x-bergamotdoor-request-id')
    assert reply.body.decode().startswith(name), reply.body


@then('the upstream got the method, path, body, id and less time than asked')
def got(context: Any) -> None:
    seen = [one for up in context.site.services.values() for one in up.seen]
    assert [one.request for one in seen] == ['call-1'], seen
    headers = seen[0].headers
    assert headers['content-length'] == '2000'
    assert int(headers['x-bergamotdoor-deadline-ms']) <= 1500, headers
    assert b'/book/visit 2000' in context.outcome.body


@then('the callers get {first:d}, {second:d} and {third:d}')
def statuses(context: Any, first: int, second: int, third: int) -> None:
    assert context.outcome == [first, second, third], context.outcome


@given('a site whose entry starts while the store is away')
def starts_alone(context: Any) -> None:
    async def scene(site: Site) -> Any:
        await site.store.start()
        site.put_manifest()
        await site.add_service('desk-0')
        site.store.mode = StoreMode.BUSY
        await site.add_entry('entry-0')
        await asyncio.sleep(1)
        reply = await post(context, site, '/book/1', 1)
        before = await probe(site)
        site.store.mode = StoreMode.UP
        await asyncio.sleep(2)
        return reply, before, await probe(site)

    found = play(scene)
    context.reply = found[0]
    context.readiness = found[1:]


@given(
    'a site whose entry starts while the store takes {answer_s:g} s an answer'
)
def starts_slowly(context: Any, answer_s: float) -> None:
    async def scene(site: Site) -> Any:
        await site.store.start()
        site.put_manifest()
        await site.add_service('desk-0')
        site.store.answer_s = answer_s
        await site.add_entry('entry-0')
        return await post(context, site, '/book/1', 1)

    context.reply = play(scene)


@then('a caller that comes at once gets 200')
def at_once(context: Any) -> None:
    assert context.reply.status == 200, context.reply.status


@then('the caller gets 503 with a time to come back')
def come_back(context: Any) -> None:
    assert context.reply.status == 503, context.reply.status
    assert float(context.reply.headers.first('retry-after')) > 0


@then('the entry is not ready, and ready once the store is back')
def readiness(context: Any) -> None:
    assert context.readiness == (503, 200), context.readiness


@then('the caller gets 504 without any promise')
def no_promise(context: Any) -> None:
    assert context.outcome.status == 504, context.outcome.status


@then('the call reached {count:d} upstream')
def reached(context: Any, count: int) -> None:
    seen = [one for up in context.site.services.values() for one in up.seen]
    assert len(seen) == count, seen


@then('the caller waited at most {most:d} ms')
def waited(context: Any, most: int) -> None:
    assert context.took <= dt.timedelta(milliseconds=most), context.took


@then('no upstream works half a second later')
def none_works(context: Any) -> None:
    busy, left = context.outcome
    assert busy
    assert not left, left


@then('the replaced upstream is asked no more')
def asked_no_more(context: Any) -> None:
    fleet = context.site.entries['entry-0']._context.fleet
    assert fleet.registered(RegistrationId('desk-0')) is None


@then('the first upstream got none of them')
def none_of_them(context: Any) -> None:
    first, second = context.site.services.values()
    assert not first.seen, first.seen
    assert second.seen


@then('the call is answered whole, and so is one that came 1 s later')
def both_answered(context: Any) -> None:
    assert context.outcome[1] == [200, 200], context.outcome


@then('the entry was not ready from the first moment on')
def not_ready(context: Any) -> None:
    assert context.outcome[0] == 503, context.outcome


@given('a site whose streams break off after {events:d} events somewhere')
def streams(context: Any, events: int) -> None:
    context.plan = Plan()
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
        # So that the first engine is chosen.
        busy = site.engines['engine-1']
        spec = busy.registration(slots=1, zone='there')
        site.store.put('servers', busy.name, spec)

    context.plan.prepare.append(prepare)


@when('a caller asks for a stream of {count:d} events that may be resumed')
def asks_resumable(context: Any, count: int) -> None:
    ask_stream(context, count, 'True')


@when('a caller asks for a stream of {count:d} events that may not be resumed')
def asks_plain(context: Any, count: int) -> None:
    ask_stream(context, count, 'False')


def ask_stream(context: Any, count: int, resumable: str) -> None:
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


@then('the caller gets events 1 to {count:d}, each once, and a whole answer')
def whole_stream(context: Any, count: int) -> None:
    assert context.outcome is not None
    blocks = context.outcome.body.decode().split('\n\n')[:-1]
    numbers = [int(block.split('\n')[0].split(': ')[1]) for block in blocks]
    assert numbers == list(range(1, count + 1)), numbers


@then('the caller sees the answer break off')
def breaks(context: Any) -> None:
    assert context.outcome is None, context.outcome
