"""Client of the platform's receiver of usage reports."""

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

    from bergamotdoor.duties.lease import DutyRecord
    from bergamotdoor.duties.usage import UsageReport
    from bergamotdoor.http.messages import Client
    from bergamotdoor.settings.document import Address

_MAX_RESPONSE_BYTES: Final = 65_536

_log = logging.getLogger('bergamotdoor.reporting')


class Receipt(enum.Enum):
    """How the receiver handled a report."""

    #: The receiver accepted the report.
    TAKEN = 'taken'
    #: The receiver rejected the report permanently.
    REJECTED = 'rejected'
    #: The receiver may have accepted the report, which may be sent again.
    OPEN = 'open'


class Receiver:
    """Client that sends reports to the receiver, without retries.

    Parameters
    ----------
    client
        HTTP client that carries the requests.
    address
        Address of the receiver.
    """

    def __init__(self, client: Client, address: Address) -> None:
        self._client = client
        self._address = address

    async def send(
        self, record: DutyRecord, report: UsageReport, timeout: dt.timedelta
    ) -> Receipt:
        """Send a report in the name of the duty's holder.

        Parameters
        ----------
        record
            Record of the duty; the request carries its holder and token.
        report
            The report.
        timeout
            Time limit for the request.
        """
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
            total_timeout=timeout * 2,
            # An idle connection that has died silently would hold the report
            # back until after the time for which the holder may act.
            idempotent=False,
        )
        response = await send(self._client, request)
        if not isinstance(response, ClientResponse):
            _log.warning(
                'reporting: window %d: %s', report.window, response.detail
            )
            return Receipt.OPEN
        try:
            await response.read_body(_MAX_RESPONSE_BYTES)
        except (BodyBrokenError, BodyTooLargeError) as error:
            _log.warning('reporting: window %d: %r', report.window, error)
            return Receipt.OPEN
        receipt = _receipt_for_status(response.status)
        _log.info(
            'reporting: window %d, %d requests, token %d: status %d',
            report.window,
            sum(report.counts.values()),
            record.token,
            response.status,
        )
        return receipt


def _receipt_for_status(status: int) -> Receipt:
    if status < HTTPStatus.MULTIPLE_CHOICES:
        return Receipt.TAKEN
    is_limited = status == HTTPStatus.TOO_MANY_REQUESTS
    if is_limited or status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Receipt.OPEN
    return Receipt.REJECTED
