"""Steps for client accounts on a whole site in virtual time."""

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
from lab.store import StoreMode
from lab.wire import JobItem, job_body

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

KEYS = {'ant': ['ant-key', 'ant-key-2'], 'bee': ['bee-key']}
ACCOUNT = 'x-bergamotdoor-tenant'
JOB = 'job-1'


def account_specs(keys: dict[str, list[str]]) -> list[dict[str, Any]]:
    return [{'name': name, 'api_keys': held} for name, held in keys.items()]


class AccountsPlan:
    """Player of scenes on a site whose callers need keys."""

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
    site.put_manifest(tenants=account_specs(keys))
    await asyncio.sleep(1)


async def send_call(
    site: Site, *credentials: str, path: str = '/book/1', claim: str = ''
) -> Any:
    fields = [
        ('X-Bergamotdoor-Request-Id', 'call-1'),
        *(('Authorization', text) for text in credentials),
    ]
    if claim:
        fields.append(('X-Bergamotdoor-Tenant', claim))
    request = Call('POST', path, b'x', tuple(fields))
    return await site.client.send(at(site.ports['entry-0']), request)


def call_runs(site: Site) -> list[Any]:
    return [run for service in site.services.values() for run in service.seen]


def item_runs(site: Site) -> list[Any]:
    return [run for engine in site.engines.values() for run in engine.seen]


async def send_job_request(
    site: Site, method: str, path: str, key: str, body: bytes = b''
) -> Any:
    fields = (
        ('X-Bergamotdoor-Request-Id', JOB),
        ('Authorization', f'Bearer {key}'),
    )
    request = Call(method, path, body, fields)
    return await site.client.send(at(site.ports['entry-1']), request)


def job_claiming_bee() -> bytes:
    """Return a job whose items name bee in their header fields."""
    items = [JobItem(f'i{number}', 30, 'g') for number in range(4)]
    job = json.loads(job_body('/roll/', items, 1, 1))
    for item in job['items']:
        item['headers']['X-Bergamotdoor-Tenant'] = 'bee'
        item['headers']['authorization'] = 'Bearer bee-key'
    return json.dumps(job).encode()


async def submit(site: Site, key: str) -> Any:
    return await send_job_request(
        site, 'POST', f'/roll/{JOB}', key, job_claiming_bee()
    )


@given('a site with accounts ant and bee')
def site_with_accounts(context: Any) -> None:
    context.plan = AccountsPlan()
    context.keys = KEYS


@when('a call with the key of ant names bee as its account')
def send_call_of_ant(context: Any) -> None:
    async def act(site: Site) -> Any:
        reply = await send_call(site, 'Bearer ant-key', claim='bee')
        await submit(site, 'ant-key')
        await asyncio.sleep(2)
        return {'reply': reply, 'runs': call_runs(site), 'store': site.store}

    context.seen = context.plan.run(act)


@then('the upstream runs it for ant')
def runs_for_ant(context: Any) -> None:
    assert context.seen['reply'].status == 200
    assert len(context.seen['runs']) == 1, context.seen['runs']
    run = context.seen['runs'][0]
    assert run.headers[ACCOUNT] == 'ant', run.headers
    assert 'authorization' not in run.headers, run.headers


@then('upstreams, the store and other entries never receive the key')
def key_is_not_passed_on(context: Any) -> None:
    kinds = context.seen['store'].table.objects
    # The manifest itself holds the keys.
    stored = {name: kinds[name] for name in kinds if name != 'config'}
    texts = [json.dumps(stored), *context.plan.lines]
    texts.extend(str(run.headers) for run in context.seen['runs'])
    found = [text for text in texts if 'ant-key' in text or 'bee-key' in text]
    assert not found, found


@when('all keys are revoked')
def revoke_all_keys(context: Any) -> None:
    context.keys = {'ant': [], 'bee': []}


@when('a call is sent with the credentials {credentials}')
def send_call_with(context: Any, credentials: str) -> None:
    texts = [] if credentials == 'none' else credentials.split(' & ')
    texts = [
        text if text.startswith(('B', 'b')) else f'Bearer {text}'
        for text in texts
    ]

    async def act(site: Site) -> Any:
        await put_keys(site, context.keys)
        reply = await send_call(site, *texts)
        return {'reply': reply, 'times': len(call_runs(site))}

    context.seen = context.plan.run(act)


@then('it gets status {status:d} and ran {times:d} times')
def has_status(context: Any, status: int, times: int) -> None:
    assert context.seen['reply'].status == status
    assert context.seen['times'] == times


@when('a call to a public route names bee as its account')
def send_public_call(context: Any) -> None:
    async def act(site: Site) -> Any:
        reply = await send_call(site, path='/open/1', claim='bee')
        return {'reply': reply, 'runs': call_runs(site)}

    context.seen = context.plan.run(act)


@then('the upstream runs it for no account')
def runs_for_no_account(context: Any) -> None:
    assert context.seen['reply'].status == 200
    assert len(context.seen['runs']) == 1, context.seen['runs']
    run = context.seen['runs'][0]
    assert ACCOUNT not in run.headers, run.headers


async def use_job(site: Site, key: str) -> dict[str, int]:
    """Return the statuses of a read, a body and the end of the job."""
    requests = {
        'results': ('GET', f'/-/lots/{JOB}?after=0'),
        'body': ('GET', f'/-/items/{JOB}?id=i3'),
        'end': ('DELETE', f'/-/lots/{JOB}'),
    }
    return {
        name: (await send_job_request(site, *request, key)).status
        for name, request in requests.items()
    }


@when('ant submits a job and its key is revoked')
def revoke_key_of_job(context: Any) -> None:
    async def act(site: Site) -> Any:
        accepted = await submit(site, 'ant-key')
        await put_keys(site, {'ant': ['ant-key-2'], 'bee': ['bee-key']})
        statuses = {
            key: await use_job(site, key)
            for key in ('bee-key', 'ant-key', 'ant-key-2')
        }
        return {'accepted': accepted, 'runs': item_runs(site), **statuses}

    context.seen = context.plan.run(act)


@then("the items run for ant, and no item's header names another account")
def items_run_for_ant(context: Any) -> None:
    assert context.seen['accepted'].status == 202
    assert len({run.request for run in context.seen['runs']}) == 4
    for run in context.seen['runs']:
        assert run.headers[ACCOUNT] == 'ant', run.headers
        assert 'authorization' not in run.headers, run.headers


@then('another key of ant reads results and bodies and ends the job')
def other_key_of_ant_works(context: Any) -> None:
    expected = {'results': 200, 'body': 200, 'end': 200}
    assert context.seen['ant-key-2'] == expected


@then('the key of bee gets 404 and the revoked key gets 401')
def other_keys_fail(context: Any) -> None:
    assert set(context.seen['bee-key'].values()) == {404}
    assert set(context.seen['ant-key'].values()) == {401}


@when("bee submits a job with the id of ant's job")
def submit_foreign_job(context: Any) -> None:
    async def act(site: Site) -> Any:
        await submit(site, 'ant-key')
        foreign = await submit(site, 'bee-key')
        again = await submit(site, 'ant-key-2')
        ran = item_runs(site)
        return {'foreign': foreign, 'again': again, 'runs': ran}

    context.seen = context.plan.run(act)


@when("bee submits a job with the id of ant's job during an outage")
def submit_foreign_job_during_outage(context: Any) -> None:
    async def act(site: Site) -> Any:
        await submit(site, 'ant-key')
        await asyncio.sleep(0.5)
        site.store.mode = StoreMode.BUSY
        foreign = await submit(site, 'bee-key')
        again = await submit(site, 'ant-key-2')
        ran = item_runs(site)
        return {'foreign': foreign, 'again': again, 'runs': ran}

    context.seen = context.plan.run(act)


@then('bee gets 409 and the job still belongs to ant')
def job_belongs_to_ant(context: Any) -> None:
    assert context.seen['foreign'].status == 409
    assert context.seen['again'].status == 202
    assert {run.headers[ACCOUNT] for run in context.seen['runs']} == {'ant'}


@when('ant submits a job and its owner is killed')
def kill_owner_of_job(context: Any) -> None:
    async def act(site: Site) -> Any:
        accepted = await submit(site, 'ant-key')
        await asyncio.sleep(0.3)
        owner = site.store.table.specs('jobs')[JOB]['owner']
        survivor = next(name for name in site.entries if name != owner)
        await site.kill(owner)
        fields = (('Authorization', 'Bearer ant-key'),)
        request = Call('GET', f'/-/lots/{JOB}?after=0', b'', fields)
        await asyncio.sleep(1)
        await site.client.send(at(site.ports[survivor]), request)
        await asyncio.sleep(4)
        return {'accepted': accepted, 'runs': item_runs(site)}

    context.seen = context.plan.run(act)
