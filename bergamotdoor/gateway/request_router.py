"""The entry's interface for callers and trainers."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from bergamotdoor.calls.manifest import RouteKind
from bergamotdoor.gateway.call_handler import build_call
from bergamotdoor.gateway.credentials import build_upstream_headers
from bergamotdoor.gateway.readmission import (
    AdmittedCall,
    Readmission,
    refuse_without_route,
)
from bergamotdoor.gateway.responses import refusal_response
from bergamotdoor.http.messages import HttpResponse
from bergamotdoor.observe import subjects
from bergamotdoor.platform import headers as names
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.calls.manifest import Manifest, Route
    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.gateway.admission import Admission
    from bergamotdoor.gateway.batch_handler import BatchHandler
    from bergamotdoor.gateway.call_handler import CallHandler
    from bergamotdoor.http.messages import HttpRequest


class RequestRouter:
    """Router that passes each request to the handler of calls or of jobs.

    Parameters
    ----------
    context
        The shared state of the process.
    manifests
        The view of the manifest, which holds the routes.
    admission
        Decides which client account sends a request.
    calls
        The handler of plain calls.
    batches
        The handler of batch jobs.
    """

    def __init__(
        self,
        context: Context,
        manifests: ManifestView,
        admission: Admission,
        calls: CallHandler,
        batches: BatchHandler,
    ) -> None:
        self._context = context
        self._manifests = manifests
        self._admission = admission
        self._calls = calls
        self._batches = batches
        self._readmission = Readmission(context, manifests, admission)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request of a caller or a trainer.

        Parameters
        ----------
        request
            The request; its body has not been read yet.
        """
        with subjects.about(request=request.headers.first(names.REQUEST_ID)):
            response = await self._handle(request)
            return self._batches.check_refusal(request, response)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        await self._context.startup.wait()
        manifest = self._manifests.manifest
        if manifest is None:
            return refusal_response(Verdict.NOT_RUN, 'no manifest is known yet')
        response = await self._batches.handle(request, manifest)
        return response or await self._handle_routed(request, manifest)

    async def _handle_routed(
        self, request: HttpRequest, manifest: Manifest
    ) -> HttpResponse:
        host = request.headers.first('host')
        route = manifest.match(host, request.target)
        if route is None:
            return refuse_without_route(self._context, request, manifest)
        account = self._admission.admit_run(request, manifest, route)
        if isinstance(account, HttpResponse):
            return account
        return await self._handle_admitted(request, manifest, route)

    async def _handle_admitted(
        self, request: HttpRequest, manifest: Manifest, route: Route
    ) -> HttpResponse:
        began = self._context.clock.elapsed()
        body = await request.read_body(manifest.limits.max_body_bytes)
        # The key may have been revoked while the body was received.
        newest_manifest = self._manifests.manifest or manifest
        account = self._admission.admit_run(request, newest_manifest, route)
        if isinstance(account, HttpResponse):
            return account
        if route.kind is RouteKind.BATCH and request.method == 'POST':
            return await self._batches.submit(request, body, account)
        headers = build_upstream_headers(
            request.headers,
            account,
            accounts_in_force=bool(newest_manifest.accounts),
        )
        call = build_call(request, headers, body, route, began)
        call.account = account
        call.priority = newest_manifest.priority_of(route, account)
        call.readmit = functools.partial(
            self._readmission.check,
            request,
            AdmittedCall(account, route.kind, call.request_id),
        )
        return await self._calls.answer(call, account)
