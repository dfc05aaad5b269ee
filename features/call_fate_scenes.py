"""Calls to upstreams of which each treats each request in a random way."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from bergamotdoor.http.messages import Headers, HttpRequest, HttpResponse
from lab.site import Site, play
from lab.site_routes import plain_route
from lab.store import cut_off, reset_connection

if TYPE_CHECKING:
    from lab.upstreams import Upstream

KINDS: Final = ('unsafe', 'safe', 'stream')
#: What an upstream may do with a request, from frequent to rare.
FATES: Final = (
    *('run', 'run', 'run', 'run slowly', 'refused', 'refused', 'replaced'),
    *('reset', 'run and reset', 'run and cut', 'run, unanswered'),
    *('run late', 'run and fail', 'run, a late refusal sent'),
)
#: Statuses that promise that a request has not run.
REFUSALS: Final = frozenset((408, 421, 429, 503))
_CALLS: Final = 40
_CALLS_TAKE_S: Final = 3
_PREFIX: Final = 'x-bergamotdoor-'
_NOT_EXECUTED: Final = (f'{_PREFIX}not-executed', '1')


class CallEnd(NamedTuple):
    """What a caller is told, and how often the call has run in the end."""

    call: str
    status: int | None
    runs: int


class RandomFates:
    """Handles the requests at all upstreams of a site, each by its fate."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        #: How often each call has run.
        self.runs: Counter[str] = Counter()

    async def handle(
        self, upstream: Upstream, request: HttpRequest
    ) -> HttpResponse:
        fate = self._rng.choice(FATES)
        request_id = request.headers.first(f'{_PREFIX}request-id')
        await request.read_body(1000)
        if fate == 'refused':
            status = self._rng.choice((429, 503))
            return _response(status, request_id, _NOT_EXECUTED)
        if fate == 'replaced':
            return _response(421, request_id)
        if fate == 'run late':
            asyncio.get_running_loop().call_later(
                self._rng.uniform(0.1, 3), self.runs.update, (request_id,)
            )
        elif fate != 'reset':
            self.runs[request_id] += 1
        if fate in {'run late', 'run, unanswered'}:
            await asyncio.Event().wait()
        if fate in {'reset', 'run and reset'}:
            await reset_connection()
        await asyncio.sleep(
            self._rng.uniform(0.1, 1.5) if fate == 'run slowly' else 0.05
        )
        return _answer(upstream, request, fate)


def _answer(
    upstream: Upstream, request: HttpRequest, fate: str
) -> HttpResponse:
    request_id = request.headers.first(f'{_PREFIX}request-id')
    if fate == 'run and cut':
        return cut_off()
    if fate == 'run and fail':
        return _response(HTTPStatus.INTERNAL_SERVER_ERROR, request_id)
    # Only a kept connection can have a response to another request, and only
    # safe calls are sent on one.
    if fate == 'run, a late refusal sent' and 'safe-' in request.target:
        return _response(503, 'another', _NOT_EXECUTED)
    proof = (f'{_PREFIX}server-stamp', upstream.stamp(request_id))
    return _response(HTTPStatus.OK, request_id, proof)


def _response(
    status: int, request_id: str, *fields: tuple[str, str]
) -> HttpResponse:
    own = (f'{_PREFIX}request-id', request_id)
    return HttpResponse(status=int(status), headers=Headers.of([own, *fields]))


def play_calls(seed: int) -> list[CallEnd]:
    """Send calls of each kind at random times, while the entry may stop."""
    rng = random.Random(seed)
    fates = RandomFates(rng)
    statuses: dict[str, int | None] = {}

    async def send_one(site: Site, number: int) -> None:
        kind = rng.choice(KINDS)
        call = f'{kind}-{number}'
        await asyncio.sleep(rng.uniform(0, _CALLS_TAKE_S))
        reply = await site.ask(
            'entry-0',
            'POST',
            f'/{kind}/{call}',
            b'x',
            Request_Id=call,
            Deadline_Ms=str(rng.choice((300, 1000, 4000))),
        )
        statuses[call] = None if reply is None else reply.status

    async def scene(site: Site) -> None:
        site.routes.extend(plain_route(f'/{kind}/', kind, 2) for kind in KINDS)
        await site.start(engines=0, services=3, entries=1)
        for upstream in site.services.values():
            _use_fates(upstream, fates)
        sending = asyncio.gather(
            *(send_one(site, number) for number in range(_CALLS))
        )
        if rng.choice((True, False)):
            await asyncio.sleep(rng.uniform(0, _CALLS_TAKE_S))
            await site.entries.pop('entry-0').stop()
        await sending
        await asyncio.sleep(_CALLS_TAKE_S)

    play(scene)
    return [
        CallEnd(call, status, fates.runs[call])
        for call, status in statuses.items()
    ]


def _use_fates(upstream: Upstream, fates: RandomFates) -> None:
    async def handle(request: HttpRequest) -> Any:
        return await fates.handle(upstream, request)

    upstream._server._handler = handle
