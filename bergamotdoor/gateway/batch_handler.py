"""The interface for trainers: batch jobs, their results and item bodies."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final
from urllib.parse import parse_qs, unquote

from bergamotdoor import utils
from bergamotdoor.gateway.credentials import assign_job_account
from bergamotdoor.gateway.responses import (
    job_retry_s,
    refusal_response,
    text_response,
)
from bergamotdoor.http.messages import Headers, HttpResponse
from bergamotdoor.observe import subjects
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.batch_wire import parse_job, results_body
from bergamotdoor.stored import Outcome
from bergamotdoor.types import AccountId, ItemId, JobId
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.calls.manifest import Manifest
    from bergamotdoor.gateway.admission import Admission
    from bergamotdoor.http.messages import HttpRequest
    from bergamotdoor.steps.job_reads import JobReadService
    from bergamotdoor.steps.job_submission import JobSubmissionService

#: The longest time that a read waits for a result, whatever it asks for.
_MAX_READ_WAIT_MS: Final = 1000
#: Retry delay of requests about a job while the store can't be reached.
#: Outages last for seconds, and a step has a few seconds to spare.
_STORE_RETRY_S: Final = 0.5
_JOB_PATH_PREFIXES: Final = (names.RESULTS_PATH, names.BODY_PATH)
_JSON_CONTENT_TYPE: Final = ('content-type', 'application/json')

_log = logging.getLogger('bergamotdoor.gateway')


class BatchHandler:
    """Handler of the requests of trainers.

    Parameters
    ----------
    submission_service
        Stores submitted jobs and ends jobs.
    read_service
        Reads results and item bodies, whichever entry owns the job.
    admission
        Decides which client account sends a request.
    """

    def __init__(
        self,
        submission_service: JobSubmissionService,
        read_service: JobReadService,
        admission: Admission,
    ) -> None:
        self._submission_service = submission_service
        self._read_service = read_service
        self._admission = admission

    async def handle(
        self, request: HttpRequest, manifest: Manifest
    ) -> HttpResponse | None:
        """Return the response to a request about an existing job.

        Parameters
        ----------
        request
            Any request of a caller or a trainer.
        manifest
            The manifest in force.

        Returns
        -------
        HttpResponse or None
            ``None`` if the path of the request is not about a job.
        """
        path = request.target.partition('?')[0]
        prefix = next(
            (known for known in _JOB_PATH_PREFIXES if path.startswith(known)),
            None,
        )
        if prefix is None:
            return None
        account = self._admission.admit_job_access(request, manifest)
        if isinstance(account, HttpResponse):
            return account
        job = JobId(unquote(path.removeprefix(prefix)))
        action = 'end' if request.method == 'DELETE' else 'read'
        with subjects.about(job=job, action=action):
            job_account = await self._read_service.account_of(job)
            if isinstance(job_account, Outcome):
                return _lookup_failure(job, job_account)
            if not manifest.accounts.may_see(account, job_account):
                _log.info('gateway: job %s: requested by another account', job)
                return _lookup_failure(job, Outcome.ABSENT)
            return await self._handle_job_request(request, prefix, job)

    async def submit(
        self, request: HttpRequest, body: bytes, account: AccountId
    ) -> HttpResponse:
        """Store a job and return the response to its submission.

        Parameters
        ----------
        request
            The submission; its request id is the id of the job.
        body
            The whole body of the request.
        account
            The client account that owns the job.
        """
        job = JobId(request.headers.first(names.REQUEST_ID))
        path = request.target.partition('?')[0]
        host = request.headers.first('host')
        try:
            spec = parse_job(job, host, path, body)
        except ValueError as error:
            return text_response(HTTPStatus.BAD_REQUEST, str(error), job)
        with subjects.about(job=job, action='submission'):
            outcome = await self._submission_service.submit(
                assign_job_account(spec, account)
            )
            _log.info(
                'gateway: job %s submitted, %d items, version %d and newer: %s',
                job,
                len(spec.items),
                spec.min_version,
                'kept' if outcome is None else outcome.value,
            )
        if outcome is None:
            return text_response(HTTPStatus.ACCEPTED, 'kept', job)
        if outcome is Outcome.FOREIGN:
            return text_response(
                HTTPStatus.CONFLICT, 'a job of another account', job
            )
        if outcome is Outcome.UNCLEAR:
            return _unclear_response(job)
        return _store_unavailable(job, job_retry_s(job))

    def check_refusal(
        self, request: HttpRequest, response: HttpResponse
    ) -> HttpResponse:
        """Return the response to a request that may submit a known job.

        Parameters
        ----------
        request
            Any request of a caller or a trainer.
        response
            Its response, which may promise that nothing of a job runs.
        """
        if (
            response.status != HTTPStatus.SERVICE_UNAVAILABLE
            or request.method != 'POST'
        ):
            return response
        job = JobId(request.headers.first(names.REQUEST_ID))
        if self._submission_service.may_be_stored(job):
            return _unclear_response(job)
        return response

    async def _handle_job_request(
        self, request: HttpRequest, prefix: str, job: JobId
    ) -> HttpResponse:
        query = request.target.partition('?')[-1]
        if prefix == names.BODY_PATH:
            return await self._read_body(job, query)
        if request.method == 'DELETE':
            return await self._end_job(job)
        return await self._read_results(job, query, request.headers)

    async def _read_results(
        self, job: JobId, query: str, headers: Headers
    ) -> HttpResponse:
        after = parse_number(parse_qs(query).get('after', ['0'])[0])
        wait_ms = min(
            parse_number(headers.first(names.WAIT_MS)), _MAX_READ_WAIT_MS
        )
        page = await self._read_service.read_results(
            job, after, utils.from_ms(wait_ms)
        )
        if isinstance(page, Outcome):
            return _lookup_failure(job, page)
        return HttpResponse(
            status=int(HTTPStatus.OK),
            headers=Headers.of([_JSON_CONTENT_TYPE]),
            body=results_body(page.total, after, page.results),
        )

    async def _read_body(self, job: JobId, query: str) -> HttpResponse:
        item = ItemId(parse_qs(query).get('id', [''])[0])
        body = await self._read_service.read_body(job, item)
        if isinstance(body, Outcome):
            return _lookup_failure(job, body)
        return HttpResponse(status=int(HTTPStatus.OK), body=body)

    async def _end_job(self, job: JobId) -> HttpResponse:
        outcome = await self._submission_service.end(job)
        _log.info(
            'gateway: job %s: end requested: %s',
            job,
            'kept' if outcome is None else outcome.value,
        )
        if outcome is None:
            return text_response(HTTPStatus.OK, 'ended', job)
        return _lookup_failure(job, outcome)


def _lookup_failure(job: JobId, outcome: Outcome) -> HttpResponse:
    if outcome is Outcome.ABSENT:
        _log.info('gateway: job %s: there is no such job or item', job)
        return text_response(HTTPStatus.NOT_FOUND, 'not found')
    _log.info('gateway: job %s: not known now: %s', job, outcome.value)
    return _store_unavailable(job)


def _unclear_response(job: JobId) -> HttpResponse:
    return text_response(
        HTTPStatus.GATEWAY_TIMEOUT, 'perhaps kept', job, job_retry_s(job)
    )


def _store_unavailable(
    job: JobId, retry_s: float = _STORE_RETRY_S
) -> HttpResponse:
    return refusal_response(Verdict.NOT_RUN, 'the store is away', job, retry_s)


def parse_number(text: str) -> int:
    """Return the number in a client's text, 0 if it is not a number."""
    return int(text) if text.isdecimal() else 0
