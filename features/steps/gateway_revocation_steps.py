"""Steps for revoked keys on a whole site in virtual time."""

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

PROBE_INTERVAL_S = 0.1
OUTAGE_S = 9
VALID_KEY, REVOKED_KEY = 'held-key', 'revoked-key'


class Probe(NamedTuple):
    """A request with one of the keys, and the response to it."""

    key: str
    entry: str
    #: When it was sent, in seconds since the key was revoked.
    sent_s: float
    status: int
    retry_after: str


class SuspendedClock:
    """Clock whose uptime includes the time of a suspension of the machine."""

    def __init__(self) -> None:
        self._clock = virtual_clock()
        self.suspended = dt.timedelta()

    def uptime(self) -> dt.timedelta:
        return self._clock.elapsed() + self.suspended

    def __getattr__(self, name: str) -> Any:
        return getattr(self._clock, name)


class RevocationPlan:
    """Player of scenes on a site whose revoked keys stop within 5 s."""

    def __init__(self, entries: int) -> None:
        self.entries = entries
        self.clock = SuspendedClock()

    def run(self, act: Callable[[Site], Awaitable[Any]]) -> Any:
        async def scene(site: Site) -> Any:
            site.revocation = dt.timedelta(seconds=5)
            site.drain = dt.timedelta(seconds=3)
            site.clock = self.clock  # type: ignore[assignment]
            await site.start(entries=self.entries)
            put_keys(site, VALID_KEY, REVOKED_KEY)
            # Entries choose the source of changes in their zone once they
            # have listed each other.
            await asyncio.sleep(6)
            return await act(site)

        return play(scene)


def put_keys(site: Site, *keys: str) -> None:
    site.put_manifest(tenants=[{'name': 'ant', 'api_keys': keys}])


async def send_probe(
    site: Site, entry: str, key: str, revoked_s: float
) -> Probe:
    loop = asyncio.get_running_loop()
    sent_s = loop.time() - revoked_s
    request = Call(
        'POST',
        '/book/1',
        b'x',
        (
            ('X-Bergamotdoor-Request-Id', f'{entry}-{key}-{sent_s}'),
            ('Authorization', f'Bearer {key}'),
        ),
    )
    reply = await site.client.send(at(site.ports[entry]), request)
    assert reply is not None, entry
    retry_after = reply.headers.first('retry-after')
    return Probe(key, entry, sent_s, reply.status, retry_after)


async def send_probes(
    site: Site, duration_s: float, revoked_s: float
) -> list[Probe]:
    loop = asyncio.get_running_loop()
    until_s = loop.time() + duration_s
    running: list[asyncio.Task[Probe]] = []
    while loop.time() < until_s:
        running.extend(
            asyncio.create_task(send_probe(site, entry, key, revoked_s))
            for entry in site.entries
            for key in (VALID_KEY, REVOKED_KEY)
        )
        await asyncio.sleep(PROBE_INTERVAL_S)
    return list(await asyncio.gather(*running))


def break_store(site: Site, trouble: str) -> None:
    if trouble == 'silent':
        site.store.mode = StoreMode.SILENT
    elif trouble == 'busy':
        site.store.mode = StoreMode.BUSY
    else:
        cut_entry_off(site, cut=True)


def cut_entry_off(site: Site, cut: bool) -> None:
    """Cut one entry, the source of changes in its zone, off from the store.

    Parameters
    ----------
    site
        The site of the scenario.
    cut
        Whether it is cut off or connected again.
    """
    caller = site.entries['entry-0']._access.direct
    address = site.store.address
    unreachable = type(address)(ip=address.ip, port=1)
    caller.address = unreachable if cut else address


@given('a site of {entries:d} entries where revoked keys stop within 5 s')
def set_up_site(context: Any, entries: int) -> None:
    context.plan = RevocationPlan(entries)


@when('the store is {trouble} for 9 s, and a key is revoked as that begins')
def revoke_in_outage(context: Any, trouble: str) -> None:
    async def act(site: Site) -> list[Probe]:
        loop = asyncio.get_running_loop()
        break_store(site, trouble)
        put_keys(site, VALID_KEY)
        revoked_s = loop.time()
        probing = asyncio.create_task(
            send_probes(site, OUTAGE_S + 4, revoked_s)
        )
        await asyncio.sleep(OUTAGE_S)
        site.store.mode = StoreMode.UP
        cut_entry_off(site, cut=False)
        return await probing

    context.probes = context.plan.run(act)


@then('no request with that key ran that was sent more than 5 s later')
def no_revoked_request_ran(context: Any) -> None:
    ran = [
        probe
        for probe in context.probes
        if probe.key == REVOKED_KEY and probe.sent_s > 5 and probe.status == 200
    ]
    assert not ran, ran[:5]
    revoked = [probe for probe in context.probes if probe.key == REVOKED_KEY]
    assert max(probe.sent_s for probe in revoked) > 5


@then(
    'requests that did not run got 401, or 503 with a retry delay of '
    '{retry_s} s'
)
def others_were_refused(context: Any, retry_s: str) -> None:
    refusals = {
        (probe.status, probe.retry_after)
        for probe in context.probes
        if probe.status != 200
    }
    assert refusals <= {(503, retry_s), (401, '')}, refusals


@then(
    'a valid key works in the first {first_s:d} s,'
    ' and from {back_s:d} s after the recovery on'
)
def valid_key_works(context: Any, first_s: int, back_s: int) -> None:
    refused = [
        probe
        for probe in context.probes
        if probe.key == VALID_KEY
        and probe.status != 200
        and (probe.sent_s < first_s or probe.sent_s > OUTAGE_S + back_s)
    ]
    assert not refused, refused[:5]


@when('watches receive nothing for 1 s while a key is revoked')
def revoke_with_silent_watches(context: Any) -> None:
    async def act(site: Site) -> list[Probe]:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.5)
        site.store.deaf = True
        put_keys(site, VALID_KEY)
        revoked_s = loop.time()
        probing = asyncio.create_task(send_probes(site, 8, revoked_s))
        await asyncio.sleep(1)
        site.store.deaf = False
        site.store.drop_history()
        return await probing

    context.probes = context.plan.run(act)


@when('an entry is suspended for 6 s, and gets requests as it resumes')
def suspend(context: Any) -> None:
    async def act(site: Site) -> list[Probe]:
        context.plan.clock.suspended = dt.timedelta(seconds=6)
        resumed_s = asyncio.get_running_loop().time()
        return await send_probes(site, 3, resumed_s)

    context.probes = context.plan.run(act)


@then('it refuses the first one, and serves all from 2 s after that on')
def serves_after_refusals(context: Any) -> None:
    valid = [probe for probe in context.probes if probe.key == VALID_KEY]
    assert valid[0].status == 503, valid[0]
    refused_late = [
        probe for probe in valid if probe.sent_s >= 2 and probe.status != 200
    ]
    assert not refused_late, refused_late[:5]


@when('the manifest stays the same for 20 s')
def count_watches(context: Any) -> None:
    async def act(site: Site) -> int:
        site.store.calls.clear()
        await asyncio.sleep(20)
        return sum('objects/config?watch' in call for call in site.store.calls)

    context.watched = context.plan.run(act)


@then('at most {most:d} watches of the manifest were sent')
def few_watches_were_sent(context: Any, most: int) -> None:
    assert context.watched <= most, context.watched


@when('a job is submitted 6 s after the store has become silent')
def submit_in_outage(context: Any) -> None:
    async def act(site: Site) -> Any:
        site.store.mode = StoreMode.SILENT
        await asyncio.sleep(6)
        request = Call(
            'POST',
            '/roll/job-1',
            b'{"items": []}',
            (
                ('X-Bergamotdoor-Request-Id', 'job-1'),
                ('Authorization', f'Bearer {VALID_KEY}'),
            ),
        )
        return await site.client.send(at(site.ports['entry-0']), request)

    context.reply = context.plan.run(act)


@then('it gets 503 with a retry delay of 2 to 3 s')
def job_has_retry_delay(context: Any) -> None:
    assert context.reply.status == 503, context.reply
    retry_s = float(context.reply.headers.first('retry-after'))
    assert 2 <= retry_s <= 3, retry_s
