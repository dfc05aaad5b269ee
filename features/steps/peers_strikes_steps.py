"""Steps for entries that learn of strikes from other entries."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import then, when

from features.crash_scenes import (
    TimedResponse,
    count_crashes,
    send_crashing_request,
    send_slow_request,
    time_crashing_request,
)
from lab.site import Site, play
from lab.store import StoreMode


@when('it comes, all entries start again, and it comes {pause_s:d} s later')
def restart_entries(context: Any, pause_s: int) -> None:
    async def act(site: Site) -> None:
        await send_crashing_request(site, 'entry-0', 'call-0')
        await asyncio.sleep(0.3)
        context.ended_before = count_crashes(site)
        names = list(site.entries)
        for name in names:
            await site.kill(name)
        for name in names:
            await site.add_entry(name)
        await asyncio.sleep(pause_s)
        context.responses = await responses_of_all(site, names)
        context.ended_after = count_crashes(site)

    context.plan.act = act
    play(context.plan)


async def responses_of_all(site: Site, names: list[str]) -> list[TimedResponse]:
    return [
        await time_crashing_request(site, name, f'again-{name}')
        for name in names
    ]


@then('it reaches no upstream after the restart')
def check_none_after_restart(context: Any) -> None:
    assert context.ended_before == 2, context.ended_before
    assert context.ended_after == context.ended_before, context.ended_after
    assert {one.status for one in context.responses} == {503}, context.responses


@when(
    'it comes while one entry is cut off for {cut_s:d} s, and {later_s:d} s '
    'later there'
)
def cut_one_off(context: Any, cut_s: int, later_s: int) -> None:
    async def act(site: Site) -> None:
        cut_off = site.entries['entry-2']
        handle = cut_off._components.peer_service.handle

        async def no_reply(_: Any) -> Any:
            await asyncio.Event().wait()

        setattr(  # noqa: B010
            cut_off._components.peer_service, 'handle', no_reply
        )
        await asyncio.sleep(0.1)
        await send_crashing_request(site, 'entry-0', 'call-0')
        await asyncio.sleep(cut_s)
        setattr(  # noqa: B010
            cut_off._components.peer_service, 'handle', handle
        )
        # The pause after the first two ends is over by then, so the request
        # reaches one more upstream through another entry and ends it.
        await send_crashing_request(site, 'entry-1', 'call-1')
        await asyncio.sleep(later_s)
        context.second = await time_crashing_request(site, 'entry-2', 'call-2')

    context.plan.act = act
    play(context.plan)


@then('the entry that was cut off refuses it at once')
def check_refused(context: Any) -> None:
    assert context.second.status == 503, context.second
    assert not round(context.second.took_s, 1), context.second


@when('an upstream ends under it with {count:d} other calls in progress')
def end_with_others(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        messages: list[Any] = []
        other = site.entries['entry-1']
        take = other._context.strikes.take

        def record_message(message: Any) -> None:
            messages.append(message)
            take(message)

        setattr(other._context.strikes, 'take', record_message)  # noqa: B010
        first, *others = site.services.values()
        for service in others:
            site.store.remove('servers', service.name)
        first.work_s = 0.05
        # An entry has no more calls in flight than there are slots.
        spec = first.registration(slots=count + 1)
        site.store.put('servers', first.name, spec)
        await asyncio.sleep(2.5)
        ending = asyncio.create_task(
            send_crashing_request(site, 'entry-0', 'call-0')
        )
        await asyncio.sleep(0.02)
        other_calls = [
            send_slow_request(site, 0, number) for number in range(count)
        ]
        await asyncio.gather(ending, *other_calls)
        await asyncio.sleep(0.5)
        context.messages = messages

    context.plan.act = act
    play(context.plan)


@then('the other entry knows of {strikes:d} strikes from {count:d} message')
def check_one_message(context: Any, strikes: int, count: int) -> None:
    assert len(context.messages) == count, context.messages
    assert len(context.messages[0].strikes) == strikes, context.messages


async def arrive(site: Site, entry: str) -> None:
    await send_crashing_request(site, entry, f'at-{entry}')


@when(
    'it arrives at one entry, and at each other one {wait_s:f} s after its '
    'restart'
)
def arrive_after_restarts(context: Any, wait_s: float) -> None:
    async def act(site: Site) -> None:
        first, *others = site.entries
        await arrive(site, first)
        await asyncio.sleep(0.5)
        for name in others:
            await site.kill(name)
            await site.add_entry(name)
            await asyncio.sleep(wait_s)
            await arrive(site, name)
        context.ends = count_crashes(site)

    context.plan.act = act
    play(context.plan)


@when('it arrives at one entry, and at a new one {wait_s:f} s after its start')
def arrive_at_new_entry(context: Any, wait_s: float) -> None:
    async def act(site: Site) -> None:
        await arrive(site, 'entry-0')
        await asyncio.sleep(0.5)
        await site.add_entry('joined')
        await asyncio.sleep(wait_s)
        await arrive(site, 'joined')
        context.ends = count_crashes(site)

    context.plan.act = act
    play(context.plan)


@when(
    'an entry joins, and {wait_s:d} s later it arrives at another and then '
    'there'
)
def arrive_after_join(context: Any, wait_s: int) -> None:
    async def act(site: Site) -> None:
        await asyncio.sleep(1)
        await site.add_entry('joined')
        await asyncio.sleep(0.3)
        # A new entry asks some of the others at once, and later all of them.
        not_asked = next(
            name
            for name, entry in site.entries.items()
            if 'joined' not in entry._access.directory.entries
            and name != 'joined'
        )
        await asyncio.sleep(wait_s)
        await arrive(site, not_asked)
        await asyncio.sleep(0.5)
        await arrive(site, 'joined')
        context.ends = count_crashes(site)

    context.plan.act = act
    play(context.plan)


@when(
    'it arrives while the store is away, and again as soon as that entry '
    'has restarted'
)
def arrive_without_store(context: Any) -> None:
    async def act(site: Site) -> None:
        site.store.mode = StoreMode.BUSY
        await arrive(site, 'entry-0')
        await asyncio.sleep(0.5)
        await site.kill('entry-0')
        site.store.mode = StoreMode.UP
        delay_replies(site.entries['entry-1'], 0.1)
        await site.add_entry('entry-0')
        await arrive(site, 'entry-0')
        context.ends = count_crashes(site)

    context.plan.act = act
    play(context.plan)


@when(
    'it arrives at an entry {wait_s:f} s after its start, and {later_s:d} s '
    'later at another'
)
def arrive_at_start(context: Any, wait_s: float, later_s: int) -> None:
    async def act(site: Site) -> None:
        await asyncio.sleep(1)
        await site.kill('entry-0')
        await site.add_entry('entry-0')
        await asyncio.sleep(wait_s)
        await arrive(site, 'entry-0')
        await asyncio.sleep(later_s)
        await arrive(site, 'entry-1')
        context.ends = count_crashes(site)

    context.plan.act = act
    play(context.plan)


def delay_replies(entry: Any, delay_s: float) -> None:
    """Have an entry reply late to the messages of other entries."""
    service = entry._components.peer_service
    handle = service.handle

    async def handle_late(message: Any) -> Any:
        await asyncio.sleep(delay_s)
        return await handle(message)

    setattr(service, 'handle', handle_late)  # noqa: B010


@when('it arrives at one entry, and at the other, which started without store')
def arrive_after_start_without_store(context: Any) -> None:
    async def act(site: Site) -> None:
        await arrive(site, 'entry-0')
        await asyncio.sleep(0.5)
        await site.kill('entry-1')
        site.store.mode = StoreMode.BUSY
        await site.add_entry('entry-1')
        await asyncio.sleep(6)
        site.store.mode = StoreMode.UP
        # Callers come as soon as the entry is ready.
        entry = site.entries['entry-1']
        while entry._manifests.manifest is None:
            await asyncio.sleep(0.01)
        await arrive(site, 'entry-1')
        context.ends = count_crashes(site)

    context.plan.act = act
    play(context.plan)


@when(
    "it arrives {late_s:f} s after an entry's planned stop began, and at the "
    'other'
)
def arrive_during_stop(context: Any, late_s: float) -> None:
    async def act(site: Site) -> None:
        stopping = asyncio.create_task(site.entries.pop('entry-0').stop())
        await asyncio.sleep(late_s)
        await send_crashing_request(site, 'entry-0', 'call-0')
        await stopping
        await send_crashing_request(site, 'entry-1', 'call-1')
        context.ends = count_crashes(site)

    context.plan.act = act
    play(context.plan)


@when('{count:d} copies of it arrive at the same moment')
def copies_arrive(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        await asyncio.gather(
            *(
                send_crashing_request(site, 'entry-0', f'copy-{number}')
                for number in range(count)
            )
        )
        context.ends = count_crashes(site)

    context.plan.act = act
    play(context.plan)


@then('{count:d} upstreams have ended under it')
def check_ended(context: Any, count: int) -> None:
    assert context.ends == count, context.ends
