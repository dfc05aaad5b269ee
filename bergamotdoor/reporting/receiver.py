"""Sends reports to the platform's receiver."""

from __future__ import annotations

import enum
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    ClientRequest,
    ClientResponse,
    Headers,
)
from bergamotdoor.http.sending import send
from bergamotdoor.platform.duties import usage_body
from bergamotdoor.platform.headers import (
    DUTY_HOLDER,
    FENCING_TOKEN,
    USAGE_PATH,
)

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.duties.tenure import DutyRecord
    from bergamotdoor.duties.usage import UsageReport
    from bergamotdoor.http.messages import Client
    from bergamotdoor.settings.document import Address

_MOST_BYTES: Final = 65_536

_log = logging.getLogger('bergamotdoor.reporting')


class Receipt(enum.Enum):
    """What the receiver made of a report."""

    TAKEN = 'taken'
    #: It refuses this report for good.
    REJECTED = 'rejected'
    #: It may be sent again, and may have been taken.
    OPEN = 'open'


class Receiver:
    """Sends reports; none is repeated here."""

    def __init__(self, client: Client, address: Address) -> None:
        self._client = client
        self._address = address

    async def send(
        self, record: DutyRecord, report: UsageReport, timeout: dt.timedelta
    ) -> Receipt:
        """Send a report as the holder that a record names."""
        headers = (
            ('content-type', 'application/json'),
            (DUTY_HOLDER, record.holder),
            (FENCING_TOKEN, str(record.token)),
        )
        request = ClientRequest(
            address=self._address,
            method='POST',
            target=USAGE_PATH,
            headers=Headers.of(headers),
            body=usage_body(report),
            timeout=timeout,
            # One that went silent would hold the report beyond its time.
            idempotent=False,
        )
        response = await send(self._client, request)
        if not isinstance(response, ClientResponse):
            _log.warning(
                'reporting: window %d: %s', report.window, response.detail
            )
            return Receipt.OPEN
        try:
            await response.read_body(_MOST_BYTES)
        except (BodyBrokenError, BodyTooLargeError) as error:
            _log.warning('reporting: window %d: %r', report.window, error)
            return Receipt.OPEN
        receipt = _receipt(response.status)
        _log.info(
            'reporting: window %d, %d requests, token %d: status %d',
            report.window,
            sum(report.counts.values()),
            record.token,
            response.status,
        )
        return receipt


def _receipt(status: int) -> Receipt:
    if status < HTTPStatus.MULTIPLE_CHOICES:
        return Receipt.TAKEN
    again = status == HTTPStatus.TOO_MANY_REQUESTS
    if again or status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Receipt.OPEN
    return Receipt.REJECTED
