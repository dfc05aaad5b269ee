# flake8: noqa
"""LOST: a planned stop cuts requests that have time left to be answered.

One of three gateways gets SIGTERM while calls and streams are in progress
that their engines finish 6.54 to 6.63 s after it: before the last sixth of
``grace_s`` (8 s) begins, at 6.667 s.
"""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import signal
import time

from standin import product
from standin.engines import Engine, Run
from standin.record import Record
from standin.store import Store
from standin.web import Reply, send

HOST = 'desk.example'
GRACE_S = 8
#: The last sixth of the grace time begins so long after SIGTERM.
LAST_SIXTH_S = GRACE_S * 5 / 6
TIMEOUT_MS = 10_000
DEADLINE_MS = 12_000
#: When the requests are sent, and when their work ends, after SIGTERM.
SENT_S = (-1.0, -0.8, -0.6, -0.4, -0.2, 0.3, 0.5, 0.7, 0.9, 1.1)
WORK_ENDS_S = (6.54, 6.57, 6.60, 6.63)

record = Record(pathlib.Path('record.txt'))


@dataclasses.dataclass
class Sent:
    """A request of a client and its answer."""

    name: str
    sent_s: float
    reply: Reply
    ended_s: float


def routes() -> list[dict[str, object]]:
    common = {
        'host': HOST,
        'service': 'visitor-log',
        'timeout_ms': TIMEOUT_MS,
        'goal_ms': 1000,
        'max_attempts': 2,
        'priority': 1,
    }
    return [
        {'name': 'book', 'path_prefix': '/book/', 'kind': 'unsafe', **common},
        {'name': 'draft', 'path_prefix': '/draft/', 'kind': 'stream', **common},
    ]


async def call(
    address: tuple[str, int], name: str, path: str, at_s: float, ends_s: float
) -> Sent:
    """Send a request at a moment whose work ends at another moment."""
    await asyncio.sleep(at_s - time.monotonic())
    work_ms = int((ends_s - time.monotonic()) * 1000)
    headers = {
        'X-Bergamotdoor-Request-Id': name,
        'X-Bergamotdoor-Deadline-Ms': str(DEADLINE_MS),
    }
    sent_s = time.monotonic()
    record.add(f'client: {name} sent to gateway-1, {work_ms} ms of work')
    reply = await send(
        address,
        'POST',
        f'{path}{name}',
        headers,
        str(work_ms).encode(),
        limit_s=DEADLINE_MS / 1000,
        host=HOST,
    )
    ended_s = time.monotonic()
    record.add(f'client: {name}: {reply.end}, status {reply.status}')
    return Sent(name, sent_s, reply, ended_s)


async def stop_planned(gateway: product.Program, at_s: float) -> float:
    """Send SIGTERM, and SIGKILL after the grace time; return the moment."""
    await asyncio.sleep(at_s - time.monotonic())
    if not product.has_trouble():
        return time.monotonic()
    record.add('platform: SIGTERM to gateway-1')
    gateway.signal(signal.SIGTERM)
    return time.monotonic()


def is_lost(sent: Sent, runs: list[Run], term_s: float) -> bool:
    """Return whether the rule counts the request as cut off.

    The work of each request would have ended before the last sixth of the
    grace time, so no reading of the rule's excuse holds for it.
    """
    run = next((run for run in runs if run.request == sent.name), None)
    if run is None or not run.end or sent.reply.end != 'cut':
        return False
    out_of_time = sent.ended_s - sent.sent_s >= TIMEOUT_MS / 1000
    engine_broke_off = run.end == 'exit'
    at_work_late = run.ended_s - term_s >= LAST_SIXTH_S
    within = sent.ended_s - term_s <= GRACE_S + 1
    return within and not (out_of_time or engine_broke_off or at_work_late)


async def case() -> bool:
    addresses = product.Addresses()
    store = Store(addresses.next(), product.STORE_PORT)
    engines = [
        Engine(
            f'i-{number}',
            'visitor-log',
            addresses.next(),
            product.ENGINE_PORT,
            zone,
            record,
        )
        for number, zone in enumerate(product.ZONES[:3])
    ]
    gateways: list[product.Program] = []
    with product.temporary_folder() as folder:
        try:
            await store.start()
            store.put(
                'config',
                'main',
                {
                    'version': 3,
                    'routes': routes(),
                    'services': [{'name': 'visitor-log'}],
                    'limits': {},
                },
            )
            for engine in engines:
                await engine.start()
                store.put('servers', engine.name, engine.entry())
            for number, zone in enumerate(product.ZONES[:3], start=1):
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
            await asyncio.sleep(4)
            return await play(gateways[0], engines)
        finally:
            for gateway in gateways:
                gateway.kill()
            for engine in engines:
                engine.exit()
            store.stop()


async def play(gateway: product.Program, engines: list[Engine]) -> bool:
    planned_s = time.monotonic() + 1.5
    calls = []
    for number, sent_s in enumerate(SENT_S):
        for path in ('/book/', '/draft/'):
            ends_s = WORK_ENDS_S[number % len(WORK_ENDS_S)]
            name = f'{path.strip("/")}-{number}'
            calls.append(
                call(
                    gateway.front,
                    name,
                    path,
                    planned_s + sent_s,
                    planned_s + ends_s,
                )
            )
    term_s, *sent = await asyncio.gather(
        stop_planned(gateway, planned_s), *calls
    )
    # The engines notice the end of a connection a moment after the client.
    await asyncio.sleep(0.5)
    runs = [run for engine in engines for run in engine.runs]
    lost = [one for one in sent if is_lost(one, runs, term_s)]
    whole = [
        one
        for one in sent
        if one.reply.end == 'whole' and one.reply.status == 200
    ]
    for one in lost:
        record.add(
            f'{one.name}: cut {one.ended_s - term_s:.3f} s after SIGTERM'
        )
    record.say(
        f'{len(sent)} requests: {len(whole)} answered in full, {len(lost)} '
        f'passed on to an engine and cut'
    )
    return bool(lost) if product.has_trouble() else len(whole) < len(sent)


product.run_case(case, record, 60)
