"""Steps for client accounts, on a whole site in virtual time."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import TYPE_CHECKING, Any

from behave import given, then, when

from features.support import logged
from lab.client import Call
from lab.site import Site, at, play
from lab.site_routes import plain_route
from lab.wire import JobItem, job_body

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

KEYS = {'ant': ['ant-key', 'ant-key-2'], 'bee': ['bee-key']}
ACCOUNT = 'x-bergamotdoor-tenant'
JOB = 'job-1'


def accounts(keys: dict[str, list[str]]) -> list[dict[str, Any]]:
    return [{'name': name, 'api_keys': held} for name, held in keys.items()]


class AccountsPlan:
    """Runs a scene on a site whose callers need keys."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.to_peers: list[bytes] = []

    def run(self, act: Callable[[Site], Awaitable[Any]]) -> Any:
        async def scene(site: Site) -> Any:
            site.routes.append(
                {**plain_route('/open/', 'safe', 2), 'public': True}
            )
            await site.start()
            await put_keys(site, KEYS)
            return await act(site)

        logging.getLogger('bergamotdoor').setLevel(logging.DEBUG)
        with logged('bergamotdoor') as lines:
            found = play(scene)
            self.lines.extend(lines)
        return found


async def put_keys(site: Site, keys: dict[str, list[str]]) -> None:
    site.put_manifest(tenants=accounts(keys))
    await asyncio.sleep(1)


async def call(
    site: Site, *credentials: str, path: str = '/book/1', claim: str = ''
) -> Any:
    fields = [
        ('X-Bergamotdoor-Request-Id', 'call-1'),
        *(('Authorization', text) for text in credentials),
    ]
    if claim:
        fields.append(('X-Bergamotdoor-Tenant', claim))
    sent = Call('POST', path, b'x', tuple(fields))
    return await site.client.send(at(site.ports['entry-0']), sent)


def runs(site: Site) -> list[Any]:
    return [one for desk in site.services.values() for one in desk.seen]


def item_runs(site: Site) -> list[Any]:
    return [one for engine in site.engines.values() for one in engine.seen]


async def ask(
    site: Site, method: str, path: str, key: str, body: bytes = b''
) -> Any:
    fields = (
        ('X-Bergamotdoor-Request-Id', JOB),
        ('Authorization', f'Bearer {key}'),
    )
    sent = Call(method, path, body, fields)
    return await site.client.send(at(site.ports['entry-1']), sent)


def job() -> bytes:
    items = [JobItem(f'i{number}', 30, 'g') for number in range(4)]
    written = json.loads(job_body('/roll/', items, 1, 1))
    for item in written['items']:
        item['headers']['X-Bergamotdoor-Tenant'] = 'bee'
        item['headers']['authorization'] = 'Bearer bee-key'
    return json.dumps(written).encode()


async def submit(site: Site, key: str) -> Any:
    return await ask(site, 'POST', f'/roll/{JOB}', key, job())


@given('a site with accounts ant and bee')
def site_with_accounts(context: Any) -> None:
    context.plan = AccountsPlan()
    context.keys = KEYS


@when('a call comes with the key of ant, which claims to be bee')
def call_of_ant(context: Any) -> None:
    async def act(site: Site) -> Any:
        reply = await call(site, 'Bearer ant-key', claim='bee')
        await submit(site, 'ant-key')
        await asyncio.sleep(2)
        return {'reply': reply, 'runs': runs(site), 'store': site.store}

    context.seen = context.plan.run(act)


@then('the upstream runs it for ant')
def runs_for_ant(context: Any) -> None:
    assert context.seen['reply'].status == 200
    assert len(context.seen['runs']) == 1, context.seen['runs']
    run = context.seen['runs'][0]
    assert run.headers[ACCOUNT] == 'ant', run.headers
    assert 'authorization' not in run.headers, run.headers


@then('the key is in nothing that upstreams, the store or other entries got')
def key_is_nowhere(context: Any) -> None:
    kinds = context.seen['store'].table.objects
    kept = {name: kinds[name] for name in kinds if name != 'config'}
    texts = [json.dumps(kept), *context.plan.lines]
    texts.extend(str(one.headers) for one in context.seen['runs'])
    found = [text for text in texts if 'ant-key' in text or 'bee-key' in text]
    assert not found, found


@when('all keys are taken away')
def all_taken(context: Any) -> None:
    context.keys = {'ant': [], 'bee': []}


@when('a call comes with the credentials {credentials}')
def call_with(context: Any, credentials: str) -> None:
    texts = [] if credentials == 'none' else credentials.split(' & ')
    texts = [
        text if text.startswith(('B', 'b')) else f'Bearer {text}'
        for text in texts
    ]

    async def act(site: Site) -> Any:
        await put_keys(site, context.keys)
        reply = await call(site, *texts)
        return {'reply': reply, 'times': len(runs(site))}

    context.seen = context.plan.run(act)


@then('it is answered {status:d}, and ran {times:d} times')
def answered(context: Any, status: int, times: int) -> None:
    assert context.seen['reply'].status == status
    assert context.seen['times'] == times


@when('a call to a public route claims to be bee')
def public_call(context: Any) -> None:
    async def act(site: Site) -> Any:
        reply = await call(site, path='/open/1', claim='bee')
        return {'reply': reply, 'runs': runs(site)}

    context.seen = context.plan.run(act)


@then('the upstream runs it for nobody')
def runs_for_nobody(context: Any) -> None:
    assert context.seen['reply'].status == 200
    assert len(context.seen['runs']) == 1, context.seen['runs']
    run = context.seen['runs'][0]
    assert ACCOUNT not in run.headers, run.headers


async def readings(site: Site, key: str) -> dict[str, int]:
    asked = {
        'results': ('GET', f'/-/lots/{JOB}?after=0'),
        'body': ('GET', f'/-/items/{JOB}?id=i3'),
        'end': ('DELETE', f'/-/lots/{JOB}'),
    }
    return {
        name: (await ask(site, *what, key)).status
        for name, what in asked.items()
    }


@when('ant hands in a job, and its key is taken away')
def key_of_job_taken(context: Any) -> None:
    async def act(site: Site) -> Any:
        accepted = await submit(site, 'ant-key')
        await put_keys(site, {'ant': ['ant-key-2'], 'bee': ['bee-key']})
        found = {
            key: await readings(site, key)
            for key in ('bee-key', 'ant-key', 'ant-key-2')
        }
        return {'accepted': accepted, 'runs': item_runs(site), **found}

    context.seen = context.plan.run(act)


@then("the items run for ant, and no item's header names another account")
def items_for_ant(context: Any) -> None:
    assert context.seen['accepted'].status == 202
    assert len({run.request for run in context.seen['runs']}) == 4
    for run in context.seen['runs']:
        assert run.headers[ACCOUNT] == 'ant', run.headers
        assert 'authorization' not in run.headers, run.headers


@then('another key of ant reads results and bodies and ends the job')
def other_key(context: Any) -> None:
    expected = {'results': 200, 'body': 200, 'end': 200}
    assert context.seen['ant-key-2'] == expected


@then('keys of bee and keys that are gone find no such job')
def no_such_job(context: Any) -> None:
    assert set(context.seen['bee-key'].values()) == {404}
    assert set(context.seen['ant-key'].values()) == {401}


@when("bee hands in a job under the id of ant's")
def foreign_job(context: Any) -> None:
    async def act(site: Site) -> Any:
        await submit(site, 'ant-key')
        foreign = await submit(site, 'bee-key')
        again = await submit(site, 'ant-key-2')
        ran = item_runs(site)
        return {'foreign': foreign, 'again': again, 'runs': ran}

    context.seen = context.plan.run(act)


@then("that is a conflict, and the job is still ant's")
def conflict(context: Any) -> None:
    assert context.seen['foreign'].status == 409
    assert context.seen['again'].status == 202
    assert {run.headers[ACCOUNT] for run in context.seen['runs']} == {'ant'}


@when('ant hands in a job, and its owner is killed')
def owner_killed(context: Any) -> None:
    async def act(site: Site) -> Any:
        accepted = await submit(site, 'ant-key')
        await asyncio.sleep(0.3)
        owner = site.store.table.specs('jobs')[JOB]['owner']
        left = next(name for name in site.entries if name != owner)
        await site.kill(owner)
        fields = (('Authorization', 'Bearer ant-key'),)
        sent = Call('GET', f'/-/lots/{JOB}?after=0', b'', fields)
        await asyncio.sleep(1)
        await site.client.send(at(site.ports[left]), sent)
        await asyncio.sleep(4)
        return {'accepted': accepted, 'runs': item_runs(site)}

    context.seen = context.plan.run(act)
