"""Steps for usage reports, on a whole site in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
import random
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from behave import given, then, when

from bergamotdoor.duties.true_time import TrueTime
from bergamotdoor.types import NodeId
from features.usage_scenes import SuspendableClock
from lab.client import Call
from lab.model.duties import play_duty
from lab.receiver import ReceiverMode
from lab.site import Site, add_receiver, at, play
from lab.store import StoreMode

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    Fault = Callable[[Site], Coroutine[Any, Any, None]]

WINDOW_S, DUE_S, LEASE_S = 5, 10, 3
CALL_S = 0.1
ACCOUNTS = ('ant', 'bee', 'cat')
FAULT_S = 6
#: Of a call of the store.
DUTY_CALL = '/-/objects/duties'


class Seen(NamedTuple):
    """What a run has shown."""

    #: By window: what upstreams ran, by account.
    ran: dict[int, dict[str, int]]
    receiver: Any
    duty_calls: int
    #: When traffic began and ended.
    began_s: float
    ended_s: float


class UsagePlan:
    """Runs callers on a site that reports usage, and a fault beside."""

    def __init__(self, entries: int) -> None:
        self.entries = entries
        self.clocks: dict[str, SuspendableClock] = {}

    def run(
        self,
        lasts_s: float,
        fault: Fault | None = None,
    ) -> Seen:
        async def scene(site: Site) -> Seen:
            receiver = await add_receiver(site)
            await site.start(entries=self.entries)
            site.put_manifest(
                tenants=[
                    {'name': name, 'api_keys': [f'{name}-key']}
                    for name in ACCOUNTS
                ]
            )
            await asyncio.sleep(7)
            site.store.calls.clear()
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            work = [callers(site, lasts_s)]
            if fault is not None:
                work.append(fault(site))
            await asyncio.gather(*work)
            ended_s = loop.time()
            await asyncio.sleep(DUE_S + WINDOW_S)
            calls = sum(
                DUTY_CALL in call and not call.startswith('GET')
                for call in site.store.calls
            )
            return Seen(ran(site), receiver, calls, began_s, ended_s)

        seen: Seen = play(scene)
        return seen


async def callers(site: Site, lasts_s: float) -> None:
    loop = asyncio.get_running_loop()
    until = loop.time() + lasts_s
    rng = random.Random(7)
    number = 0
    asking = []
    while loop.time() < until:
        number += 1
        entry = rng.choice(sorted(site.entries))
        sent = Call(
            'POST',
            '/book/1',
            b'x',
            (
                ('X-Bergamotdoor-Request-Id', f'call-{number}'),
                ('Authorization', f'Bearer {rng.choice(ACCOUNTS)}-key'),
            ),
        )
        asking.append(
            asyncio.create_task(site.client.send(at(site.ports[entry]), sent))
        )
        await asyncio.sleep(CALL_S)
    await asyncio.gather(*asking)


def ran(site: Site) -> dict[int, dict[str, int]]:
    found: dict[int, Counter[str]] = {}
    seen = [one for desk in site.services.values() for one in desk.seen]
    for one in seen:
        window = int(one.at_s // WINDOW_S)
        account = one.headers['x-bergamotdoor-tenant']
        found.setdefault(window, Counter())[account] += 1
    return {window: dict(counts) for window, counts in found.items()}


def duty(site: Site) -> dict[str, Any]:
    found: dict[str, Any] = site.store.table.specs('duties')['usage']
    return found


def holder(site: Site) -> str:
    return str(duty(site)['holder'])


def other(site: Site) -> str:
    return next(name for name in sorted(site.entries) if name != holder(site))


@given('a site of {entries:d} entries that reports usage')
def reporting_site(context: Any, entries: int) -> None:
    context.plan = UsagePlan(entries)


@when('accounts send 10 calls a second for {lasts_s:d} s')
def send_calls(context: Any, lasts_s: int) -> None:
    context.seen = context.plan.run(lasts_s)


def late_windows(seen: Seen) -> list[int]:
    """Return the windows that were not reported in time."""
    in_time = {
        one.window
        for one in seen.receiver.taken
        if one.at_s <= (one.window + 1) * WINDOW_S + DUE_S
    }
    first = int(seen.began_s // WINDOW_S)
    last = int(seen.ended_s // WINDOW_S)
    return [one for one in range(first, last) if one not in in_time]


@then('each window was reported within 10 s, as the upstreams ran it')
def reported_exactly(context: Any) -> None:
    seen = context.seen
    assert not late_windows(seen), late_windows(seen)
    reports = seen.receiver.reports()
    wrong = {
        window: (counts, reports.get(window))
        for window, counts in seen.ran.items()
        if reports.get(window) != counts
    }
    assert not wrong, wrong
    assert not seen.receiver.broken(LEASE_S), seen.receiver.broken(LEASE_S)


@then('the store was written {most:d} times at the most for it')
def writes(context: Any, most: int) -> None:
    assert 0 < context.seen.duty_calls <= most, context.seen.duty_calls


def fault_of(who: str, what: str) -> Fault:
    async def act(site: Site) -> None:
        # Not in step with the windows.
        await asyncio.sleep(8.7)
        name = holder(site) if who == 'holder' else other(site)
        await FAULTS[what](site, name)

    return act


async def kill(site: Site, name: str) -> None:
    await site.kill(name)


async def restart(site: Site, name: str) -> None:
    await site.kill(name)
    await asyncio.sleep(1)
    await site.add_entry(name)


async def stop(site: Site, name: str) -> None:
    await site.entries.pop(name).stop()


async def suspend(site: Site, name: str) -> None:
    """Have one process stand still, as far as others see."""
    usage = site.entries[name]._parts.usage
    assert usage is not None
    clock = SuspendableClock(site.clock)
    for part in (usage._reporter, usage._usage_sender):
        part._clock = clock
    await clock.suspend(dt.timedelta(seconds=9))


async def cut(site: Site, name: str) -> None:
    """Cut a process off from the other entries, not from the store."""
    for entry_name, entry in site.entries.items():
        directory = entry._access.directory
        if entry_name == name:
            directory.entries = {}
        else:
            directory.entries.pop(NodeId(name), None)
    await asyncio.sleep(9)


FAULTS = {
    'is killed': kill,
    'is killed and starts again': restart,
    'stops as planned': stop,
    'is suspended for 9 s': suspend,
    'is cut off from the others': cut,
}


@when('accounts send 10 calls a second for 30 s, while the {who:w} {what}')
def with_fault(context: Any, who: str, what: str) -> None:
    context.seen = context.plan.run(30, fault_of(who, what))


@when(
    'accounts send 10 calls a second for 30 s, beside a receiver that is'
    ' {mode:w}'
)
def with_receiver(context: Any, mode: str) -> None:
    async def act(site: Site) -> None:
        await asyncio.sleep(8.7)
        assert site.receiver is not None
        site.receiver.mode = ReceiverMode(mode)
        await asyncio.sleep(FAULT_S)
        site.receiver.mode = ReceiverMode.UP

    context.seen = context.plan.run(30, act)


@when(
    'a holder that could send nothing is killed, and the next write gets no'
    ' answer'
)
def killed_with_reports(context: Any) -> None:
    async def act(site: Site) -> None:
        assert site.receiver is not None
        site.receiver.mode = ReceiverMode.BUSY
        while not duty(site)['reports']:
            await asyncio.sleep(0.1)
        context.decided = [one['window'] for one in duty(site)['reports']]
        await site.kill(holder(site))
        site.receiver.mode = ReceiverMode.UP
        site.store.lose_answers = 1

    context.seen = context.plan.run(30, act)


@then('every window that was decided is reported')
def all_reported(context: Any) -> None:
    missing = set(context.decided) - set(context.seen.receiver.reports())
    assert context.decided
    assert not missing, missing


async def store_busy(site: Site) -> None:
    site.store.mode = StoreMode.BUSY


async def store_silent(site: Site) -> None:
    site.store.mode = StoreMode.SILENT


async def store_loses(site: Site) -> None:
    site.store.lose_answers = 3


async def store_late(site: Site) -> None:
    site.store.delay_writes = 3


STORE_FAULTS = {
    'is busy': store_busy,
    'is silent': store_silent,
    'loses answers': store_loses,
    'writes late': store_late,
}


@when('accounts send 10 calls a second for 30 s, beside a store that {what}')
def with_store(context: Any, what: str) -> None:
    async def act(site: Site) -> None:
        await asyncio.sleep(8.7)
        await STORE_FAULTS[what](site)
        await asyncio.sleep(FAULT_S)
        site.store.mode = StoreMode.UP

    context.seen = context.plan.run(30, act)


@then('no promise of one holder was broken')
def one_holder(context: Any) -> None:
    broken = context.seen.receiver.broken(LEASE_S)
    assert not broken, broken


@then('each window was reported within 10 s, but for {missed:d}')
def but_for(context: Any, missed: int) -> None:
    late = late_windows(context.seen)
    assert len(late) <= missed, late


@then('all reports together miss {lost:d} requests at the most')
def lost_requests(context: Any, lost: int) -> None:
    seen = context.seen
    first = int(seen.began_s // WINDOW_S)
    ran_in_all = sum(
        sum(counts.values())
        for window, counts in seen.ran.items()
        if window >= first
    )
    reported = sum(
        sum(counts.values())
        for window, counts in seen.receiver.reports().items()
        if window >= first
    )
    assert abs(ran_in_all - reported) <= lost, (ran_in_all, reported)


@given('a wall clock that jumps by 2 s, and back after 10 s')
def jumping(context: Any) -> None:
    context.jumps = [
        (second, second + 2 * (20 <= second < 30) + second * 1e-5)
        for second in range(60)
    ]


@then('true time goes on evenly')
def evenly(context: Any) -> None:
    time = TrueTime()
    start = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
    told = [
        time.read(
            start + dt.timedelta(seconds=wall), dt.timedelta(seconds=uptime)
        )
        for uptime, wall in context.jumps
    ]
    off = [
        abs((one - start).total_seconds() - second)
        for second, one in enumerate(told)
    ]
    assert max(off) * 100 < 1, off


@given(
    '{count:d} histories of pauses, kills and late writes of three processes'
)
def histories(context: Any, count: int) -> None:
    context.histories = [play_duty(seed) for seed in range(count)]


@then('no history broke a promise of one holder')
def none_broke(context: Any) -> None:
    broken = {
        seed: history.broken
        for seed, history in enumerate(context.histories)
        if history.broken
    }
    assert not broken, broken


@then('the histories have takeovers and reports')
def have_takeovers(context: Any) -> None:
    several = [one for one in context.histories if one.holders > 1]
    assert len(several) * 3 > len(context.histories), len(several)
    assert min(one.reported for one in context.histories) > 0
