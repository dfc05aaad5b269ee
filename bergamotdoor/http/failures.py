"""Responses that bergamotdoor itself makes, with their verdict.

Each reason has one status, so that callers can act on either:

==============  ======
reasons         status
==============  ======
bad-request     400
body-too-large  413
unsettled       502
deadline        504
overloaded      503
==============  ======

A generic HTTP client takes 503 as leave to repeat the request. So 503 goes
out with the verdict ``not-run`` only; with any other verdict it turns into
502.
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
_JSON: Final = ('content-type', 'application/json')

_STATUSES: Final = types.MappingProxyType(
    {
        Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
        Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        Reason.UNSETTLED: HTTPStatus.BAD_GATEWAY,
        Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    }
)


class FailureBody(msgspec.Struct, frozen=True):
    """The JSON body of a failure."""

    reason: str
    detail: str


def json_response(status: int, value: object) -> HttpResponse:
    """Return `value` as JSON; whatever msgspec can encode will do."""
    return HttpResponse(
        status=status,
        headers=Headers.of([_JSON]),
        body=msgspec.json.encode(value),
    )


def failure_status(failure: Failure) -> int:
    """Return the status of a failure by the module's table."""
    status = _STATUSES.get(failure.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    repeatable = failure.verdict is Verdict.NOT_RUN
    if status is HTTPStatus.SERVICE_UNAVAILABLE and not repeatable:
        status = HTTPStatus.BAD_GATEWAY
    return int(status)


def failure_response(
    failure: Failure, status: int | None = None
) -> HttpResponse:
    """Return the response that tells a caller of a failure.

    Parameters
    ----------
    failure
        What went wrong. ``retry_after_ms`` becomes ``retry-after`` in
        whole seconds, rounded up, and ``bergamotdoor-retry-after-ms``.
    status
        Overrides the module's table.
    """
    response = json_response(
        status or failure_status(failure),
        FailureBody(failure.reason.value, failure.detail),
    )
    response.headers = response.headers.plus(*_extra_fields(failure))
    return response


def _extra_fields(failure: Failure) -> list[tuple[str, str]]:
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
