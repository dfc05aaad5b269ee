# flake8: noqa
"""REFUSED: a batch job runs that was answered 503 at each attempt.

The store goes down right after it has carried out the write that creates the
job: the connection is reset without an answer, and then the store answers 503
for some seconds. The gateway sends the write once more, takes the 503 for the
answer to both, and tells the trainer that nothing of the job runs. When the
gateways are restarted in turn as planned, the job runs.
"""

from __future__ import annotations

import asyncio
import base64
import json
import pathlib
import signal
import time

from standin import product
from standin.engines import Engine
from standin.record import Record
from standin.store import Store
from standin.web import Reply, send

HOST = 'train.example'
MODEL = 'm0'
SERVICE = 'reply-gen'
JOB = 'job0'
ITEMS = 16
ITEM_MS = 400
#: How long the store is down; the dose of ``platform_down`` is 4.5 s.
DOWN_S = 4.5
GRACE_S = 8
#: A trainer waits no longer than a third of its time limit for a retry.
LONGEST_RETRY_S = 4.0
#: Time from the end of the trainer's attempts to the planned restarts.
SETTLE_S = 8.0
#: How long the engines are watched after the last restart.
WATCH_S = 8.0

record = Record(pathlib.Path('record.txt'))


def manifest() -> dict[str, object]:
    route = {
        'name': 'reply-batch',
        'host': HOST,
        'path_prefix': '/lots/',
        'kind': 'rollout',
        'service': SERVICE,
        'timeout_ms': 10_000,
        'goal_ms': 400,
        'due_ms': 7500,
        'max_attempts': 3,
        'max_wait_s': 40,
        'priority': 0,
    }
    return {
        'version': 3,
        'routes': [route],
        'services': [{'name': SERVICE}],
        'limits': {},
    }


def job_body() -> bytes:
    items = [
        {
            'id': f'{JOB}-{number}',
            'path': f'/lots/{number}',
            'headers': {
                'X-Bergamotdoor-Model': MODEL,
                'X-Bergamotdoor-Token-Count': '271,1160',
                'X-Bergamotdoor-Prompt-Prefix': f'{number // 4:x}a:255,{number:x}b:16',
            },
            'body': base64.b64encode(str(ITEM_MS).encode()).decode(),
            'tokens': 1431,
            'group': f'group-{number // 4}',
        }
        for number in range(ITEMS)
    ]
    head = {'step': 0, 'model': MODEL, 'min_version': 1, 'target_groups': 4}
    return json.dumps({**head, 'items': items}).encode()


async def submit(gateway: product.Program) -> Reply:
    headers = {
        'X-Bergamotdoor-Request-Id': JOB,
        'Content-Type': 'application/json',
    }
    reply = await send(
        gateway.front,
        'POST',
        f'/lots/{JOB}',
        headers,
        job_body(),
        limit_s=10,
        host=HOST,
    )
    record.add(
        f'trainer: {JOB} submitted at {gateway.name}: {reply.end}, status '
        f'{reply.status}, Retry-After {reply.headers.get("retry-after")}'
    )
    return reply


async def submit_with_retry(gateways: list[product.Program]) -> list[Reply]:
    """Submit the job, and once more at another gateway if it is refused."""
    replies = [await submit(gateways[0])]
    if replies[0].status in (429, 503):
        wait_s = float(replies[0].headers.get('retry-after', '0'))
        await asyncio.sleep(min(wait_s, LONGEST_RETRY_S))
        replies.append(await submit(gateways[1]))
    return replies


async def restart_in_turn(gateways: list[product.Program]) -> None:
    """Stop each gateway as planned, and start it again."""
    for gateway in gateways:
        record.add(f'platform: SIGTERM to {gateway.name}')
        gateway.signal(signal.SIGTERM)
        asked_s = time.monotonic()
        while gateway.running and time.monotonic() - asked_s < GRACE_S:
            await asyncio.sleep(0.05)
        gateway.kill()
        await asyncio.sleep(0.3)
        gateway.start()
        await gateway.wait_ready()
        record.add(f'platform: {gateway.name} runs again')


async def case() -> bool:
    addresses = product.Addresses()
    store = Store(addresses.next(), product.STORE_PORT, stale_s=1.0)
    engines = [
        Engine(
            f'i-{number}',
            SERVICE,
            addresses.next(),
            product.ENGINE_PORT,
            zone,
            record,
            model=MODEL,
        )
        for number, zone in enumerate(product.ZONES[:3])
    ]
    gateways: list[product.Program] = []
    with product.temporary_folder() as folder:
        try:
            await store.start()
            store.put('config', 'main', manifest())
            for engine in engines:
                await engine.start()
                store.put('servers', engine.name, engine.entry())
            for number, zone in enumerate(product.ZONES[:3]):
                gateway = product.Program(
                    f'gateway-{number}',
                    'gateway',
                    zone,
                    addresses.next(),
                    store.address,
                    folder,
                )
                gateways.append(gateway)
                gateway.start()
            for gateway in gateways:
                await gateway.wait_ready()
            # Until then the gateways do not know each other.
            await asyncio.sleep(7)
            return await play(store, gateways, engines)
        finally:
            for gateway in gateways:
                gateway.kill()
            for engine in engines:
                engine.exit()
            store.stop()


async def play(
    store: Store, gateways: list[product.Program], engines: list[Engine]
) -> bool:
    if product.has_trouble():
        store.down_s = DOWN_S
        store.lose_write = 'jobs'
    replies = await submit_with_retry(gateways)
    statuses = [reply.status for reply in replies]
    refused = all(status in (429, 503, 408, 421) for status in statuses)
    record.say(f'the trainer was answered {statuses}')
    await asyncio.sleep(SETTLE_S)
    before = sum(len(engine.runs) for engine in engines)
    await restart_in_turn(gateways)
    await asyncio.sleep(WATCH_S)
    runs = [run.request for engine in engines for run in engine.runs]
    record.say(
        f'items that ran: {len(set(runs))} of {ITEMS}, {before} runs before '
        f'the restarts, {len(runs)} in all'
    )
    return refused and bool(runs)


product.run_case(case, record, 110)
