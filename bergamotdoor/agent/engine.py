"""Calls to the engine on this VM."""

from __future__ import annotations

import datetime as dt
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    ClientRequest,
    ClientResponse,
    Headers,
)
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.engines import order_body, parse_report
from bergamotdoor.stored import UnreadableError

if TYPE_CHECKING:
    from bergamotdoor.fleet.orders import EngineReport, LoadOrder
    from bergamotdoor.http.messages import Client
    from bergamotdoor.settings.document import Address

#: The engine is on this VM and answers in a millisecond.
_CALL_TIMEOUT: Final = dt.timedelta(seconds=1)
_MAX_BYTES: Final = 1_048_576
_JSON: Final = ('content-type', 'application/json')

_log = logging.getLogger('bergamotdoor.agent')


class _Answer(msgspec.Struct, frozen=True):
    status: int
    body: bytes


class EngineClient:
    """Reads the engine's report and gives it orders."""

    def __init__(self, client: Client, address: Address) -> None:
        self.address = address
        self._client = client

    async def report(self) -> EngineReport | None:
        """Return the engine's state; None if it does not tell."""
        answer = await self._call('GET', names.REPORT_PATH, b'')
        if answer is None or answer.status != HTTPStatus.OK:
            return None
        try:
            return parse_report(answer.body)
        except UnreadableError as error:
            _log.error('agent: report not understood: %s', error)
            return None

    async def give(self, order: LoadOrder) -> int | None:
        """Give an order; return the status, None if no answer came."""
        answer = await self._call('POST', names.ORDER_PATH, order_body(order))
        return None if answer is None else answer.status

    async def _call(
        self, method: str, path: str, body: bytes
    ) -> _Answer | None:
        response = await self._client.send(
            ClientRequest(
                address=self.address,
                method=method,
                target=path,
                headers=Headers.of([_JSON]),
                body=body,
                timeout=_CALL_TIMEOUT,
                close_ends_body=True,
            )
        )
        if not isinstance(response, ClientResponse):
            _log.warning('agent: %s %s: %s', method, path, response.detail)
            return None
        try:
            whole = await response.read_body(_MAX_BYTES)
        except (BodyBrokenError, BodyTooLargeError) as error:
            _log.warning('agent: %s %s: %s', method, path, error)
            return None
        return _Answer(response.status, whole)
