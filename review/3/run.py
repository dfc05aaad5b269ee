# flake8: noqa
"""UNASKED: a former owner runs items of a batch job that was ended.

The gateway that runs a batch job freezes for some two seconds. A reader's
gateway takes the job over. The former owner wakes, the trainer ends the job,
and only the new owner is told. The former owner sends items on to engines
for longer than ``cancel_ms`` (3 s).
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
CANCEL_S = 3.0
CONTACT_S = 3.0
#: Age of answers to calls with ``allow_stale``: "seconds old".
STALE_S = 2.5
#: The longest freeze; the dose of ``node_freeze`` in ltc-desk is 4 s.
LONGEST_FREEZE_S = 4.0
ROUNDS = 4
GROUPS = 100
GROUP_SIZE = 4
ITEM_MS = 800
#: How long the engines are watched after the end of a job.
WATCH_S = 6.0

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


def job_body(job: str) -> bytes:
    items = [
        {
            'id': f'{job}-{group}-{number}',
            'path': f'/lots/{group}/{number}',
            'headers': {
                'X-Bergamotdoor-Model': MODEL,
                'X-Bergamotdoor-Token-Count': '271,1160',
                'X-Bergamotdoor-Prompt-Prefix': (
                    f'{group:x}a{job[-1]}:255,{group:x}b{number}{job[-1]}:16'
                ),
            },
            'body': base64.b64encode(str(ITEM_MS).encode()).decode(),
            'tokens': 1431,
            'group': f'{job}-{group}',
        }
        for group in range(GROUPS)
        for number in range(GROUP_SIZE)
    ]
    head = {
        'step': 0,
        'model': MODEL,
        'min_version': 1,
        'target_groups': GROUPS * 9 // 10,
    }
    return json.dumps({**head, 'items': items}).encode()


class Site:
    """The stand-ins and the gateways of one run."""

    def __init__(self, folder: str) -> None:
        addresses = product.Addresses()
        self.store = Store(addresses.next(), product.STORE_PORT, STALE_S)
        self.engines = [
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
        self.gateways = {
            f'gateway-{number}': product.Program(
                f'gateway-{number}',
                'gateway',
                zone,
                addresses.next(),
                self.store.address,
                folder,
            )
            for number, zone in enumerate(product.ZONES[:3])
        }

    async def start(self) -> None:
        await self.store.start()
        self.store.put('config', 'main', manifest())
        for engine in self.engines:
            await engine.start()
            self.store.put('servers', engine.name, engine.entry())
        for gateway in self.gateways.values():
            gateway.start()
        for gateway in self.gateways.values():
            await gateway.wait_ready()
        # Until then the gateways do not know each other.
        await asyncio.sleep(STALE_S + 6)

    def stop(self) -> None:
        for gateway in self.gateways.values():
            gateway.kill()
        for engine in self.engines:
            engine.exit()
        self.store.stop()

    def owner(self, job: str) -> str:
        """Return the gateway that runs a job, as the store has it."""
        stored = self.store.get('jobs', job)
        return '' if stored is None else stored['spec']['owner']

    def others(self, name: str) -> list[product.Program]:
        return [
            gateway for other, gateway in self.gateways.items() if other != name
        ]

    def late_runs(self, job: str, since_s: float) -> list[tuple[str, float]]:
        """Return the items of a job that reached an engine after a moment."""
        return [
            (run.request, run.began_s)
            for engine in self.engines
            for run in engine.runs
            if run.request.startswith(f'{job}-') and run.began_s > since_s
        ]


async def call(
    gateway: product.Program,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
) -> Reply:
    reply = await send(
        gateway.front, method, path, headers, body, limit_s=5, host=HOST
    )
    record.add(
        f'client: {method} {path} at {gateway.name}: {reply.end}, '
        f'status {reply.status}'
    )
    return reply


async def submit(site: Site, job: str) -> bool:
    gateway = site.gateways['gateway-0']
    reply = await call(
        gateway,
        'POST',
        f'/lots/{job}',
        {
            'X-Bergamotdoor-Request-Id': job,
            'Content-Type': 'application/json',
        },
        job_body(job),
    )
    return reply.status == 202


async def read(gateway: product.Program, job: str) -> Reply:
    return await call(
        gateway,
        'GET',
        f'/-/lots/{job}?after=0',
        {'X-Bergamotdoor-Wait-Ms': '1000'},
    )


async def freeze_owner(site: Site, job: str, owner: str) -> float:
    """Freeze a job's owner until it is taken over; return when it woke."""
    reader = site.others(owner)[0]
    frozen = site.gateways[owner]
    record.add(f'{owner} freezes')
    began_s = time.monotonic()
    frozen.signal(signal.SIGSTOP)
    reading = asyncio.ensure_future(read_again(reader, job))
    try:
        while time.monotonic() - began_s < LONGEST_FREEZE_S - 0.1:
            await asyncio.sleep(0.02)
            if site.owner(job) != owner and time.monotonic() - began_s > 2.1:
                break
    finally:
        frozen.signal(signal.SIGCONT)
        woke_s = time.monotonic()
        record.add(
            f'{owner} wakes after {woke_s - began_s:.2f} s, the owner is '
            f'{site.owner(job)}'
        )
    reading.cancel()
    return woke_s


async def read_again(reader: product.Program, job: str) -> None:
    """Read about twice a second, as clients do."""
    await asyncio.sleep(0.8)
    while True:
        await read(reader, job)
        await asyncio.sleep(0.5)


async def play_round(site: Site, number: int) -> int:
    """Return how many items reached an engine too late."""
    job = f'job{number}'
    if not await submit(site, job):
        raise RuntimeError('the job was not accepted')
    await asyncio.sleep(1.5)
    owner = site.owner(job)
    calm_s = time.monotonic()
    if product.has_trouble():
        calm_s = await freeze_owner(site, job, owner) + CONTACT_S
    else:
        await read(site.others(owner)[0], job)
    await asyncio.sleep(0.1)
    ended = await call(site.others(owner)[1], 'DELETE', f'/-/lots/{job}', {})
    if ended.status != 200:
        raise RuntimeError('the end was not confirmed')
    confirmed_s = time.monotonic()
    await asyncio.sleep(WATCH_S)
    # From then on all machines are in touch again.
    late = site.late_runs(job, max(confirmed_s + CANCEL_S, calm_s))
    for item, at_s in late:
        record.add(
            f'{item} reached an engine and ran {at_s - confirmed_s:.3f} s '
            f'after the end was confirmed'
        )
    record.say(
        f'{job}: {len(late)} items reached an engine and ran later than '
        f'{CANCEL_S:.0f} s after the end was confirmed'
    )
    return len(late)


async def case() -> bool:
    with product.temporary_folder() as folder:
        site = Site(folder)
        try:
            await site.start()
            late = [await play_round(site, number) for number in range(ROUNDS)]
        finally:
            site.stop()
    record.say(f'{sum(map(bool, late))} of {ROUNDS} jobs ran too long')
    return any(late)


product.run_case(case, record, 110)
