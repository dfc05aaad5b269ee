"""The callers' interface: plain requests and batch jobs."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING

from bergamotdoor import utils
from bergamotdoor.calls.manifest import RouteKind
from bergamotdoor.calls.tries import CallRules
from bergamotdoor.forwarding import Call
from bergamotdoor.gateway.batch_front import number_of
from bergamotdoor.gateway.refusals import plain, refusal
from bergamotdoor.observe.events import Counted
from bergamotdoor.platform import headers as names
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.calls.manifest import Manifest, Route
    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.forwarding import Forwarder
    from bergamotdoor.gateway.batch_front import BatchFront
    from bergamotdoor.http.messages import HttpRequest, HttpResponse

_log = logging.getLogger('bergamotdoor.gateway')


class Front:
    """Hands each request to the part that serves it."""

    def __init__(
        self,
        context: Context,
        manifests: ManifestView,
        forwarder: Forwarder,
        batches: BatchFront,
    ) -> None:
        self._context = context
        self._manifests = manifests
        self._forwarder = forwarder
        self._batches = batches

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        await self._context.startup.wait()
        manifest = self._manifests.manifest
        if manifest is None:
            return refusal(Verdict.NOT_RUN, 'no manifest is known yet')
        answer = await self._batches.handle(request)
        return answer or await self._routed(request, manifest)

    async def _routed(
        self, request: HttpRequest, manifest: Manifest
    ) -> HttpResponse:
        request_id = request.headers.first(names.REQUEST_ID)
        host = request.headers.first('host')
        route = manifest.match(host, request.target)
        if route is None:
            self._context.metrics.count(Counted.CALL_WITHOUT_ROUTE)
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
            return await self._batches.submit(request, host, body)
        call = _call(request, body, route, began)
        outcome = await self._forwarder.forward(call)
        if outcome.answer is not None:
            return outcome.answer
        wait = outcome.retry_after
        if wait is None:
            return refusal(outcome.verdict, outcome.detail, request_id)
        return refusal(
            outcome.verdict, outcome.detail, request_id, wait.total_seconds()
        )


def _call(
    request: HttpRequest, body: bytes, route: Route, began: dt.timedelta
) -> Call:
    wait_ms = number_of(request.headers.first(names.DEADLINE_MS))
    wait = (
        min(utils.from_ms(wait_ms), route.timeout) if wait_ms else route.timeout
    )
    return Call(
        request_id=request.headers.first(names.REQUEST_ID),
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=body,
        route=route,
        rules=CallRules.of_caller(route, began + wait),
        began=began,
    )
