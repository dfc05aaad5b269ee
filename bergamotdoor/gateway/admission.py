"""Admits requests of client accounts, or answers why not."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.calls.accounts import NO_ACCOUNT, Denial, ProofBound
from bergamotdoor.calls.manifest import RouteKind
from bergamotdoor.gateway.credentials import credentials_of
from bergamotdoor.gateway.refusals import job_retry_s, plain, refusal
from bergamotdoor.observe.events import Counted
from bergamotdoor.platform import headers as names
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.calls.manifest import Manifest, Route
    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.http.messages import HttpRequest, HttpResponse
    from bergamotdoor.types import AccountId

#: When to come back while the manifest can't be proved: another entry may
#: know it, and the store is asked again within this.
_UNPROVEN_RETRY_S: Final = 0.5
_UNPROVEN: Final = 'the manifest may be outdated'

_log = logging.getLogger('bergamotdoor.gateway')


class Admission:
    """Tells whose request it is.

    Parameters
    ----------
    context
        Which process this is.
    manifests
        Who may ask, and how well that is known.
    """

    def __init__(self, context: Context, manifests: ManifestView) -> None:
        self._context = context
        self._manifests = manifests
        self._bound = ProofBound(context.settings.revocation)

    def reader(
        self, request: HttpRequest, manifest: Manifest
    ) -> AccountId | HttpResponse:
        """Return the account that asks for what is known of a batch job.

        Nothing runs for it, so a manifest that may be outdated will do.
        """
        public = manifest.serves_jobs_publicly(request.headers.first('host'))
        found = self._identify(request, manifest, public)
        if isinstance(found, Denial):
            return self._denied(request, found)
        return found

    def runner(
        self, request: HttpRequest, manifest: Manifest, route: Route
    ) -> AccountId | HttpResponse:
        """Return the account that wants something to be run.

        Parameters
        ----------
        request
            What came.
        manifest
            The one in force.
        route
            The request's route.
        """
        found = self._identify(request, manifest, route.public)
        if found != NO_ACCOUNT and not self._proven():
            # Whoever may not know the newest keys can't call one wrong.
            return self._unproven(request, route)
        if isinstance(found, Denial):
            return self._denied(request, found)
        return found

    def _unproven(self, request: HttpRequest, route: Route) -> HttpResponse:
        request_id = request.headers.first(names.REQUEST_ID)
        self._context.metrics.count(Counted.REQUEST_UNPROVEN)
        _log.info('gateway: request %s: %s', request_id, _UNPROVEN)
        is_job = route.kind is RouteKind.BATCH
        wait_s = job_retry_s(request_id) if is_job else _UNPROVEN_RETRY_S
        return refusal(Verdict.NOT_RUN, _UNPROVEN, request_id, wait_s)

    def _denied(self, request: HttpRequest, denial: Denial) -> HttpResponse:
        request_id = request.headers.first(names.REQUEST_ID)
        _log.info('gateway: request %s denied: %s', request_id, denial.value)
        self._context.metrics.count(Counted.REQUEST_DENIED)
        return plain(HTTPStatus.UNAUTHORIZED, denial.value, request_id)

    def _identify(
        self, request: HttpRequest, manifest: Manifest, public: bool
    ) -> AccountId | Denial:
        credentials = credentials_of(request.headers)
        return manifest.accounts.identify(credentials, public)

    def _proven(self) -> bool:
        proven_at = self._manifests.proven_at
        now = self._context.clock.uptime()
        return proven_at is not None and self._bound.holds(proven_at, now)
