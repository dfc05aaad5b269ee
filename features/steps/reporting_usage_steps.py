"""Steps for usage reports of a whole site in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
import random
from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from behave import given, then, when

from bergamotdoor.duties.jump_filtered_clock import JumpFilteredClock
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
CALL_INTERVAL_S = 0.1
ACCOUNTS = ('ant', 'bee', 'cat')
FAULT_DURATION_S = 6
#: Part of the path of each store call for a duty.
DUTY_CALL = '/-/objects/duties'


class RunResult(NamedTuple):
    """Results of a run."""

    #: Number of requests that upstreams ran, by window and account.
    ran: dict[int, dict[str, int]]
    receiver: Any
    #: Number of calls to the store that were writes of the duty's record.
    duty_calls: int
    #: When the callers began and ended, in the event loop's time.
    began_s: float
    ended_s: float


class UsagePlan:
    """Runs callers on a site that reports usage, optionally with a fault."""

    def __init__(self, entries: int) -> None:
        self.entries = entries
        self.clocks: dict[str, SuspendableClock] = {}

    def run(
        self,
        duration_s: float,
        fault: Fault | None = None,
    ) -> RunResult:
        async def scene(site: Site) -> RunResult:
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
            work = [run_callers(site, duration_s)]
            if fault is not None:
                work.append(fault(site))
            await asyncio.gather(*work)
            ended_s = loop.time()
            await asyncio.sleep(DUE_S + WINDOW_S)
            duty_writes = sum(
                DUTY_CALL in call and not call.startswith('GET')
                for call in site.store.calls
            )
            return RunResult(
                requests_run(site), receiver, duty_writes, began_s, ended_s
            )

        result: RunResult = play(scene)
        return result


async def run_callers(site: Site, duration_s: float) -> None:
    """Send calls of all accounts through random entries for a time."""
    loop = asyncio.get_running_loop()
    until = loop.time() + duration_s
    rng = random.Random(7)
    number = 0
    calls = []
    while loop.time() < until:
        number += 1
        entry = rng.choice(sorted(site.entries))
        call = Call(
            'POST',
            '/book/1',
            b'x',
            (
                ('X-Bergamotdoor-Request-Id', f'call-{number}'),
                ('Authorization', f'Bearer {rng.choice(ACCOUNTS)}-key'),
            ),
        )
        calls.append(
            asyncio.create_task(site.client.send(at(site.ports[entry]), call))
        )
        await asyncio.sleep(CALL_INTERVAL_S)
    await asyncio.gather(*calls)


def requests_run(site: Site) -> dict[int, dict[str, int]]:
    """Return how many requests services ran, by window and account."""
    found: dict[int, Counter[str]] = {}
    requests = [
        request
        for service in site.services.values()
        for request in service.seen
    ]
    for request in requests:
        window = int(request.at_s // WINDOW_S)
        account = request.headers['x-bergamotdoor-tenant']
        found.setdefault(window, Counter())[account] += 1
    return {window: dict(counts) for window, counts in found.items()}


def duty_record(site: Site) -> dict[str, Any]:
    """Return the stored record of the reporting duty."""
    record: dict[str, Any] = site.store.table.specs('duties')['usage']
    return record


def holder(site: Site) -> str:
    """Return the name of the entry that has the duty."""
    return str(duty_record(site)['holder'])


def other_entry(site: Site) -> str:
    """Return the name of an entry that does not have the duty."""
    return next(name for name in sorted(site.entries) if name != holder(site))


@given('a site of {entries:d} entries that reports usage')
def reporting_site(context: Any, entries: int) -> None:
    context.plan = UsagePlan(entries)


@when('accounts send 10 calls a second for {duration_s:d} s')
def send_calls(context: Any, duration_s: int) -> None:
    context.result = context.plan.run(duration_s)


def late_windows(result: RunResult) -> list[int]:
    """Return the windows that were not reported in time."""
    in_time = {
        report.window
        for report in result.receiver.taken
        if report.at_s <= (report.window + 1) * WINDOW_S + DUE_S
    }
    first = int(result.began_s // WINDOW_S)
    last = int(result.ended_s // WINDOW_S)
    return [window for window in range(first, last) if window not in in_time]


@then('each window was reported within 10 s, as the upstreams ran it')
def check_reports(context: Any) -> None:
    result = context.result
    assert not late_windows(result), late_windows(result)
    reports = result.receiver.reports()
    wrong = {
        window: (counts, reports.get(window))
        for window, counts in result.ran.items()
        if reports.get(window) != counts
    }
    assert not wrong, wrong
    assert not result.receiver.broken(LEASE_S), result.receiver.broken(LEASE_S)


@then("the duty's record was written at most {most:d} times")
def check_writes(context: Any, most: int) -> None:
    assert 0 < context.result.duty_calls <= most, context.result.duty_calls


def entry_fault(who: str, fault: str) -> Fault:
    """Return a fault of the holder, or of another entry.

    Parameters
    ----------
    who
        ``holder`` or ``other``.
    fault
        Key of ``FAULTS``.
    """

    async def act(site: Site) -> None:
        # Not a multiple of the length of a window.
        await asyncio.sleep(8.7)
        name = holder(site) if who == 'holder' else other_entry(site)
        await FAULTS[fault](site, name)

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
    """Suspend the reporting tasks of one entry for 9 s."""
    usage = site.entries[name]._components.usage
    assert usage is not None
    clock = SuspendableClock(site.clock)
    for part in (usage._reporter, usage._usage_sender):
        part._clock = clock
    await clock.suspend(dt.timedelta(seconds=9))


async def cut_off(site: Site, name: str) -> None:
    """Cut an entry off from the other entries, but not from the store."""
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
    'is cut off from the others': cut_off,
}


@when('accounts send 10 calls a second for 30 s, while the {who:w} {fault}')
def run_with_fault(context: Any, who: str, fault: str) -> None:
    context.result = context.plan.run(30, entry_fault(who, fault))


@when(
    'accounts send 10 calls a second for 30 s, beside a receiver that is'
    ' {mode:w}'
)
def run_with_receiver(context: Any, mode: str) -> None:
    async def act(site: Site) -> None:
        await asyncio.sleep(8.7)
        assert site.receiver is not None
        site.receiver.mode = ReceiverMode(mode)
        await asyncio.sleep(FAULT_DURATION_S)
        site.receiver.mode = ReceiverMode.UP

    context.result = context.plan.run(30, act)


@when(
    'a holder that could send nothing is killed, and the next write gets no'
    ' answer'
)
def kill_with_reports(context: Any) -> None:
    async def act(site: Site) -> None:
        assert site.receiver is not None
        site.receiver.mode = ReceiverMode.BUSY
        while not duty_record(site)['reports']:
            await asyncio.sleep(0.1)
        context.decided = [
            report['window'] for report in duty_record(site)['reports']
        ]
        await site.kill(holder(site))
        site.receiver.mode = ReceiverMode.UP
        site.store.write_faults.unanswered = 1

    context.result = context.plan.run(30, act)


@then('every window that was decided is reported')
def check_decided_reported(context: Any) -> None:
    missing = set(context.decided) - set(context.result.receiver.reports())
    assert context.decided
    assert not missing, missing


async def make_store_busy(site: Site) -> None:
    site.store.mode = StoreMode.BUSY


async def make_store_silent(site: Site) -> None:
    site.store.mode = StoreMode.SILENT


async def lose_store_answers(site: Site) -> None:
    site.store.write_faults.unanswered = 3


async def delay_store_writes(site: Site) -> None:
    site.store.write_faults.delayed = 3


STORE_FAULTS = {
    'is busy': make_store_busy,
    'is silent': make_store_silent,
    'loses answers': lose_store_answers,
    'writes late': delay_store_writes,
}


@when('accounts send 10 calls a second for 30 s, beside a store that {fault}')
def run_with_store(context: Any, fault: str) -> None:
    async def act(site: Site) -> None:
        await asyncio.sleep(8.7)
        await STORE_FAULTS[fault](site)
        await asyncio.sleep(FAULT_DURATION_S)
        site.store.mode = StoreMode.UP

    context.result = context.plan.run(30, act)


@then('no guarantee of a single holder was broken')
def check_single_holder(context: Any) -> None:
    broken = context.result.receiver.broken(LEASE_S)
    assert not broken, broken


@then('all but {missed:d} windows were reported within 10 s')
def check_late_windows(context: Any, missed: int) -> None:
    late = late_windows(context.result)
    assert len(late) <= missed, late


@then('all reports together miss at most {lost:d} requests')
def check_lost_requests(context: Any, lost: int) -> None:
    result = context.result
    first = int(result.began_s // WINDOW_S)
    total_ran = sum(
        sum(counts.values())
        for window, counts in result.ran.items()
        if window >= first
    )
    reported = sum(
        sum(counts.values())
        for window, counts in result.receiver.reports().items()
        if window >= first
    )
    assert abs(total_ran - reported) <= lost, (total_ran, reported)


@given('a wall clock that jumps by 2 s, and back after 10 s')
def add_jumps(context: Any) -> None:
    context.jumps = [
        (second, second + 2 * (20 <= second < 30) + second * 1e-5)
        for second in range(60)
    ]


@then('the corrected time advances evenly')
def check_corrected_time(context: Any) -> None:
    clock = JumpFilteredClock()
    start = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)
    readings = [
        clock.read(
            start + dt.timedelta(seconds=wall), dt.timedelta(seconds=uptime)
        )
        for uptime, wall in context.jumps
    ]
    errors_s = [
        abs((reading - start).total_seconds() - second)
        for second, reading in enumerate(readings)
    ]
    assert max(errors_s) * 100 < 1, errors_s


@given(
    '{count:d} histories of pauses, kills and late writes of three processes'
)
def play_histories(context: Any, count: int) -> None:
    context.histories = [play_duty(seed) for seed in range(count)]


@then('no history broke a guarantee of a single holder')
def check_histories(context: Any) -> None:
    broken = {
        seed: history.broken
        for seed, history in enumerate(context.histories)
        if history.broken
    }
    assert not broken, broken


@then('the histories have takeovers and reports')
def check_takeovers(context: Any) -> None:
    several = [history for history in context.histories if history.holders > 1]
    assert len(several) * 3 > len(context.histories), len(several)
    assert min(history.reported for history in context.histories) > 0
