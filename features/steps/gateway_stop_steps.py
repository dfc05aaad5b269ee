"""Steps for the duration of a planned stop of an entry."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given, then, when

from lab.site import Site, play
from lab.wire import DESKS, HOST, route

LONG_TIMEOUT_MS = 20_000
LONG_WORK_S = 12


@given('an entry that runs a job and has a long call open')
def set_up_long_call(context: Any) -> None:
    context.long_s = LONG_WORK_S


@given('the other entries accept connections and never respond')
def set_up_silent_entries(context: Any) -> None:
    context.silent = True


@when('the entry is stopped as planned')
def stop_entry(context: Any) -> None:
    took_s, grace_s = play(measure_stop)
    context.took_s = took_s
    context.grace_s = grace_s


async def measure_stop(site: Site) -> tuple[float, float]:
    bounds = {'timeout_ms': LONG_TIMEOUT_MS, 'goal_ms': LONG_TIMEOUT_MS}
    site.routes.append(route(HOST, '/long/', 'safe', DESKS, **bounds))
    await site.start(services=1, entries=4)
    site.services['desk-0'].work_s = LONG_WORK_S
    await site.submit('entry-0', 'job', [[200, 200]])
    await asyncio.sleep(1)
    owner = site.store.table.specs('jobs')['job']['owner']
    entry = site.entries.pop(owner)
    for other in site.entries.values():
        setattr(  # noqa: B010
            other._components.peer_service, 'handle', wait_forever
        )
    long_call = asyncio.create_task(
        site.ask(owner, 'GET', '/long/1', timeout_s=LONG_WORK_S, Request_Id='1')
    )
    await asyncio.sleep(0.2)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    await entry.stop()
    long_call.cancel()
    return loop.time() - began_s, entry._settings.grace.total_seconds()


async def wait_forever(_message: Any) -> Any:
    await asyncio.Event().wait()


@then('the stop ends within the grace period')
def stop_ends_in_time(context: Any) -> None:
    assert context.took_s < context.grace_s, context.took_s
