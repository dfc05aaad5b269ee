"""Steps for how entries learn what ended under a request elsewhere."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import then, when

from features.crash_scenes import (
    Answer,
    answered,
    arrive,
    ask_beside,
    ended,
)
from lab.site import Site, play


@when('it comes, all entries start again, and it comes {pause_s:d} s later')
def entries_restart(context: Any, pause_s: int) -> None:
    async def act(site: Site) -> None:
        await arrive(site, 'entry-0', 'call-0')
        await asyncio.sleep(0.3)
        context.before = ended(site)
        names = list(site.entries)
        for name in names:
            await site.kill(name)
        for name in names:
            await site.add_entry(name)
        await asyncio.sleep(pause_s)
        context.answers = await answered_by_all(site, names)
        context.ends = ended(site)

    context.plan.act = act
    play(context.plan)


async def answered_by_all(site: Site, names: list[str]) -> list[Answer]:
    return [await answered(site, name, f'again-{name}') for name in names]


@then('it reaches no upstream after the restart')
def none_after(context: Any) -> None:
    assert context.before == 2, context.before
    assert context.ends == context.before, context.ends
    assert {one.status for one in context.answers} == {503}, context.answers


@when(
    'it comes while one entry is cut off for {cut_s:d} s, and {later_s:d} s '
    'later there'
)
def one_cut_off(context: Any, cut_s: int, later_s: int) -> None:
    async def act(site: Site) -> None:
        cut = site.entries['entry-2']
        handle = cut._parts.peer_service.handle

        async def silent(_: Any) -> Any:
            await asyncio.Event().wait()

        setattr(cut._parts.peer_service, 'handle', silent)  # noqa: B010
        await asyncio.sleep(0.1)
        await arrive(site, 'entry-0', 'call-0')
        await asyncio.sleep(cut_s)
        setattr(cut._parts.peer_service, 'handle', handle)  # noqa: B010
        # Upstreams have rested by then: one more ends under it elsewhere.
        await arrive(site, 'entry-1', 'call-1')
        await asyncio.sleep(later_s)
        context.second = await answered(site, 'entry-2', 'call-2')

    context.plan.act = act
    play(context.plan)


@then('the entry that was cut off refuses it at once')
def cut_off_refuses(context: Any) -> None:
    assert context.second.status == 503, context.second
    assert not round(context.second.took_s, 1), context.second


@when('an upstream ends under it with {count:d} other calls in progress')
def ends_with_others(context: Any, count: int) -> None:
    async def act(site: Site) -> None:
        messages: list[Any] = []
        other = site.entries['entry-1']
        take = other._context.strikes.take

        def counted(message: Any) -> None:
            messages.append(message)
            take(message)

        setattr(other._context.strikes, 'take', counted)  # noqa: B010
        first, *others = site.services.values()
        for service in others:
            site.store.remove('servers', service.name)
        first.work_s = 0.05
        await asyncio.sleep(2.5)
        ending = asyncio.create_task(arrive(site, 'entry-0', 'call-0'))
        await asyncio.sleep(0.02)
        beside = [ask_beside(site, 0, one) for one in range(count)]
        await asyncio.gather(ending, *beside)
        await asyncio.sleep(0.5)
        context.messages = messages

    context.plan.act = act
    play(context.plan)


@then('the other entry knows of {strikes:d} strikes from {count:d} message')
def told_once(context: Any, strikes: int, count: int) -> None:
    assert len(context.messages) == count, context.messages
    assert len(context.messages[0].strikes) == strikes, context.messages
