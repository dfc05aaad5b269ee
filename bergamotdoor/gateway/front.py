"""The callers' interface: plain requests and batch jobs."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING

from bergamotdoor.calls.manifest import RouteKind
from bergamotdoor.gateway.call_front import call_of
from bergamotdoor.gateway.credentials import named_account
from bergamotdoor.gateway.refusals import plain, refusal
from bergamotdoor.http.messages import HttpResponse
from bergamotdoor.observe.events import Counted
from bergamotdoor.platform import headers as names
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.calls.manifest import Manifest, Route
    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.gateway.admission import Admission
    from bergamotdoor.gateway.batch_front import BatchFront
    from bergamotdoor.gateway.call_front import CallFront
    from bergamotdoor.http.messages import HttpRequest

_log = logging.getLogger('bergamotdoor.gateway')


class Front:
    """Hands each request to the part that serves it."""

    def __init__(
        self,
        context: Context,
        manifests: ManifestView,
        admission: Admission,
        calls: CallFront,
        batches: BatchFront,
    ) -> None:
        self._context = context
        self._manifests = manifests
        self._admission = admission
        self._calls = calls
        self._batches = batches

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        await self._context.startup.wait()
        manifest = self._manifests.manifest
        if manifest is None:
            return refusal(Verdict.NOT_RUN, 'no manifest is known yet')
        answer = await self._batches.handle(request, manifest)
        return answer or await self._routed(request, manifest)

    async def _routed(
        self, request: HttpRequest, manifest: Manifest
    ) -> HttpResponse:
        host = request.headers.first('host')
        route = manifest.match(host, request.target)
        if route is None:
            return self._without_route(request, manifest)
        account = self._admission.runner(request, manifest, route)
        if isinstance(account, HttpResponse):
            return account
        return await self._admitted(request, manifest, route)

    async def _admitted(
        self, request: HttpRequest, manifest: Manifest, route: Route
    ) -> HttpResponse:
        began = self._context.clock.elapsed()
        body = await request.read_body(manifest.limits.max_body_bytes)
        # The key may have been taken away while the body came.
        newest = self._manifests.manifest or manifest
        account = self._admission.runner(request, newest, route)
        if isinstance(account, HttpResponse):
            return account
        if route.kind is RouteKind.BATCH and request.method == 'POST':
            return await self._batches.submit(request, body, account)
        headers = named_account(
            request.headers, account, keyed=bool(newest.accounts)
        )
        call = call_of(request, headers, body, route, began)
        return await self._calls.answer(call, account)

    def _without_route(
        self, request: HttpRequest, manifest: Manifest
    ) -> HttpResponse:
        request_id = request.headers.first(names.REQUEST_ID)
        self._context.metrics.count(Counted.CALL_WITHOUT_ROUTE)
        _log.info(
            'gateway: call %s: no route for %s%s, manifest %d',
            request_id,
            request.headers.first('host'),
            request.target,
            manifest.generation,
        )
        return plain(HTTPStatus.NOT_FOUND, 'no route', request_id)
