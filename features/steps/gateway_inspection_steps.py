"""Steps for bergamotdoor.gateway.inspection."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then

from lab.client import Call
from lab.site import Site, at, play
from lab.store import StoreMode


@given('a site whose entry served calls and a job')
def serve_calls_and_job(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=1)
        for number in range(3):
            await site.ask('entry-0', 'GET', f'/book/{number}')
        await site.submit('entry-0', 'j1', [[2, 2]])
        await site.all_results('entry-0', 'j1')
        await site.ask('entry-0', 'DELETE', '/-/lots/j1')
        context.metrics = await read_page(site, '/metrics')
        context.state = json.loads(await read_page(site, '/state'))

    play(scene)


@given('a site whose entry refused a job since the store rejected a write')
def refuse_job(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=1)
        site.store.mode = StoreMode.BUSY
        await site.submit('entry-0', 'j1', [[2, 2]])
        context.metrics = await read_page(site, '/metrics')

    play(scene)


@then('its metrics count 1 refused job and 1 rejected write')
def metrics_count_rejections(context: Any) -> None:
    lines = context.metrics.split('\n')
    assert 'bergamotdoor_jobs_refused_total{service=""} 1' in lines, lines
    written = 'bergamotdoor_store_writes_total{outcome="rejected"} 1'
    assert written in lines, lines


async def read_page(site: Site, path: str) -> str:
    reply = await site.client.send(
        at(site.ports['entry-0'] + 3), Call('GET', path, idempotent=True)
    )
    assert reply is not None
    return reply.body.decode()


@then('its metrics count the calls and items, with their latencies')
def metrics_count_work(context: Any) -> None:
    lines = context.metrics.split('\n')
    assert 'bergamotdoor_calls_answered_total{service="desk"} 3' in lines
    assert 'bergamotdoor_items_completed_total{service="lm"} 2' in lines
    assert 'bergamotdoor_jobs_ended_total{service=""} 1' in lines
    assert any(
        line.startswith('bergamotdoor_total_latency_us{service="desk"')
        for line in lines
    ), lines


@then('its state shows the manifest, the upstreams and the job')
def state_is_complete(context: Any) -> None:
    state = context.state['gateway']
    assert state['generation'] == 5, state
    assert len(state['upstreams']) == 4, state
    assert state['jobs'][0]['listed'] == 2, state


@then('both show its calls to the store by type and kind of object')
def both_count_store_calls(context: Any) -> None:
    counts = {
        (entry['call'], entry['kind']): entry['count']
        for entry in context.state['gateway']['store_calls']
    }
    assert counts['write', 'jobs'] >= 2, counts
    assert counts['watch', 'servers'] >= 1, counts
    # The parts and results of all jobs are counted as one kind.
    assert counts['write', 'job'] >= 2, counts
    line = 'bergamotdoor_store_calls_total{call="watch",kind="servers"}'
    assert line in context.metrics, context.metrics
