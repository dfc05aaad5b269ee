"""Steps that drive the HTTP client and server with random input."""

from __future__ import annotations

import asyncio
import contextlib
import datetime as dt
import enum
from typing import TYPE_CHECKING, Any, NamedTuple

import hypothesis
from behave import then
from hypothesis import strategies as st

from bergamotdoor.http.messages import (
    ClientRequest,
    ClientResponse,
    HttpRequest,
    HttpResponse,
)
from bergamotdoor.http.server import HttpServer
from bergamotdoor.settings.process import HttpLimits
from features.http_rig import (
    ADDRESS,
    Notes,
    Play,
    open_client,
    run_without_leftover_tasks,
)
from lab.virtual import virtual_clock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

    from bergamotdoor.http.client import HttpClient

    Pieces = list[tuple[int, bytes]]


def run_examples(
    examples: int,
    strategy: st.SearchStrategy[Any],
    work: Callable[[Any], Coroutine[Any, Any, int]],
) -> int:
    """Run `work` on generated examples, and return the sum of its results.

    Every run uses the same examples.
    """
    counts = []

    @hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategy)
    def run(example: Any) -> None:
        counts.append(run_without_leftover_tasks(work(example)))

    run()
    return sum(counts)


class End(enum.Enum):
    """What a caller does with its response."""

    READ = 'read'
    HALF = 'half'
    IGNORE = 'ignore'
    CANCEL = 'cancel'


class Plan(NamedTuple):
    """Actions of one caller.

    ``start``, ``work`` and ``pause`` are in milliseconds: the delay before
    the request, the time for which the handler works, and the pause before
    the caller reads the response (or before it cancels the request).
    """

    start: int
    work: int
    repeats: int
    streamed: bool
    idempotent: bool
    pause: int
    end: End

    @property
    def target(self) -> str:
        return f'/{self.work}/{self.repeats}/{self.streamed}'


PLAN_LISTS = st.lists(
    st.builds(
        Plan,
        start=st.integers(0, 60),
        work=st.integers(0, 20),
        repeats=st.sampled_from([1, 100, 30_000]),
        streamed=st.booleans(),
        idempotent=st.booleans(),
        pause=st.integers(0, 20),
        end=st.sampled_from([End.READ, End.READ, *End]),
    ),
    min_size=2,
    max_size=12,
)


async def repeat_target(request: HttpRequest) -> HttpResponse:
    """Return the request's target, repeated, in the way the target says.

    The target contains the handler's time in milliseconds, the number of
    repetitions, and whether the response is streamed.
    """
    await request.read_body(1_000)
    work, repeats, streamed = request.target.split('/')[2:]
    await asyncio.sleep(int(work) / 1000)
    body = f'{request.target};'.encode() * int(repeats)
    if streamed == 'False':
        return HttpResponse(status=200, body=body)
    return HttpResponse(status=200, body=split_body(body))


async def split_body(body: bytes) -> AsyncIterator[bytes]:
    size = len(body) // 3 + 1
    for start in range(0, len(body), size):
        yield body[start : start + size]
        await asyncio.sleep(0.003)


async def run_plan(client: HttpClient, number: int, plan: Plan) -> bool:
    """Run a caller's plan; return whether it read the complete response."""
    await asyncio.sleep(plan.start / 1000)
    target = f'/{number}{plan.target}'
    sending = client.send(
        ClientRequest(
            address=ADDRESS,
            method='POST',
            target=target,
            body=b'abc',
            timeout=dt.timedelta(seconds=3),
            idempotent=plan.idempotent,
        )
    )
    if plan.end is End.CANCEL:
        # The response may arrive at the moment of the timeout; it is then
        # discarded without being closed.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(plan.pause / 1000):
                await sending
        return False
    response = await sending
    assert isinstance(response, ClientResponse), response
    await asyncio.sleep(plan.pause / 1000)
    if plan.end is End.READ:
        expected = f'{target};'.encode() * plan.repeats
        assert await response.read_body(10_000_000) == expected
        return True
    if plan.end is End.HALF:
        assert (await anext(response.body)).startswith(f'/{number}/'.encode())
    await response.body.aclose()  # type: ignore[attr-defined]
    return False


async def run_plans(plans: list[Plan]) -> int:
    """Run the plans concurrently; return how many responses were read."""
    server = HttpServer(ADDRESS, repeat_target, HttpLimits(), virtual_clock())
    await server.start()
    async with open_client() as client:
        read_whole = await asyncio.gather(
            *(run_plan(client, *numbered) for numbered in enumerate(plans))
        )
    await server.stop(dt.timedelta(seconds=1))
    await asyncio.sleep(0.1)
    loop: Any = asyncio.get_running_loop()
    assert all(
        transport.is_closing() for transport in loop._transports.values()
    )
    return sum(read_whole)


@then('each HTTP caller that reads to the end gets its own answer')
def callers_get_own_answers(_: Any) -> None:
    read = run_examples(150, PLAN_LISTS, run_plans)
    assert read > 100, read


PIECES = st.one_of(
    st.binary(max_size=40),
    st.sampled_from(
        [
            b'GET /a HTTP/1.1\r\nHost: a\r\n\r\n',
            b'GET /a HTTP/1.1\r\nHost: a\r\n',
            b'POST /a HTTP/1.1\r\nHost: a\r\n',
            b'Content-Length: 5\r\n',
            b'Content-Length: 99999999999999999999\r\n',
            b'Transfer-Encoding: chunked\r\n',
            b'Expect: 100-continue\r\n',
            b'Connection: close, upgrade\r\nUpgrade: h2c\r\n',
            b'\r\n',
            b'\r\n\r\n',
            b'5\r\nhello\r\n',
            b'0\r\n\r\n',
            b'fffffffffffffff\r\n',
            b'hello',
            b'x' * 3_000,
        ]
    ),
)
#: A list of pauses in milliseconds, each with the bytes that are sent after
#: it, and whether the caller closes the connection at the end.
RANDOM_SCRIPTS = st.tuples(
    st.lists(
        st.tuples(st.sampled_from([0, 0, 1, 700, 2_500]), PIECES),
        min_size=1,
        max_size=8,
    ),
    st.booleans(),
)


async def echo(request: HttpRequest) -> HttpResponse:
    body = await request.read_body(1_000)
    return HttpResponse(status=200, body=request.target.encode() + body)


async def send_random_bytes(script: tuple[Pieces, bool]) -> int:
    """Run a broken caller's script while another caller sends requests.

    The other caller sends one request for each piece, and must be answered
    at once. Return the number of its requests.
    """
    pieces, closing = script
    notes = Notes()
    async with Play(echo, notes) as play:
        await play.run('a connects\nb connects')
        broken_caller = play.callers['a']
        for count, (pause, piece) in enumerate(pieces, start=1):
            await asyncio.sleep(pause / 1000)
            if not broken_caller.collecting.done():
                broken_caller.send(piece)
            play.callers['b'].send(b'GET /b HTTP/1.1\r\nHost: a\r\n\r\n')
            await asyncio.sleep(0.001)
            served = [note for note in notes if note.endswith('b got 200 /b')]
            assert len(served) == count, notes
        await play.run('a closes' if closing else 'wait 10000')
    assert closing or any(note.endswith('a closed') for note in notes), notes
    for note in notes:
        status = int(note.partition(' got ')[2][:3] or 200)
        assert status in {100, 200} or status >= 400, notes
    return len(pieces)


@then('random bytes close their own HTTP connection and affect no other caller')
def random_bytes_reach_no_other(_: Any) -> None:
    count = run_examples(600, RANDOM_SCRIPTS, send_random_bytes)
    assert count > 600, count
