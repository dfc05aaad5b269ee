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
    """How the receiver responds to reports."""

    UP = 'up'
    #: Rejects reports with 503.
    BUSY = 'busy'
    #: Rejects reports because of their rate, with 429.
    LIMITED = 'limited'
    #: Accepts reports, which count, and never responds.
    SILENT = 'silent'
    #: Accepts reports and breaks their connections.
    LOSING = 'losing'


class Received(NamedTuple):
    """A report that arrived."""

    holder: str
    token: int
    window: int
    counts: dict[str, int]
    #: The time of its arrival on the event loop's clock.
    at_s: float


class Receiver:
    """A receiver that records reports and finds broken promises."""

    def __init__(self, address: Address, clock: Clock) -> None:
        self.address = address
        self.mode = ReceiverMode.UP
        #: All reports that arrived, rejected or not.
        self.came: list[Received] = []
        #: The reports that were accepted and so count.
        self.taken: list[Received] = []
        self._server = HttpServer(
            address, self.handle, LIMITS, clock, 'receiver'
        )

    async def start(self) -> None:
        """Start the server."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server and end all calls."""
        await self._server.stop(dt.timedelta())

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one report as the mode says."""
        body = await request.read_body(_MAX_BODY_BYTES)
        report = _parse_report(request.headers, json.loads(body))
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
        """Return the accepted counts of each window."""
        return {report.window: report.counts for report in self.taken}

    def broken(self, lease_s: float) -> list[str]:
        """Return descriptions of the broken promises about the holder."""
        return broken_promises(self.came, self.taken, lease_s)


def duties_for(receiver: Receiver | None) -> DutySettings | None:
    """Return the duty settings of a process, ``None`` without a receiver."""
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
    """Return descriptions of the broken promises about the holder.

    One holder at a time reports. Reports of one window have the same counts,
    and tokens never decrease and belong to one holder each.

    Parameters
    ----------
    came
        All reports that arrived, rejected or not, in the order of arrival.
    taken
        The reports that were accepted.
    lease_s
        The lease in seconds, within which holders must not alternate.
    """
    return [
        *_find_contradictions(taken),
        *_find_token_errors(came),
        *_find_alternations(came, lease_s),
    ]


def _parse_report(headers: Headers, body: dict[str, Any]) -> Received:
    return Received(
        headers.first('x-bergamotdoor-duty-holder'),
        int(headers.first('x-bergamotdoor-fence-token')),
        body['window'],
        body['counts'],
        asyncio.get_running_loop().time(),
    )


def _find_contradictions(taken: list[Received]) -> list[str]:
    first: dict[int, Received] = {}
    broken = []
    for report in taken:
        known = first.setdefault(report.window, report)
        if known.counts != report.counts:
            broken.append(f'two reports of one window: {known}, {report}')
    return broken


def _find_token_errors(came: list[Received]) -> list[str]:
    highest = 0
    holders: dict[int, str] = {}
    broken = []
    for report in came:
        if report.token < highest:
            broken.append(f'a token below {highest}: {report}')
        if holders.setdefault(report.token, report.holder) != report.holder:
            first = holders[report.token]
            broken.append(f'a token of {first}: {report}')
        highest = max(highest, report.token)
    return broken


def _find_alternations(came: list[Received], lease_s: float) -> list[str]:
    """Return where a holder reported, then another one, then the first."""
    broken = []
    for number, last in enumerate(came):
        recent = [
            report
            for report in came[:number]
            if last.at_s - report.at_s < lease_s
        ]
        holders = [report.holder for report in recent]
        if last.holder in holders:
            between = holders[holders.index(last.holder) :]
            if set(between) != {last.holder}:
                broken.append(f'turns: {between}, {last}')
    return broken
