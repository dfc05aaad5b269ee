"""Steps for keys that are taken away, on a whole site in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
from typing import TYPE_CHECKING, Any, NamedTuple

from behave import given, then, when

from lab.client import Call
from lab.site import Site, at, play
from lab.store import StoreMode
from lab.virtual import virtual_clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

PROBE_S = 0.1
LASTS_S = 9
HELD, REVOKED = 'held-key', 'revoked-key'


class Probe(NamedTuple):
    """A request and what became of it."""

    key: str
    entry: str
    #: From the key's end on.
    sent_s: float
    status: int
    retry_after: str


class SuspendedClock:
    """Counts what its machine was suspended for in its uptime."""

    def __init__(self) -> None:
        self._clock = virtual_clock()
        self.suspended = dt.timedelta()

    def uptime(self) -> dt.timedelta:
        return self._clock.elapsed() + self.suspended

    def __getattr__(self, name: str) -> Any:
        return getattr(self._clock, name)


class RevocationPlan:
    """Runs a scene on a site that revokes strictly."""

    def __init__(self, entries: int) -> None:
        self.entries = entries
        self.clock = SuspendedClock()

    def run(self, act: Callable[[Site], Awaitable[Any]]) -> Any:
        async def scene(site: Site) -> Any:
            site.revocation = dt.timedelta(seconds=5)
            site.drain = dt.timedelta(seconds=3)
            site.clock = self.clock  # type: ignore[assignment]
            await site.start(entries=self.entries)
            put_keys(site, HELD, REVOKED)
            # Entries find their zone's source when they list each other.
            await asyncio.sleep(6)
            return await act(site)

        return play(scene)


def put_keys(site: Site, *keys: str) -> None:
    site.put_manifest(tenants=[{'name': 'ant', 'api_keys': keys}])


async def probe(site: Site, entry: str, key: str, revoked_s: float) -> Probe:
    loop = asyncio.get_running_loop()
    sent_s = loop.time() - revoked_s
    sent = Call(
        'POST',
        '/book/1',
        b'x',
        (
            ('X-Bergamotdoor-Request-Id', f'{entry}-{key}-{sent_s}'),
            ('Authorization', f'Bearer {key}'),
        ),
    )
    reply = await site.client.send(at(site.ports[entry]), sent)
    assert reply is not None, entry
    wait = reply.headers.first('retry-after')
    return Probe(key, entry, sent_s, reply.status, wait)


async def probes(site: Site, lasts_s: float, revoked_s: float) -> list[Probe]:
    loop = asyncio.get_running_loop()
    until = loop.time() + lasts_s
    running: list[asyncio.Task[Probe]] = []
    while loop.time() < until:
        running.extend(
            asyncio.create_task(probe(site, entry, key, revoked_s))
            for entry in site.entries
            for key in (HELD, REVOKED)
        )
        await asyncio.sleep(PROBE_S)
    return list(await asyncio.gather(*running))


def break_store(site: Site, trouble: str) -> None:
    if trouble == 'silent':
        site.store.mode = StoreMode.SILENT
    elif trouble == 'busy':
        site.store.mode = StoreMode.BUSY
    else:
        cut_entry(site, away=True)


def cut_entry(site: Site, away: bool) -> None:
    """Have one entry, the source of its zone, reach no store."""
    caller = site.entries['entry-0']._access.direct
    address = site.store.address
    nowhere = type(address)(ip=address.ip, port=1)
    caller.address = nowhere if away else address


@given('a site of {entries:d} entries where revoked keys stop within 5 s')
def strict_site(context: Any, entries: int) -> None:
    context.plan = RevocationPlan(entries)


@when('the store is {trouble} for 9 s, and a key is taken away at once')
def taken_away(context: Any, trouble: str) -> None:
    async def act(site: Site) -> list[Probe]:
        loop = asyncio.get_running_loop()
        break_store(site, trouble)
        put_keys(site, HELD)
        revoked_s = loop.time()
        asked = asyncio.create_task(probes(site, LASTS_S + 4, revoked_s))
        await asyncio.sleep(LASTS_S)
        site.store.mode = StoreMode.UP
        cut_entry(site, away=False)
        return await asked

    context.probes = context.plan.run(act)


@then('no request with that key ran that was sent more than 5 s after it')
def none_ran(context: Any) -> None:
    ran = [
        one
        for one in context.probes
        if one.key == REVOKED and one.sent_s > 5 and one.status == 200
    ]
    assert not ran, ran[:5]
    asked = [one for one in context.probes if one.key == REVOKED]
    assert max(one.sent_s for one in asked) > 5


@then('those that did not run were told so, to come again in {wait_s} s')
def told_so(context: Any, wait_s: str) -> None:
    told = {
        (one.status, one.retry_after)
        for one in context.probes
        if one.status != 200
    }
    assert told <= {(503, wait_s), (401, '')}, told


@then(
    'a key that is still held works for {first_s:d} s,'
    ' and {back_s:d} s after the end again'
)
def held_works(context: Any, first_s: int, back_s: int) -> None:
    refused = [
        one
        for one in context.probes
        if one.key == HELD
        and one.status != 200
        and (one.sent_s < first_s or one.sent_s > LASTS_S + back_s)
    ]
    assert not refused, refused[:5]


@when('watches hear nothing for 1 s while a key is taken away')
def deaf_watches(context: Any) -> None:
    async def act(site: Site) -> list[Probe]:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.5)
        site.store.deaf = True
        put_keys(site, HELD)
        revoked_s = loop.time()
        asked = asyncio.create_task(probes(site, 8, revoked_s))
        await asyncio.sleep(1)
        site.store.deaf = False
        site.store.drop_history()
        return await asked

    context.probes = context.plan.run(act)


@when('an entry is suspended for 6 s, and asked as it wakes up')
def suspended(context: Any) -> None:
    async def act(site: Site) -> list[Probe]:
        context.plan.clock.suspended = dt.timedelta(seconds=6)
        woken_s = asyncio.get_running_loop().time()
        return await probes(site, 3, woken_s)

    context.probes = context.plan.run(act)


@then('it refuses, and serves within 2 s')
def refuses_first(context: Any) -> None:
    held = [one for one in context.probes if one.key == HELD]
    assert held[0].status == 503, held[0]
    late = [one for one in held if one.sent_s >= 2 and one.status != 200]
    assert not late, late[:5]


@when('nothing happens for 20 s')
def nothing(context: Any) -> None:
    async def act(site: Site) -> int:
        site.store.calls.clear()
        await asyncio.sleep(20)
        return sum('objects/config?watch' in one for one in site.store.calls)

    context.watched = context.plan.run(act)


@then('the manifest was watched {most:d} times at the most')
def watched(context: Any, most: int) -> None:
    assert context.watched <= most, context.watched


@when('a job comes 6 s after the store has become silent')
def job_comes(context: Any) -> None:
    async def act(site: Site) -> Any:
        site.store.mode = StoreMode.SILENT
        await asyncio.sleep(6)
        sent = Call(
            'POST',
            '/roll/job-1',
            b'{"items": []}',
            (
                ('X-Bergamotdoor-Request-Id', 'job-1'),
                ('Authorization', f'Bearer {HELD}'),
            ),
        )
        return await site.client.send(at(site.ports['entry-0']), sent)

    context.reply = context.plan.run(act)


@then('it is refused as not run, to come again in 2 to 3 s')
def comes_later(context: Any) -> None:
    assert context.reply.status == 503, context.reply
    wait_s = float(context.reply.headers.first('retry-after'))
    assert 2 <= wait_s <= 3, wait_s
