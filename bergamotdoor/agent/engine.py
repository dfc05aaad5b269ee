"""Sends requests to the engine on this VM."""

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

#: The engine is on the same VM and responds within a millisecond.
_REQUEST_TIMEOUT: Final = dt.timedelta(seconds=1)
_MAX_RESPONSE_BYTES: Final = 1_048_576
_JSON_CONTENT_TYPE: Final = ('content-type', 'application/json')

_log = logging.getLogger('bergamotdoor.agent')


class _Response(msgspec.Struct, frozen=True):
    """Status and complete body of a response."""

    status: int
    body: bytes


class EngineClient:
    """HTTP client of one engine: reads its report and sends it orders.

    Parameters
    ----------
    client
        The HTTP client that sends the requests.
    address
        The address of the engine.
    """

    def __init__(self, client: Client, address: Address) -> None:
        self.address = address
        self._client = client

    async def report(self) -> EngineReport | None:
        """Return the engine's state; ``None`` if it can't be read."""
        response = await self._request('GET', names.REPORT_PATH, b'')
        if response is None or response.status != HTTPStatus.OK:
            return None
        try:
            return parse_report(response.body)
        except UnreadableError as error:
            _log.error('agent: the engine report is unreadable: %s', error)
            return None

    async def give(self, order: LoadOrder) -> int | None:
        """Send an order to load weights.

        Returns
        -------
        int or None
            The HTTP status of the response; ``None`` if there was none.
        """
        response = await self._request(
            'POST', names.ORDER_PATH, order_body(order)
        )
        return None if response is None else response.status

    async def _request(
        self, method: str, path: str, body: bytes
    ) -> _Response | None:
        response = await self._client.send(
            ClientRequest(
                address=self.address,
                method=method,
                target=path,
                headers=Headers.of([_JSON_CONTENT_TYPE]),
                body=body,
                timeout=_REQUEST_TIMEOUT,
                total_timeout=_REQUEST_TIMEOUT * 2,
                close_ends_body=True,
            )
        )
        if not isinstance(response, ClientResponse):
            _log.warning('agent: %s %s: %s', method, path, response.detail)
            return None
        try:
            response_body = await response.read_body(_MAX_RESPONSE_BYTES)
        except (BodyBrokenError, BodyTooLargeError) as error:
            _log.warning('agent: %s %s: %s', method, path, error)
            return None
        return _Response(response.status, response_body)
