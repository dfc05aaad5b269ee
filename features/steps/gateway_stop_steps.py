"""Steps for gateway: how long a planned stop takes."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given, then, when

from lab.site import Site, play
from lab.wire import DESKS, HOST, route

LONG_MS = 20_000
LONG_S = 12


@given('an entry that runs a job and has a long call open')
def long_call(context: Any) -> None:
    context.long_s = LONG_S


@given('the other entries take connections and answer nothing')
def silent(context: Any) -> None:
    context.silent = True


@when('the entry is stopped as planned')
def stopped(context: Any) -> None:
    took_s, grace_s = play(stopping)
    context.took_s = took_s
    context.grace_s = grace_s


async def stopping(site: Site) -> tuple[float, float]:
    bounds = {'timeout_ms': LONG_MS, 'goal_ms': LONG_MS}
    site.routes.append(route(HOST, '/long/', 'safe', DESKS, **bounds))
    await site.start(services=1, entries=4)
    site.services['desk-0'].work_s = LONG_S
    await site.submit('entry-0', 'job', [[200, 200]])
    await asyncio.sleep(1)
    owner = site.store.table.specs('jobs')['job']['owner']
    entry = site.entries.pop(owner)
    for other in site.entries.values():
        setattr(other._parts.peer_service, 'handle', no_answer)  # noqa: B010
    asking = asyncio.create_task(
        site.ask(owner, 'GET', '/long/1', timeout_s=LONG_S, Request_Id='1')
    )
    await asyncio.sleep(0.2)
    loop = asyncio.get_running_loop()
    began = loop.time()
    await entry.stop()
    asking.cancel()
    return loop.time() - began, entry._settings.grace.total_seconds()


async def no_answer(_message: Any) -> Any:
    await asyncio.Event().wait()


@then('the stop is over within its grace')
def in_time(context: Any) -> None:
    assert context.took_s < context.grace_s, context.took_s
