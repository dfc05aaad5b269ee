"""The callers' interface: plain requests and batch jobs."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final
from urllib.parse import parse_qs, unquote

from bergamotdoor.calls.manifest import RouteKind
from bergamotdoor.gateway.forwarding import Call
from bergamotdoor.gateway.refusals import plain, refusal
from bergamotdoor.http.messages import Headers, HttpResponse
from bergamotdoor.objects.messages import Outcome
from bergamotdoor.platform import headers as names
from bergamotdoor.platform.batch_wire import parse_job, results_body
from bergamotdoor.types import ItemId, JobId
from bergamotdoor.utils import from_ms
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.calls.manifest import Manifest, Route
    from bergamotdoor.gateway.context import Context
    from bergamotdoor.gateway.forwarding import Forwarder
    from bergamotdoor.gateway.jobs_desk import JobsDesk
    from bergamotdoor.gateway.views import ManifestView
    from bergamotdoor.http.messages import HttpRequest

#: The most that a reader is kept waiting for a result.
_MOST_WAIT_MS: Final = 1000
#: When to come back while the store can't be reached: outages last for
#: seconds, and a step has a few to spare.
_STORE_RETRY_S: Final = 0.5
_JSON: Final = ('content-type', 'application/json')

_log = logging.getLogger('bergamotdoor.gateway')


class Front:
    """Hands each request to the part that serves it."""

    def __init__(
        self,
        context: Context,
        manifests: ManifestView,
        forwarder: Forwarder,
        jobs: JobsDesk,
    ) -> None:
        self._context = context
        self._manifests = manifests
        self._forwarder = forwarder
        self._jobs = jobs

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        manifest = self._manifests.manifest
        if manifest is None:
            return refusal(Verdict.NOT_RUN, 'no manifest is known yet')
        path, _, query = request.target.partition('?')
        if path.startswith(names.RESULTS_PATH):
            job = JobId(unquote(path.removeprefix(names.RESULTS_PATH)))
            if request.method == 'DELETE':
                return await self._end(job)
            return await self._results(job, query, request.headers)
        if path.startswith(names.BODY_PATH):
            job = JobId(unquote(path.removeprefix(names.BODY_PATH)))
            return await self._body(job, query)
        return await self._routed(request, manifest)

    async def _routed(
        self, request: HttpRequest, manifest: Manifest
    ) -> HttpResponse:
        request_id = request.headers.first(names.REQUEST_ID)
        host = request.headers.first('host')
        route = manifest.match(host, request.target)
        if route is None:
            _log.info(
                'gateway: call %s: no route for %s%s, manifest %d',
                request_id,
                host,
                request.target,
                manifest.generation,
            )
            return plain(HTTPStatus.NOT_FOUND, 'no route', request_id)
        began = self._context.clock.elapsed()
        body = await request.read_body(manifest.limits.max_body_bytes)
        if route.kind is RouteKind.BATCH and request.method == 'POST':
            return await self._submit(request, host, body)
        call = _call(request, body, route, began)
        return await self._forwarder.forward(call)

    async def _submit(
        self, request: HttpRequest, host: str, body: bytes
    ) -> HttpResponse:
        job = JobId(request.headers.first(names.REQUEST_ID))
        path = request.target.partition('?')[0]
        try:
            spec = parse_job(job, host, path, body)
        except ValueError as error:
            return plain(HTTPStatus.BAD_REQUEST, str(error), job)
        outcome = await self._jobs.submit(spec)
        _log.info(
            'gateway: job %s submitted, %d items, version %d and newer: %s',
            job,
            len(spec.items),
            spec.min_version,
            'kept' if outcome is None else outcome.value,
        )
        if outcome is None:
            return plain(HTTPStatus.ACCEPTED, 'kept', job)
        if outcome is Outcome.UNCLEAR:
            return refusal(Verdict.MAY_HAVE_RUN, 'perhaps kept', job)
        return _store_away(job)

    async def _results(
        self, job: JobId, query: str, headers: Headers
    ) -> HttpResponse:
        after = _number(parse_qs(query).get('after', ['0'])[0])
        wait_ms = min(_number(headers.first(names.WAIT_MS)), _MOST_WAIT_MS)
        found = await self._jobs.read(job, after, from_ms(wait_ms))
        if isinstance(found, Outcome):
            return _missing(job, found)
        return HttpResponse(
            status=int(HTTPStatus.OK),
            headers=Headers.of([_JSON]),
            body=results_body(found.total, after, found.results),
        )

    async def _body(self, job: JobId, query: str) -> HttpResponse:
        item = ItemId(parse_qs(query).get('id', [''])[0])
        found = await self._jobs.body(job, item)
        if isinstance(found, Outcome):
            return _missing(job, found)
        return HttpResponse(status=int(HTTPStatus.OK), body=found)

    async def _end(self, job: JobId) -> HttpResponse:
        outcome = await self._jobs.end(job)
        _log.info(
            'gateway: job %s: end asked for: %s',
            job,
            'kept' if outcome is None else outcome.value,
        )
        if outcome is None:
            return plain(HTTPStatus.OK, 'ended', job)
        return _missing(job, outcome)


def _call(
    request: HttpRequest, body: bytes, route: Route, began: dt.timedelta
) -> Call:
    wait_ms = _number(request.headers.first(names.DEADLINE_MS))
    wait = min(from_ms(wait_ms), route.timeout) if wait_ms else route.timeout
    return Call(
        request_id=request.headers.first(names.REQUEST_ID),
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=body,
        route=route,
        deadline=began + wait,
        began=began,
    )


def _missing(job: JobId, outcome: Outcome) -> HttpResponse:
    if outcome is Outcome.ABSENT:
        _log.info('gateway: job %s: there is no such job or item', job)
        return plain(HTTPStatus.NOT_FOUND, 'not found')
    return _store_away(job)


def _store_away(job: JobId) -> HttpResponse:
    return refusal(Verdict.NOT_RUN, 'the store is away', job, _STORE_RETRY_S)


def _number(text: str) -> int:
    return int(text) if text.isdecimal() else 0
