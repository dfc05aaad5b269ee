"""Steps for calls that wait at an entry, on whole sites in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from lab.client import Call
from lab.site import Site, at, play
from lab.site_routes import plain_route
from lab.upstreams import Upstream, UpstreamMode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lab.client import Reply

PATIENCE = dt.timedelta(seconds=60)


class Crowd:
    """A site with a busy service, and callers that post to it at once."""

    def __init__(self, work_s: float) -> None:
        self.work_s = work_s
        self.replies: list[Reply | None] = []
        self.highest = 0
        self.took_s: float = 0
        self.leftover: Any = None

    def play(self, act: Callable[[Site], Awaitable[None]]) -> None:
        async def scene(site: Site) -> None:
            await site.start(engines=0, services=1, entries=1)
            self.service = site.services['desk-0']
            self.observe(self.service)
            # The service time is known after the first call.
            await self.post(site, 'first')
            await act(site)
            if site.entries:
                state = site.entries['entry-0']._context
                calls = state.queueing.services()[0]
                limits = state.queueing.limits
                self.leftover = (
                    len(calls.queue),
                    limits.of(next(iter(state.fleet)).upstream).in_flight,
                )

        play(scene)

    def observe(self, service: Upstream) -> None:
        service.work_s = self.work_s
        run = service.run

        async def observed(*arguments: Any) -> Any:
            self.highest = max(self.highest, len(service.running))
            return await run(*arguments)

        setattr(service, 'run', observed)  # noqa: B010

    async def post(
        self,
        site: Site,
        name: str,
        path: str = '/book/',
        wait_ms: int = 4000,
        key: str = '',
    ) -> Reply | None:
        fields = [
            ('X-Bergamotdoor-Request-Id', name),
            ('X-Bergamotdoor-Deadline-Ms', str(wait_ms)),
        ]
        if key:
            fields.append(('Authorization', f'Bearer {key}'))
        call = Call('POST', f'{path}{name}', b'x', tuple(fields), PATIENCE)
        return await site.client.send(at(site.ports['entry-0']), call)

    def start(
        self, site: Site, count: int, **options: Any
    ) -> list[asyncio.Task[Any]]:
        return [
            asyncio.create_task(self.post(site, f'call-{number}', **options))
            for number in range(count)
        ]

    @property
    def got(self) -> list[str]:
        return [seen.request for seen in self.service.seen[1:]]


@given('a site with one service of 4 slots that takes {work_s:g} s for a call')
def site_with_one(context: Any, work_s: float) -> None:
    context.crowd = Crowd(work_s)


@when('{count:d} callers post at once')
def post_at_once(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        tasks = context.crowd.start(site, count)
        context.crowd.replies = await asyncio.gather(*tasks)

    context.crowd.play(act)


@then('each of the {count:d} callers gets 200')
def all_served(context: Any, count: int) -> None:
    statuses = [one and one.status for one in context.crowd.replies]
    assert set(statuses) == {200} and len(statuses) == count, statuses


@then('the service never ran more than {count:d} calls at a time')
def never_more(context: Any, count: int) -> None:
    assert context.crowd.highest == count, context.crowd.highest


@when('{count:d} callers post at once, and then one that waits for 300 ms')
def post_one_with_little_time(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        tasks = context.crowd.start(site, count)
        await asyncio.sleep(0.01)
        began = site.clock.elapsed()
        reply = await context.crowd.post(site, 'last', wait_ms=300)
        context.crowd.took_s = (site.clock.elapsed() - began).total_seconds()
        context.crowd.replies = [reply]
        await asyncio.gather(*tasks)

    context.crowd.play(act)


@then('the last caller gets 503 within {bound_ms:d} ms and when to retry')
def refused_at_once(context: Any, bound_ms: int) -> None:
    reply = context.crowd.replies[-1]
    assert reply.status == 503, reply
    assert context.crowd.took_s <= bound_ms / 1000, context.crowd.took_s
    # 8 calls wait before 4 slots of 0.2 s each.
    delay = float(reply.headers.first('retry-after'))
    assert round(delay * 1000) in range(350, 651), delay


@then('the service never got its call')
def never_got_last(context: Any) -> None:
    assert 'last' not in context.crowd.got, context.crowd.got


@when('{count:d} callers post at once, and the last 3 leave after 0.1 s')
def last_leave(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        tasks = context.crowd.start(site, count)
        await asyncio.sleep(0.1)
        for task in tasks[-3:]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.1)

    context.crowd.play(act)


@then('the service got the calls of {count:d} callers')
def got_calls(context: Any, count: int) -> None:
    expected = [f'call-{number}' for number in range(count)]
    assert sorted(context.crowd.got) == expected, context.crowd.got


@then('no call waits or is in flight afterwards')
def nothing_left(context: Any) -> None:
    assert context.crowd.leftover == (0, 0), context.crowd.leftover


def change_while_waiting(
    context: Any, change: Callable[[Site], None], **options: Any
) -> None:
    async def act(site: Site) -> None:
        site.routes.append(plain_route('/other/', 'safe', 2))
        put_keys(site, 'ant-key', 'bee-key')
        await asyncio.sleep(0.5)
        tasks = context.crowd.start(site, 7, key='ant-key')
        await asyncio.sleep(0.01)
        last = asyncio.create_task(context.crowd.post(site, 'last', **options))
        await asyncio.sleep(0.05)
        change(site)
        context.crowd.replies = await asyncio.gather(*tasks, last)

    context.crowd.play(act)


def put_keys(site: Site, *keys: str) -> None:
    site.put_manifest(
        tenants=[{'name': key[:3], 'api_keys': [key]} for key in keys]
    )


@when('the key of the last of 8 callers is revoked while they wait')
def revoke(context: Any) -> None:
    change_while_waiting(
        context, lambda site: put_keys(site, 'ant-key'), key='bee-key'
    )


@when('the route of the last of 8 callers is removed while they wait')
def remove_route(context: Any) -> None:
    def change(site: Site) -> None:
        site.routes.pop()
        put_keys(site, 'ant-key', 'bee-key')

    change_while_waiting(context, change, key='bee-key', path='/other/')


@then('the last caller gets {status:d}')
def last_status(context: Any, status: int) -> None:
    statuses = [one and one.status for one in context.crowd.replies]
    assert set(statuses[:-1]) == {200}, statuses
    assert statuses[-1] == status, statuses


@when('a caller posts while the service refuses calls for 0.2 s')
def refuse_for_a_while(context: Any) -> None:
    async def act(site: Site) -> None:
        context.crowd.service.mode = UpstreamMode.FULL
        task = asyncio.create_task(context.crowd.post(site, 'last'))
        await asyncio.sleep(0.2)
        context.crowd.service.mode = UpstreamMode.GOOD
        began = site.clock.elapsed()
        context.crowd.replies = [await task]
        context.crowd.took_s = (site.clock.elapsed() - began).total_seconds()

    context.crowd.play(act)


@then('the caller gets 200 after one refusal')
def served_after_refusal(context: Any) -> None:
    assert context.crowd.replies[0].status == 200, context.crowd.replies
    assert context.crowd.got == ['last']
    # The backoff of 0.3 s ends 0.1 s later, and the call takes 0.2 s.
    assert context.crowd.took_s * 1000 <= 350, context.crowd.took_s


@when('a call breaks at a service and finds no room at another in time')
def break_and_wait(context: Any) -> None:
    async def act(site: Site) -> None:
        broken = await site.add_service('desk-1')
        broken.mode = UpstreamMode.BROKEN
        broken.work_s = 0.01
        await asyncio.sleep(0.5)
        context.crowd.service.work_s = 1.2
        tasks = context.crowd.start(site, 4)
        # The backoff of the broken service ends, and the other one is full.
        await asyncio.sleep(0.7)
        context.crowd.replies = [
            await context.crowd.post(site, 'last', wait_ms=320)
        ]
        await asyncio.gather(*tasks)
        assert 'last' in [seen.request for seen in broken.seen]

    context.crowd.play(act)


@then('the caller gets 504')
def gets_unclear(context: Any) -> None:
    assert context.crowd.replies[0].status == 504, context.crowd.replies


@when('{count:d} callers post at once and there is a second service')
def post_to_two(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        context.crowd.second = await site.add_service('desk-1')
        context.crowd.observe(context.crowd.second)
        await asyncio.sleep(0.5)
        tasks = context.crowd.start(site, count)
        context.crowd.replies = await asyncio.gather(*tasks)

    context.crowd.play(act)


@then('each call ran once')
def ran_once(context: Any) -> None:
    second = [seen.request for seen in context.crowd.second.seen]
    ran = [*context.crowd.got, *second]
    assert len(ran) == len(set(ran)) == len(context.crowd.replies), ran


@when('an entry begins to stop while {count:d} callers of a long route wait')
def stop_while_waiting(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        site.routes.append({**plain_route('/long/', 'safe', 1)})
        site.routes[-1]['timeout_ms'] = 60_000
        site.put_manifest()
        await asyncio.sleep(0.5)
        tasks = context.crowd.start(site, count, path='/long/', wait_ms=60_000)
        await asyncio.sleep(0.1)
        await site.entries.pop('entry-0').stop()
        context.crowd.replies = await asyncio.gather(*tasks)

    context.crowd.play(act)


@then('each of the {count:d} callers gets 200 or 503, and none is cut off')
def none_cut_off(context: Any, count: int) -> None:
    statuses = [one and one.status for one in context.crowd.replies]
    assert set(statuses) == {200, 503} and len(statuses) == count, statuses


@then('the service got only the calls that were answered with 200')
def got_answered(context: Any) -> None:
    served = [one.status for one in context.crowd.replies].count(200)
    assert len(context.crowd.got) == served, (served, context.crowd.got)
