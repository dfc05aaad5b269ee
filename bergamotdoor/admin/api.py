"""The administration API, free of any transport.

===================  ======================================================
request              what it does
===================  ======================================================
GET config           the stored document; its generation is the ETag
PUT config           replaces it; ``If-Match`` names the generation read
PUT config?dry-run   checks it and returns the difference
POST config/diff     the same
GET config/diff      what is stored and not yet in force in this process
POST drain/{id}      adds an upstream to the leaving ones
DELETE drain/{id}    takes it off again
GET status           the lowest generation in force, members, upstreams,
                     trainers
GET members          the entries
GET upstreams        the upstreams with their load
GET trainers         the trainers with step, idle time and staleness
GET state            the dump of this process
GET metrics          its metrics; ``?format=text`` for Prometheus
===================  ======================================================

All of it needs a bearer token. A sidecar has ``state`` and ``metrics``.
"""

from __future__ import annotations

import asyncio
import datetime as dt
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

from bergamotdoor.admin.config_object import ConfigObject
from bergamotdoor.admin.endpoints import (
    READING,
    config_endpoints,
    fleet_endpoints,
    process_endpoints,
)
from bergamotdoor.admin.requests import PREFIX, read_request, refusal
from bergamotdoor.admin.tokens import TokenCheck
from bergamotdoor.http.failures import failure_response
from bergamotdoor.http.messages import HttpResponse
from bergamotdoor.verdict import Failure, Reason, Verdict

if TYPE_CHECKING:
    from bergamotdoor.admin.endpoints import Endpoint
    from bergamotdoor.admin.requests import AdminRequest
    from bergamotdoor.admin.views import ProcessViews, StateViews
    from bergamotdoor.clock import Clock
    from bergamotdoor.http.messages import HttpRequest
    from bergamotdoor.settings.process import EntrySettings, SidecarSettings
    from bergamotdoor.store.protocols import ObjectStore

#: Longer than the store's own timeouts and the reads that settle a doubt.
_TIMEOUT: Final = dt.timedelta(minutes=0.5)

_log = logging.getLogger('bergamotdoor.admin')


def serves(target: str) -> bool:
    """Whether a request's target belongs to this API."""
    return target.startswith(PREFIX)


class AdminApi:
    """Checks the token, finds the handler, bounds its time.

    Parameters
    ----------
    tokens
        Any of them opens the whole API; without one nothing is open.
    endpoints
        What there is.
    """

    def __init__(
        self, tokens: tuple[str, ...], endpoints: tuple[Endpoint, ...]
    ) -> None:
        self._check = TokenCheck(tokens)
        self._endpoints = endpoints

    @classmethod
    def from_config(
        cls,
        settings: EntrySettings,
        views: StateViews,
        store: ObjectStore,
        clock: Clock,
    ) -> AdminApi:
        """Build the API of an entry."""
        stored = ConfigObject(store, clock)
        endpoints = (
            *config_endpoints(stored, views),
            *process_endpoints(views),
            *fleet_endpoints(views),
        )
        return cls(settings.admin_tokens, endpoints)

    @classmethod
    def for_sidecar(
        cls, settings: SidecarSettings, views: ProcessViews
    ) -> AdminApi:
        """Build the API of a sidecar: its dump and metrics."""
        return cls(settings.admin_tokens, process_endpoints(views))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request; nothing is told without a token."""
        if not self._check.allows(request.headers):
            _log.warning('admin: no valid token from %s', request.peer)
            return refusal(
                Reason.UNAUTHORIZED, 'a bearer token of an operator is needed'
            )
        if not serves(request.target):
            return refusal(Reason.NOT_FOUND, f'nothing at {request.target!r}')
        try:
            async with asyncio.timeout(_TIMEOUT.total_seconds()):
                return await self._answer(request)
        except TimeoutError:
            return _timed_out(request)

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        read = await read_request(request)
        if isinstance(read, HttpResponse):
            return read
        fitting = [item for item in self._endpoints if item.covers(read)]
        for endpoint in fitting:
            if endpoint.method == read.method:
                return await endpoint.run(read)
        if fitting:
            return _wrong_method(read, fitting)
        return refusal(Reason.NOT_FOUND, f'nothing at {request.target!r}')


def _wrong_method(
    request: AdminRequest, fitting: list[Endpoint]
) -> HttpResponse:
    allowed = ', '.join(sorted(endpoint.method for endpoint in fitting))
    response = refusal(
        Reason.BAD_REQUEST,
        f'{request.method} is not one of {allowed}',
        HTTPStatus.METHOD_NOT_ALLOWED,
    )
    response.headers = response.headers.plus(('allow', allowed))
    return response


def _timed_out(request: HttpRequest) -> HttpResponse:
    # A read had no effect; a change may be stored or on its way.
    verdict = Verdict.MAY_HAVE_RUN
    if request.method == READING:
        verdict = Verdict.NOT_RUN
    detail = f'no outcome within {_TIMEOUT}'
    return failure_response(Failure(verdict, Reason.DEADLINE, detail))
