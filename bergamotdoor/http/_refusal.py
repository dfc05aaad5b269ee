"""Errors and responses for requests that the server itself refuses."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.http.failures import failure_response
from bergamotdoor.http.messages import BodyBrokenError, BodyTooLargeError
from bergamotdoor.verdict import Failure, Reason, Verdict

if TYPE_CHECKING:
    from bergamotdoor.http.messages import HttpResponse

_OVERLOAD_RETRY_AFTER_MS: Final = 1000


class RefusedError(Exception):
    """The server refused the request before the handler was called.

    Parameters
    ----------
    status
        Status of the response.
    detail
        Message that names the offending value and the expected one.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class RequestTooLargeError(BodyTooLargeError):
    """The body of the caller's request is larger than the handler allows."""


class RequestBrokenError(BodyBrokenError):
    """The body of the caller's request was incomplete, malformed or too slow.

    Parameters
    ----------
    status
        Status of the response, if the handler doesn't catch the error.
    detail
        Message that names the fault.
    verdict
        ``NOT_RUN`` if the handler waited for the complete body, and
        therefore could not act on it.
    """

    def __init__(
        self,
        status: int,
        detail: str,
        verdict: Verdict = Verdict.MAY_HAVE_RUN,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.verdict = verdict


def refusal(status: int, detail: str, verdict: Verdict) -> HttpResponse:
    """Return the response to a request that violates HTTP or a limit.

    Parameters
    ----------
    status
        Status of the response. 408 gives the reason ``deadline``, any other
        status ``bad-request``. As 408 says that the request did not run, it
        is replaced by 504 if the request may have run.
    detail
        Message that names the fault.
    verdict
        Whether the request may have run.
    """
    if status != HTTPStatus.REQUEST_TIMEOUT:
        return failure_response(
            Failure(verdict, Reason.BAD_REQUEST, detail), status
        )
    failure = Failure(verdict, Reason.DEADLINE, detail)
    return failure_response(
        failure, status if verdict is Verdict.NOT_RUN else None
    )


def full(detail: str) -> HttpResponse:
    """Return the 503 response for a connection above the limit.

    Parameters
    ----------
    detail
        Message that names the limit.
    """
    return failure_response(
        Failure(
            Verdict.NOT_RUN, Reason.OVERLOADED, detail, _OVERLOAD_RETRY_AFTER_MS
        )
    )


def response_to(error: BaseException) -> HttpResponse:
    """Return the response to a request whose handler raised `error`.

    It is unknown how far the handler got, so the request may have run. It
    did not run if the handler failed because it could not read the complete
    body.
    """
    if isinstance(error, RequestBrokenError):
        return refusal(error.status, str(error), error.verdict)
    if isinstance(error, RequestTooLargeError):
        return failure_response(
            Failure(Verdict.NOT_RUN, Reason.BODY_TOO_LARGE, str(error))
        )
    return failure_response(
        Failure(Verdict.MAY_HAVE_RUN, Reason.UNSETTLED, 'the handler failed'),
        HTTPStatus.INTERNAL_SERVER_ERROR,
    )
