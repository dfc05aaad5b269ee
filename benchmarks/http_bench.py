"""Benchmark of HTTP exchanges over the loopback interface in one process.

Server and client share the process and its one processor, so a figure for
both is the sum of their work. Times are wall time and include the effect of
other load on the machine.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
import time
from typing import TYPE_CHECKING, Final

import h11
import msgspec
from absl import app, flags

from benchmarks._http_site import MB, STREAM_MB, Site, size_bytes, zeros
from bergamotdoor.http.messages import Headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SEED = flags.DEFINE_integer('seed', 1, 'Seeds the delays.')
JSON = flags.DEFINE_string('json', '', 'Where to write the figures.')

EXCHANGES: Final = 1_000
ROUNDS: Final = 3
CALLERS: Final = 64
CALLS_EACH: Final = 30
MOST_DELAY_MS: Final = 10
HALF_READ_SHARE: Final = 0.2

_US_PER_SECOND: Final = 1_000_000
_RAW_REQUEST: Final = (
    b'POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc'
)
_RAW_BODY: Final = b'abc'
_DATE: Final = 'Thu, 01 Jan 2026 00:00:00 GMT'


class Row(msgspec.Struct, frozen=True):
    """One measured figure."""

    name: str
    value: float
    unit: str


class Report(msgspec.Struct, frozen=True):
    """All figures of one run."""

    rows: list[Row]
    calls: int
    wrong_answers: int


async def h11_alone(_site: Site) -> int:
    """Parse prepared requests and produce responses with h11 alone.

    No sockets or tasks are involved. Like the other measurements, it returns
    the number of units (exchanges or MB) that were processed.
    """
    machine = h11.Connection(h11.SERVER)
    headers = [('content-length', '3'), ('date', _DATE)]
    for _ in range(EXCHANGES):
        machine.receive_data(_RAW_REQUEST)
        while machine.their_state is not h11.DONE:
            machine.next_event()
        machine.send(h11.Response(status_code=200, headers=headers))
        machine.send(h11.Data(data=_RAW_BODY))
        machine.send(h11.EndOfMessage())
        machine.start_next_cycle()
    return EXCHANGES


async def small_raw(site: Site) -> int:
    """Exchange prepared bytes with the server over a plain socket.

    The figure covers the work of the server and the sockets only.
    """
    reader, writer = await asyncio.open_connection(
        site.address.ip, site.address.port
    )
    for _ in range(EXCHANGES):
        writer.write(_RAW_REQUEST)
        await reader.readuntil(_RAW_BODY)
    writer.close()
    return EXCHANGES


async def small_pooled(site: Site) -> int:
    """Exchange small requests on one pooled connection."""
    for _ in range(EXCHANGES):
        response = await site.send('/echo', body=b'abc')
        await response.read_body(MB)
    return EXCHANGES


async def small_fresh(site: Site) -> int:
    """Exchange requests that are not idempotent, so each has a connection."""
    count = EXCHANGES // 4
    for _ in range(count):
        response = await site.send('/echo', body=b'abc', idempotent=False)
        await response.read_body(MB)
    return count


async def stream_down(site: Site) -> int:
    """Receive a streamed response."""
    response = await site.send('/zeros')
    received = await size_bytes(response.body)
    if received != STREAM_MB * MB:
        raise ConnectionError(f'{received} bytes of {STREAM_MB} MB')
    return STREAM_MB


async def stream_up(site: Site) -> int:
    """Send a request with a streamed body."""
    response = await site.send('/count', body=zeros())
    counted = int(await response.read_body(MB))
    if counted != STREAM_MB * MB:
        raise ConnectionError(f'{counted} bytes of {STREAM_MB} MB')
    return STREAM_MB


async def best_us(site: Site, run: Callable[[Site], Awaitable[int]]) -> float:
    """Return the microseconds per unit in the fastest round of `run`."""
    rounds = []
    for _ in range(ROUNDS):
        started_at_s = time.perf_counter()
        units = await run(site)
        rounds.append((time.perf_counter() - started_at_s) / units)
    return min(rounds) * _US_PER_SECOND


async def wrong_answers(site: Site, seed: int) -> int:
    """Run concurrent callers, and count wrong responses.

    A response is wrong if it is not the complete one to the caller's own
    request.
    """
    callers = [
        _run_caller(site, number, random.Random(f'{seed}.{number}'))
        for number in range(CALLERS)
    ]
    return sum(await asyncio.gather(*callers))


async def _run_caller(
    site: Site, caller_number: int, rng: random.Random
) -> int:
    wrong = 0
    for call in range(CALLS_EACH):
        target = f'/{caller_number}/{call};'
        delay_s = rng.uniform(0, MOST_DELAY_MS) / 1000
        repeats = rng.choice((1, 100, 10_000))
        response = await site.send(
            target,
            body=bytes(repeats),
            headers=Headers.of([('x-delay-s', str(delay_s))]),
        )
        if rng.random() < HALF_READ_SHARE:
            await response.body.aclose()  # type: ignore[attr-defined]
            continue
        body = await response.read_body(MB)
        wrong += body != target.encode() * repeats
    return wrong


async def measure(seed: int) -> Report:
    """Run all measurements, and return their figures."""
    site = await Site.open()
    runs = (
        ('small exchange, h11 alone, server side', h11_alone, 'us'),
        ('small exchange, server and raw caller', small_raw, 'us'),
        ('small exchange, server and client', small_pooled, 'us'),
        ('small exchange, new connection', small_fresh, 'us'),
        ('streamed response', stream_down, 'us/MB'),
        ('streamed request', stream_up, 'us/MB'),
    )
    rows = [
        Row(name, round(await best_us(site, run), 1), unit)
        for name, run, unit in runs
    ]
    wrong = await wrong_answers(site, seed)
    await site.close()
    return Report(rows, CALLERS * CALLS_EACH, wrong)


def main(_: list[str]) -> None:
    """Print the table, write the JSON file, and fail on a wrong response."""
    report = asyncio.run(measure(SEED.value))
    for row in report.rows:
        print(f'{row.name:<40} {row.value:>10} {row.unit}')
    print(f'{report.wrong_answers} of {report.calls} calls answered wrongly')
    if JSON.value:
        pathlib.Path(JSON.value).write_bytes(msgspec.json.encode(report))
    if report.wrong_answers:
        sys.exit('a caller got an answer that is not its own')


if __name__ == '__main__':
    app.run(main)
