"""Admission of calls that waited, by the manifest that is then in force."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from bergamotdoor.gateway.responses import refusal_response, text_response
from bergamotdoor.http.messages import HttpResponse
from bergamotdoor.observe.events import Counted
from bergamotdoor.platform import headers as names
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.calls.manifest import Manifest, RouteKind
    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.gateway.admission import Admission
    from bergamotdoor.http.messages import HttpRequest
    from bergamotdoor.types import AccountId, ServiceId

_log = logging.getLogger('bergamotdoor.gateway')


class AdmittedCall(NamedTuple):
    """What an admission has decided about a call.

    It does not refer to the call, which refers to its second admission: the
    cycle would keep the body in memory until the cyclic collector runs.
    """

    account: AccountId
    kind: RouteKind
    request_id: str


class Readmission:
    """Second admission of calls, after they waited.

    Failure: a key is revoked or a route is removed while a call waits.
    Symptom: the call runs although the manifest in force forbids it.

    Parameters
    ----------
    context
        The shared state of the process.
    manifests
        The view of the manifest.
    admission
        Decides which client account sends a request.
    """

    def __init__(
        self, context: Context, manifests: ManifestView, admission: Admission
    ) -> None:
        self._context = context
        self._manifests = manifests
        self._admission = admission

    def check(
        self, request: HttpRequest, admitted: AdmittedCall, service: ServiceId
    ) -> HttpResponse | None:
        """Return the response if a call may not be sent any more.

        Parameters
        ----------
        request
            The request of the caller.
        admitted
            The call as it was admitted.
        service
            The service to which it would be sent.
        """
        manifest = self._manifests.manifest
        if manifest is None:
            return None
        route = manifest.match(request.headers.first('host'), request.target)
        if route is None:
            return refuse_without_route(self._context, request, manifest)
        account = self._admission.admit_run(request, manifest, route)
        if isinstance(account, HttpResponse):
            return account
        if account == admitted.account and route.leads_to(
            service, admitted.kind
        ):
            return None
        return refusal_response(
            Verdict.NOT_RUN, 'the manifest has changed', admitted.request_id
        )


def refuse_without_route(
    context: Context, request: HttpRequest, manifest: Manifest
) -> HttpResponse:
    """Return the response to a request that matches no route."""
    request_id = request.headers.first(names.REQUEST_ID)
    context.metrics.count(Counted.CALL_WITHOUT_ROUTE)
    _log.info(
        'gateway: call %s: no route for %s%s, manifest %d',
        request_id,
        request.headers.first('host'),
        request.target,
        manifest.generation,
    )
    return text_response(HTTPStatus.NOT_FOUND, 'no route', request_id)
