"""A model of the platform's receiver of usage reports."""

from __future__ import annotations

import asyncio
import datetime as dt
import enum
import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple

from bergamotdoor.http.messages import Headers, HttpRequest, HttpResponse
from bergamotdoor.http.server import HttpServer
from bergamotdoor.settings.node import DutySettings
from lab.store import LIMITS, cut_off

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.settings.document import Address

_MAX_BODY_BYTES = 1_000_000


class ReceiverMode(enum.Enum):
    """How the receiver takes reports."""

    UP = 'up'
    #: Refuses with 503.
    BUSY = 'busy'
    #: Refuses for its rate.
    LIMITED = 'limited'
    #: Takes calls and never answers; what it took counts.
    SILENT = 'silent'
    #: Takes reports and breaks its connection.
    LOSING = 'losing'


class Received(NamedTuple):
    """A report that came."""

    holder: str
    token: int
    window: int
    counts: dict[str, int]
    #: When, in the event loop's time.
    at_s: float


class Receiver:
    """Takes reports, and tells which promises were broken."""

    def __init__(self, address: Address, clock: Clock) -> None:
        self.address = address
        self.mode = ReceiverMode.UP
        #: All that came, refused or not.
        self.came: list[Received] = []
        #: What counts.
        self.taken: list[Received] = []
        self._server = HttpServer(
            address, self.handle, LIMITS, clock, 'receiver'
        )

    async def start(self) -> None:
        """Serve."""
        await self._server.start()

    async def stop(self) -> None:
        """End all calls."""
        await self._server.stop(dt.timedelta())

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Take one report, as the mode says."""
        body = await request.read_body(_MAX_BODY_BYTES)
        report = _received(request.headers, json.loads(body))
        self.came.append(report)
        if self.mode is ReceiverMode.BUSY:
            return HttpResponse(status=int(HTTPStatus.SERVICE_UNAVAILABLE))
        if self.mode is ReceiverMode.LIMITED:
            return HttpResponse(status=int(HTTPStatus.TOO_MANY_REQUESTS))
        self.taken.append(report)
        if self.mode is ReceiverMode.SILENT:
            await asyncio.Event().wait()
        if self.mode is ReceiverMode.LOSING:
            return cut_off()
        return HttpResponse(status=int(HTTPStatus.OK))

    def reports(self) -> dict[int, dict[str, int]]:
        """Return what was reported for each window."""
        return {one.window: one.counts for one in self.taken}

    def broken(self, lease_s: float) -> list[str]:
        """Return the promises of one holder that were broken."""
        return broken_promises(self.came, self.taken, lease_s)


def duties_for(receiver: Receiver | None) -> DutySettings | None:
    """Return what a process is told of duties; none without a receiver."""
    if receiver is None:
        return None
    return DutySettings(
        receiver=receiver.address,
        lease=dt.timedelta(seconds=3),
        usage_window=dt.timedelta(seconds=5),
        usage_due=dt.timedelta(seconds=10),
    )


def broken_promises(
    came: list[Received], taken: list[Received], lease_s: float
) -> list[str]:
    """Return the promises of one holder that were broken.

    Parameters
    ----------
    came
        All reports that came, refused or not.
    taken
        Those that count.
    lease_s
        Two holders must not take turns within this.
    """
    return [*_contradictions(taken), *_tokens(came), *_turns(came, lease_s)]


def _received(headers: Headers, body: dict[str, Any]) -> Received:
    return Received(
        headers.first('x-bergamotdoor-duty-holder'),
        int(headers.first('x-bergamotdoor-fence-token')),
        body['window'],
        body['counts'],
        asyncio.get_running_loop().time(),
    )


def _contradictions(taken: list[Received]) -> list[str]:
    first: dict[int, Received] = {}
    broken = []
    for one in taken:
        known = first.setdefault(one.window, one)
        if known.counts != one.counts:
            broken.append(f'two reports of one window: {known}, {one}')
    return broken


def _tokens(came: list[Received]) -> list[str]:
    highest = 0
    holders: dict[int, str] = {}
    broken = []
    for one in came:
        if one.token < highest:
            broken.append(f'a token below {highest}: {one}')
        if holders.setdefault(one.token, one.holder) != one.holder:
            first = holders[one.token]
            broken.append(f'a token of {first}: {one}')
        highest = max(highest, one.token)
    return broken


def _turns(came: list[Received], lease_s: float) -> list[str]:
    """Return where one holder acted, another one, and the first again."""
    broken = []
    for number, last in enumerate(came):
        lately = [
            one for one in came[:number] if last.at_s - one.at_s < lease_s
        ]
        holders = [one.holder for one in lately]
        if last.holder in holders:
            between = holders[holders.index(last.holder) :]
            if set(between) != {last.holder}:
                broken.append(f'turns: {between}, {last}')
    return broken
