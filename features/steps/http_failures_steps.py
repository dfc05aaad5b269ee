"""Steps for bergamotdoor.http.failures."""

from __future__ import annotations

import itertools
from typing import Any

import msgspec
from behave import given, then

from bergamotdoor.http.failures import (
    RETRY_AFTER_MS_HEADER,
    VERDICT_HEADER,
    FailureBody,
    failure_response,
)
from bergamotdoor.verdict import Failure, Reason, Verdict


@given('an HTTP failure {reason} with the verdict {verdict}')
def failure_with_verdict(context: Any, reason: str, verdict: str) -> None:
    context.failure = Failure(Verdict(verdict), Reason(reason), 'why')


@then('its HTTP status is {status:d}')
def status_is(context: Any, status: int) -> None:
    failure = context.failure
    response = failure_response(failure)
    assert response.status == status, response.status
    assert response.headers.first(VERDICT_HEADER) == failure.verdict.value
    assert isinstance(response.body, bytes)
    body = msgspec.json.decode(response.body, type=FailureBody)
    assert body == FailureBody(failure.reason.value, 'why')
    assert failure_response(failure, 412).status == 412


@then('no HTTP failure has the status 503 unless its verdict is not-run')
def only_not_run_is_unavailable(_: Any) -> None:
    for verdict, reason in itertools.product(Verdict, Reason):
        status = failure_response(Failure(verdict, reason)).status
        assert verdict is Verdict.NOT_RUN or status != 503, reason


@given('an HTTP failure to be retried after {retry_after_ms:d} ms')
def failure_with_retry_delay(context: Any, retry_after_ms: int) -> None:
    context.failure = Failure(
        Verdict.NOT_RUN, Reason.OVERLOADED, '', retry_after_ms
    )


@then('its HTTP headers give the delay as {seconds} s and as {delay_ms} ms')
def retry_headers(context: Any, seconds: str, delay_ms: str) -> None:
    headers = failure_response(context.failure).headers
    assert headers.first('retry-after') == seconds
    assert headers.first(RETRY_AFTER_MS_HEADER) == delay_ms
