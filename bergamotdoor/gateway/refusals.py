"""Answers that the entry makes itself."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from bergamotdoor import utils
from bergamotdoor.http.messages import Headers, HttpResponse
from bergamotdoor.platform.headers import REQUEST_ID, RETRY_AFTER
from bergamotdoor.verdict import Verdict

#: After a refusal for lack of an upstream: a rest of a refusing upstream.
RETRY_AFTER_S: Final = 0.3
#: When to hand a job in again: trainers come again once or twice, outages
#: last for seconds, and a step is due some seconds after it can be run. They
#: are spread, so that a store that is back gets not all of them at once.
_JOB_RETRY_S: Final = 2
_SPREAD_MS: Final = 1000
_MS_PER_S: Final = 1000


def job_retry_s(job: str) -> float:
    """Return when a job may come again that needs the store."""
    spread_ms = utils.hrw_weight(job, 'retry') % _SPREAD_MS
    return _JOB_RETRY_S + spread_ms / _MS_PER_S


def refusal(
    verdict: Verdict,
    detail: str,
    request_id: str = '',
    retry_after_s: float = RETRY_AFTER_S,
) -> HttpResponse:
    """Tell that there is no answer.

    503 promises that the request did not run and never will; 504 promises
    nothing.
    """
    if verdict is Verdict.NOT_RUN:
        return plain(
            HTTPStatus.SERVICE_UNAVAILABLE, detail, request_id, retry_after_s
        )
    return plain(HTTPStatus.GATEWAY_TIMEOUT, detail, request_id)


def readiness(ready: bool) -> HttpResponse:
    """Tell the balancer whether to send callers here."""
    if ready:
        return plain(HTTPStatus.OK, 'ready')
    return plain(HTTPStatus.SERVICE_UNAVAILABLE, 'not ready')


def plain(
    status: HTTPStatus,
    detail: str,
    request_id: str = '',
    retry_after_s: float | None = None,
) -> HttpResponse:
    """Return a short text."""
    fields = [('content-type', 'text/plain')]
    if request_id:
        fields.append((REQUEST_ID, request_id))
    if retry_after_s is not None:
        fields.append((RETRY_AFTER, str(retry_after_s)))
    return HttpResponse(
        status=int(status),
        headers=Headers.of(fields),
        body=detail.encode(errors='replace'),
    )
