"""Failure responses that bergamotdoor itself produces, with a verdict.

Each reason has one status, so that callers can use either of them:

==============  ======
reasons         status
==============  ======
bad-request     400
body-too-large  413
unsettled       502
deadline        504
overloaded      503
==============  ======

A generic HTTP client treats 503 as permission to retry the request. A 503 is
therefore sent only with the verdict ``not-run``; with any other verdict the
status is 502.
"""

from __future__ import annotations

import types
from http import HTTPStatus
from typing import Final

import msgspec

from bergamotdoor.http.messages import Headers, HttpResponse
from bergamotdoor.verdict import Failure, Reason, Verdict

VERDICT_HEADER: Final = 'bergamotdoor-verdict'
RETRY_AFTER_MS_HEADER: Final = 'bergamotdoor-retry-after-ms'

_MS_PER_SECOND: Final = 1000
_JSON_CONTENT_TYPE: Final = ('content-type', 'application/json')

_STATUS_BY_REASON: Final = types.MappingProxyType(
    {
        Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
        Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        Reason.UNSETTLED: HTTPStatus.BAD_GATEWAY,
        Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    }
)


class FailureBody(msgspec.Struct, frozen=True):
    """JSON body of a failure response."""

    reason: str
    detail: str


def json_response(status: int, value: object) -> HttpResponse:
    """Return a response whose body is `value` as JSON.

    Parameters
    ----------
    status
        Status of the response.
    value
        Any value that msgspec can encode.
    """
    return HttpResponse(
        status=status,
        headers=Headers.of([_JSON_CONTENT_TYPE]),
        body=msgspec.json.encode(value),
    )


def failure_status(failure: Failure) -> int:
    """Return the status for a failure, according to the module's table."""
    status = _STATUS_BY_REASON.get(
        failure.reason, HTTPStatus.SERVICE_UNAVAILABLE
    )
    may_repeat = failure.verdict is Verdict.NOT_RUN
    if status is HTTPStatus.SERVICE_UNAVAILABLE and not may_repeat:
        status = HTTPStatus.BAD_GATEWAY
    return int(status)


def failure_response(
    failure: Failure, status: int | None = None
) -> HttpResponse:
    """Return the response that reports a failure to a caller.

    Parameters
    ----------
    failure
        Failure to report. Its ``retry_after_ms`` is sent twice: as
        ``retry-after`` in whole seconds, rounded up, and unchanged as
        ``bergamotdoor-retry-after-ms``.
    status
        Status of the response; ``None`` selects it by the module's table.
    """
    response = json_response(
        status or failure_status(failure),
        FailureBody(failure.reason.value, failure.detail),
    )
    response.headers = response.headers.plus(*_failure_headers(failure))
    return response


def _failure_headers(failure: Failure) -> list[tuple[str, str]]:
    fields = [(VERDICT_HEADER, failure.verdict.value)]
    if failure.retry_after_ms is not None:
        seconds = -(-failure.retry_after_ms // _MS_PER_SECOND)
        fields.extend(
            (
                ('retry-after', str(seconds)),
                (RETRY_AFTER_MS_HEADER, str(failure.retry_after_ms)),
            )
        )
    return fields
