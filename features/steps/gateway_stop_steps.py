"""Steps for the duration of a planned stop of an entry."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import Any

from behave import given, then, when

from bergamotdoor.calls.fingerprint import request_fingerprint
from bergamotdoor.fleet.quarantine import Strike
from bergamotdoor.peers.messages import StoreCall, StoreReply
from bergamotdoor.types import JobId, UpstreamId
from features.job_scenes import (
    JOB,
    end_job_at,
    other_entry,
    owner_of,
    submit_job,
)
from lab.site import Site, play
from lab.upstreams import EVENT_S
from lab.wire import DESKS, ENGINES, HOST, route

LONG_TIMEOUT_MS = 20_000
LONG_WORK_S = 12
#: How long after a planned stop begins requests arrive, in seconds.
ARRIVALS_S = (-1, -0.5, 0, 0.5, 1.1)
BOUNDS = {'timeout_ms': LONG_TIMEOUT_MS, 'goal_ms': LONG_TIMEOUT_MS}


@given('an entry with {requests} that end {ends_s:f} s after its planned stop')
def set_up_requests(context: Any, requests: str, ends_s: float) -> None:
    context.requests = requests
    context.ends_s = ends_s


@when('the entry is stopped with these requests in progress')
def stop_with_requests(context: Any) -> None:
    async def scene(site: Site) -> None:
        site.routes.append(route(HOST, '/long/', 'unsafe', DESKS, **BOUNDS))
        site.routes.append(route(HOST, '/tell/', 'stream', ENGINES, **BOUNDS))
        await site.start(engines=2, services=2, entries=2)
        loop = asyncio.get_running_loop()
        stops_at_s = loop.time() + 2
        ends_at_s = stops_at_s + context.ends_s
        requests = [
            asyncio.create_task(
                send_until(site, context.requests, stops_at_s + at_s, ends_at_s)
            )
            for at_s in ARRIVALS_S
        ]
        await asyncio.sleep(stops_at_s - loop.time())
        entry = site.entries.pop('entry-0')
        await entry.stop()
        context.took_s = loop.time() - stops_at_s
        context.grace_s = entry._settings.grace.total_seconds()
        context.replies = await asyncio.gather(*requests)

    play(scene)


async def send_until(
    site: Site, kind: str, at_s: float, ends_at_s: float
) -> Any:
    """Send a request whose upstream completes it at a given moment."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(at_s - loop.time())
    work_s = ends_at_s - loop.time()
    is_stream = kind == 'streams'
    for service in site.services.values():
        service.work_s = work_s
    return await site.ask(
        'entry-0',
        'POST',
        f'/tell/{at_s}' if is_stream else f'/long/{at_s}',
        str(int(work_s / EVENT_S)).encode(),
        timeout_s=LONG_WORK_S,
        Request_Id=f'{kind}-{at_s}',
    )


@then('each request is answered completely')
def requests_are_answered(context: Any) -> None:
    statuses = [reply and reply.status for reply in context.replies]
    assert statuses == [200 for _ in ARRIVALS_S], statuses


@given('an entry that runs a job and has a long call open')
def set_up_long_call(context: Any) -> None:
    context.long_s = LONG_WORK_S


@given('the other entries accept connections and never respond')
def set_up_silent_entries(context: Any) -> None:
    context.silent = True


@when('the entry is stopped as planned')
def stop_entry(context: Any) -> None:
    stop_and_connect(context, 0)


@when(
    'a caller connects {late_s:f} s after the planned stop of the entry began'
)
def stop_and_connect(context: Any, late_s: float) -> None:
    async def scene(site: Site) -> None:
        owner, long_call = await run_job_and_long_call(site)
        entry = site.entries.pop(owner)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        late_call = asyncio.create_task(call_late(site, owner, late_s))
        await entry.stop()
        context.took_s = loop.time() - began_s
        context.grace_s = entry._settings.grace.total_seconds()
        context.late_reply = await late_call
        long_call.cancel()

    play(scene)


async def run_job_and_long_call(
    site: Site,
) -> tuple[str, asyncio.Task[Any]]:
    """Have an entry own a job and forward a call; return its name, the call.

    The other entries do not respond to it.
    """
    site.routes.append(route(HOST, '/long/', 'safe', DESKS, **BOUNDS))
    await site.start(services=1, entries=4)
    site.services['desk-0'].work_s = LONG_WORK_S
    await site.submit('entry-0', 'job', [[200, 200]])
    await asyncio.sleep(1)
    owner = str(site.store.table.specs('jobs')['job']['owner'])
    for name, other in site.entries.items():
        if name != owner:
            setattr(  # noqa: B010
                other._components.peer_service, 'handle', wait_forever
            )
    long_call = asyncio.create_task(
        site.ask(owner, 'GET', '/long/1', timeout_s=LONG_WORK_S, Request_Id='1')
    )
    await asyncio.sleep(0.2)
    return owner, long_call


async def call_late(site: Site, entry: str, late_s: float) -> Any:
    """Send a call a while after the planned stop of an entry began."""
    await asyncio.sleep(late_s)
    return await site.ask(entry, 'GET', '/book/late', Request_Id='late')


@then('the connection of the late caller is refused')
def late_caller_is_refused(context: Any) -> None:
    assert context.late_reply is None, context.late_reply


async def wait_forever(_message: Any) -> Any:
    await asyncio.Event().wait()


@then('the stop ends within the grace period')
def stop_ends_in_time(context: Any) -> None:
    assert context.took_s < context.grace_s, context.took_s


@given('a job whose owner does not answer other entries for {silent_s:d} s')
def set_up_silent_owner(context: Any, silent_s: int) -> None:
    context.silent_s = silent_s


@when("another entry confirms the job's end and is stopped at once")
def end_and_stop(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[200, 200]])
        owner = owner_of(site)
        service = site.entries[owner]._components.peer_service
        answer = service.handle
        setattr(service, 'handle', wait_forever)  # noqa: B010
        # The owner does not find the end in the store by itself.
        site.store.kind_s['jobs'] = LONG_WORK_S
        loop = asyncio.get_running_loop()
        loop.call_later(context.silent_s, setattr, service, 'handle', answer)
        teller = other_entry(site, owner)
        await end_job_at(site, teller)
        await site.entries.pop(teller).stop()
        run = site.entries[owner]._components.owner.get(JobId(JOB))
        assert run is not None
        context.ended = run.ended

    play(scene)


@then('the owner has ended the job when the entry has stopped')
def owner_has_ended(context: Any) -> None:
    assert context.ended


@given('an entry with a long call that is suspected, and a copy of it')
def set_up_copy(context: Any) -> None:
    context.target = '/long/copied'


@when('the entry is stopped as planned with both in progress')
def stop_with_copy(context: Any) -> None:
    async def scene(site: Site) -> None:
        site.routes.append(route(HOST, '/long/', 'safe', DESKS, **BOUNDS))
        await site.start()
        for service in site.services.values():
            service.work_s = LONG_WORK_S
        entry = site.entries.pop('entry-0')
        fingerprint = request_fingerprint('GET', HOST, context.target, b'')
        entry._context.strikes.add(Strike(fingerprint, UpstreamId('gone')))
        calls = []
        for number in range(2):
            call = site.ask(
                'entry-0',
                'GET',
                context.target,
                timeout_s=LONG_WORK_S,
                Request_Id=f'copy-{number}',
            )
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(0.1)
        await entry.stop()
        context.replies = await asyncio.gather(*calls)

    play(scene)


@then('the copy is refused with 503 before the stop ends')
def copy_is_refused(context: Any) -> None:
    _, copy = context.replies
    assert copy, 'the copy was cut off'
    assert copy.status == 503, copy.status


@given('an entry whose call to the store takes {answer_s:f} s')
def set_up_slow_store(context: Any, answer_s: float) -> None:
    context.answer_s = answer_s


@when(
    'the entry is stopped {wait_s:f} s before another entry relays a call there'
)
def relay_during_stop(context: Any, wait_s: float) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        stopping_entry = site.entries.pop('entry-0')
        site.store.answer_s = context.answer_s
        stopping = asyncio.create_task(stopping_entry.stop())
        await asyncio.sleep(wait_s)
        call = StoreCall('GET', '/-/objects/config', b'', 1000)
        peers = site.entries['entry-1']._access.peers
        address = stopping_entry._context.own_address
        context.reply = await peers.ask(address, call, dt.timedelta(seconds=1))
        await stopping

    play(scene)


@then('the other entry gets the answer of the store')
def relayed_call_is_answered(context: Any) -> None:
    assert isinstance(context.reply, StoreReply), context.reply
    assert context.reply.status == 200, context.reply
