"""The trainers' interface: batch jobs, their results and bodies."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final
from urllib.parse import parse_qs, unquote

from bergamotdoor import utils
from bergamotdoor.gateway.credentials import job_of_account
from bergamotdoor.gateway.refusals import job_retry_s, plain, refusal
from bergamotdoor.http.messages import Headers, HttpResponse
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.batch_wire import parse_job, results_body
from bergamotdoor.stored import Outcome
from bergamotdoor.types import ItemId, JobId
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.calls.manifest import Manifest
    from bergamotdoor.gateway.admission import Admission
    from bergamotdoor.http.messages import HttpRequest
    from bergamotdoor.steps.jobs_desk import JobsDesk
    from bergamotdoor.steps.jobs_intake import JobsIntake
    from bergamotdoor.types import AccountId

#: The most that a reader is kept waiting for a result.
_MOST_WAIT_MS: Final = 1000
#: When to come back while the store can't be reached: outages last for
#: seconds, and a step has a few to spare.
_STORE_RETRY_S: Final = 0.5
_JOB_PATHS: Final = (names.RESULTS_PATH, names.BODY_PATH)
_JSON: Final = ('content-type', 'application/json')

_log = logging.getLogger('bergamotdoor.gateway')


class BatchFront:
    """Answers trainers."""

    def __init__(
        self, intake: JobsIntake, desk: JobsDesk, admission: Admission
    ) -> None:
        self._intake = intake
        self._desk = desk
        self._admission = admission

    async def handle(
        self, request: HttpRequest, manifest: Manifest
    ) -> HttpResponse | None:
        """Answer a request about a job; None if it is about something else."""
        path = request.target.partition('?')[0]
        asked = next((one for one in _JOB_PATHS if path.startswith(one)), None)
        if asked is None:
            return None
        account = self._admission.reader(request, manifest)
        if isinstance(account, HttpResponse):
            return account
        job = JobId(unquote(path.removeprefix(asked)))
        owner = await self._desk.account_of(job)
        if isinstance(owner, Outcome):
            return _missing(job, owner)
        if not manifest.accounts.may_see(account, owner):
            _log.info('gateway: job %s: asked for by another account', job)
            return _missing(job, Outcome.ABSENT)
        return await self._asked(request, asked, job)

    async def submit(
        self, request: HttpRequest, body: bytes, account: AccountId
    ) -> HttpResponse:
        """Take a job of a client account in."""
        job = JobId(request.headers.first(names.REQUEST_ID))
        path = request.target.partition('?')[0]
        host = request.headers.first('host')
        try:
            spec = parse_job(job, host, path, body)
        except ValueError as error:
            return plain(HTTPStatus.BAD_REQUEST, str(error), job)
        outcome = await self._intake.submit(job_of_account(spec, account))
        _log.info(
            'gateway: job %s submitted, %d items, version %d and newer: %s',
            job,
            len(spec.items),
            spec.min_version,
            'kept' if outcome is None else outcome.value,
        )
        if outcome is None:
            return plain(HTTPStatus.ACCEPTED, 'kept', job)
        if outcome is Outcome.FOREIGN:
            return plain(HTTPStatus.CONFLICT, 'a job of another account', job)
        if outcome is Outcome.UNCLEAR:
            return refusal(Verdict.MAY_HAVE_RUN, 'perhaps kept', job)
        return _store_away(job, job_retry_s(job))

    async def _asked(
        self, request: HttpRequest, asked: str, job: JobId
    ) -> HttpResponse:
        query = request.target.partition('?')[-1]
        if asked == names.BODY_PATH:
            return await self._body(job, query)
        if request.method == 'DELETE':
            return await self._end(job)
        return await self._listed(job, query, request.headers)

    async def _listed(
        self, job: JobId, query: str, headers: Headers
    ) -> HttpResponse:
        after = number_of(parse_qs(query).get('after', ['0'])[0])
        wait_ms = min(number_of(headers.first(names.WAIT_MS)), _MOST_WAIT_MS)
        found = await self._desk.read(job, after, utils.from_ms(wait_ms))
        if isinstance(found, Outcome):
            return _missing(job, found)
        return HttpResponse(
            status=int(HTTPStatus.OK),
            headers=Headers.of([_JSON]),
            body=results_body(found.total, after, found.results),
        )

    async def _body(self, job: JobId, query: str) -> HttpResponse:
        item = ItemId(parse_qs(query).get('id', [''])[0])
        found = await self._desk.body(job, item)
        if isinstance(found, Outcome):
            return _missing(job, found)
        return HttpResponse(status=int(HTTPStatus.OK), body=found)

    async def _end(self, job: JobId) -> HttpResponse:
        outcome = await self._intake.end(job)
        _log.info(
            'gateway: job %s: end asked for: %s',
            job,
            'kept' if outcome is None else outcome.value,
        )
        if outcome is None:
            return plain(HTTPStatus.OK, 'ended', job)
        return _missing(job, outcome)


def _missing(job: JobId, outcome: Outcome) -> HttpResponse:
    if outcome is Outcome.ABSENT:
        _log.info('gateway: job %s: there is no such job or item', job)
        return plain(HTTPStatus.NOT_FOUND, 'not found')
    _log.info('gateway: job %s: not known now: %s', job, outcome.value)
    return _store_away(job)


def _store_away(job: JobId, wait_s: float = _STORE_RETRY_S) -> HttpResponse:
    return refusal(Verdict.NOT_RUN, 'the store is away', job, wait_s)


def number_of(text: str) -> int:
    """Return a number that a client sent; 0 if it is none."""
    return int(text) if text.isdecimal() else 0
