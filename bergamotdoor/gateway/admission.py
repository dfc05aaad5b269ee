"""Admission of requests by the client account that sends them."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.calls.accounts import NO_ACCOUNT, Denial, ManifestAgeLimit
from bergamotdoor.calls.manifest import RouteKind
from bergamotdoor.gateway.credentials import read_credentials
from bergamotdoor.gateway.responses import (
    job_retry_s,
    refusal_response,
    text_response,
)
from bergamotdoor.observe.events import Counted
from bergamotdoor.platform import headers as names
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.calls.manifest import Manifest, Route
    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.http.messages import HttpRequest, HttpResponse
    from bergamotdoor.types import AccountId

#: Retry delay while the manifest can't be proven current. Another entry may
#: have a proof, and this one queries the store again within this time.
_UNPROVEN_RETRY_S: Final = 0.5
_UNPROVEN_DETAIL: Final = 'the manifest may be outdated'

_log = logging.getLogger('bergamotdoor.gateway')


class Admission:
    """Decision whether a request is admitted, and for which account.

    Parameters
    ----------
    context
        The shared state of the process.
    manifests
        The view of the manifest, with the time at which it was last proven
        current.
    """

    def __init__(self, context: Context, manifests: ManifestView) -> None:
        self._context = context
        self._manifests = manifests
        self._manifest_age_limit = ManifestAgeLimit(context.settings.revocation)

    def admit_job_access(
        self, request: HttpRequest, manifest: Manifest
    ) -> AccountId | HttpResponse:
        """Return the account that sends a request about a batch job.

        The request runs nothing, so a manifest that may be outdated is good
        enough.

        Parameters
        ----------
        request
            The request for results or bodies, or to end the job.
        manifest
            The manifest in force.

        Returns
        -------
        AccountId or HttpResponse
            The response if the request is denied.
        """
        public = manifest.serves_jobs_publicly(request.headers.first('host'))
        account = self._identify(request, manifest, public)
        if isinstance(account, Denial):
            return self._deny(request, account)
        return account

    def admit_run(
        self, request: HttpRequest, manifest: Manifest, route: Route
    ) -> AccountId | HttpResponse:
        """Return the account for which a call or a batch job may run.

        Parameters
        ----------
        request
            The call, or the submission of the job.
        manifest
            The manifest in force.
        route
            The route of the request.

        Returns
        -------
        AccountId or HttpResponse
            The response if the request is denied, or if the manifest may be
            outdated.
        """
        account = self._identify(request, manifest, route.public)
        if account != NO_ACCOUNT and not self._is_proven():
            # An outdated manifest may lack new keys, so an unknown key is
            # not denied as wrong either.
            return self._refuse_unproven(request, route)
        if isinstance(account, Denial):
            return self._deny(request, account)
        return account

    def _refuse_unproven(
        self, request: HttpRequest, route: Route
    ) -> HttpResponse:
        request_id = request.headers.first(names.REQUEST_ID)
        self._context.metrics.count(Counted.REQUEST_UNPROVEN)
        _log.info('gateway: request %s: %s', request_id, _UNPROVEN_DETAIL)
        is_job = route.kind is RouteKind.BATCH
        retry_s = job_retry_s(request_id) if is_job else _UNPROVEN_RETRY_S
        return refusal_response(
            Verdict.NOT_RUN, _UNPROVEN_DETAIL, request_id, retry_s
        )

    def _deny(self, request: HttpRequest, denial: Denial) -> HttpResponse:
        request_id = request.headers.first(names.REQUEST_ID)
        _log.info('gateway: request %s denied: %s', request_id, denial.value)
        self._context.metrics.count(Counted.REQUEST_DENIED)
        return text_response(HTTPStatus.UNAUTHORIZED, denial.value, request_id)

    def _identify(
        self, request: HttpRequest, manifest: Manifest, public: bool
    ) -> AccountId | Denial:
        credentials = read_credentials(request.headers)
        return manifest.accounts.identify(credentials, public)

    def _is_proven(self) -> bool:
        proven_at = self._manifests.proven_at
        now = self._context.clock.uptime()
        return proven_at is not None and self._manifest_age_limit.is_recent(
            proven_at, now
        )
