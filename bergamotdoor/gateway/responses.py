"""Responses that the entry itself makes."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from bergamotdoor import utils
from bergamotdoor.http.messages import Headers, HttpResponse
from bergamotdoor.platform.headers import REQUEST_ID, RETRY_AFTER
from bergamotdoor.verdict import Verdict

#: Retry delay after a refusal because no upstream is available: as long as
#: an upstream that has refused a request gets no further one.
RETRY_AFTER_S: Final = 0.3
#: Shortest retry delay of a refused job. Trainers retry once or twice,
#: outages last for seconds, and a step is due some seconds after it can run.
_JOB_RETRY_S: Final = 2
#: The retries of jobs are spread over this time, so that a store that has
#: recovered does not get all of them at once.
_JOB_RETRY_SPREAD_MS: Final = 1000
_MS_PER_S: Final = 1000


def job_retry_s(job: str) -> float:
    """Return the retry delay of a job that the store has not taken.

    Parameters
    ----------
    job
        The id of the job, from which its share of the spread is derived.

    Returns
    -------
    float
        The delay in seconds.
    """
    spread_ms = utils.hrw_weight(job, 'retry') % _JOB_RETRY_SPREAD_MS
    return _JOB_RETRY_S + spread_ms / _MS_PER_S


def refusal_response(
    verdict: Verdict,
    detail: str,
    request_id: str = '',
    retry_after_s: float = RETRY_AFTER_S,
) -> HttpResponse:
    """Return the response to a request that no upstream has answered.

    Parameters
    ----------
    verdict
        Whether the request may have run. The status is 503 if it did not
        and never will, and 504, which promises nothing, otherwise.
    detail
        One sentence for a person: why there is no response.
    request_id
        The id of the request; empty if it has none.
    retry_after_s
        The retry delay in seconds, sent with 503 only.
    """
    if verdict is Verdict.NOT_RUN:
        return text_response(
            HTTPStatus.SERVICE_UNAVAILABLE, detail, request_id, retry_after_s
        )
    return text_response(HTTPStatus.GATEWAY_TIMEOUT, detail, request_id)


def readiness_response(ready: bool) -> HttpResponse:
    """Return the response to a readiness probe of the balancer.

    Parameters
    ----------
    ready
        Whether the balancer may send callers to this entry.
    """
    if ready:
        return text_response(HTTPStatus.OK, 'ready')
    return text_response(HTTPStatus.SERVICE_UNAVAILABLE, 'not ready')


def text_response(
    status: HTTPStatus,
    detail: str,
    request_id: str = '',
    retry_after_s: float | None = None,
) -> HttpResponse:
    """Return a response with a short text as its body.

    Parameters
    ----------
    status
        The status code.
    detail
        The text.
    request_id
        The id of the request; empty if it has none.
    retry_after_s
        The retry delay in seconds; ``None`` if the response has none.
    """
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
