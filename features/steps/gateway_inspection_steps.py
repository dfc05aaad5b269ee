"""Steps for bergamotdoor.gateway.inspection."""

from __future__ import annotations

import json
from typing import Any

from behave import given, then

from lab.client import Call
from lab.site import Site, at, play


@given('a site whose entry served calls and a job')
def served(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(entries=1)
        for number in range(3):
            await site.ask('entry-0', 'GET', f'/book/{number}')
        await site.submit('entry-0', 'j1', [[2, 2]])
        await site.all_results('entry-0', 'j1')
        await site.ask('entry-0', 'DELETE', '/-/lots/j1')
        context.metrics = await shown(site, '/metrics')
        context.state = json.loads(await shown(site, '/state'))

    play(scene)


async def shown(site: Site, path: str) -> str:
    reply = await site.client.send(
        at(site.ports['entry-0'] + 3), Call('GET', path, idempotent=True)
    )
    assert reply is not None
    return reply.body.decode()


@then('its metrics count the calls and items, with their latencies')
def counted(context: Any) -> None:
    lines = context.metrics.split('\n')
    assert 'bergamotdoor_calls_answered_total{service="desk"} 3' in lines
    assert 'bergamotdoor_items_completed_total{service="lm"} 2' in lines
    assert 'bergamotdoor_jobs_ended_total{service=""} 1' in lines
    assert any(
        line.startswith('bergamotdoor_total_latency_us{service="desk"')
        for line in lines
    ), lines


@then('its state shows the manifest, the upstreams and the job')
def state(context: Any) -> None:
    found = context.state['gateway']
    assert found['generation'] == 5, found
    assert len(found['upstreams']) == 4, found
    assert found['jobs'][0]['listed'] == 2, found


@then('both tell its calls of the store, by what they do and to which kind')
def store_calls(context: Any) -> None:
    found = {
        (one['call'], one['kind']): one['count']
        for one in context.state['gateway']['store_calls']
    }
    assert found['write', 'jobs'] >= 2, found
    assert found['watch', 'servers'] >= 1, found
    # The parts and results of all jobs are counted as one kind.
    assert found['write', 'job'] >= 2, found
    line = 'bergamotdoor_store_calls_total{call="watch",kind="servers"}'
    assert line in context.metrics, context.metrics
