"""The manifest: which request goes to which service, and by what rules."""

from __future__ import annotations

import datetime as dt
import enum
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.calls.accounts import Accounts
from bergamotdoor.types import Generation, ServiceId

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Before any manifest is known: what the platform's clients may send.
_HEADER_BYTES: Final = 32_768
_BODY_BYTES: Final = 33_554_432
_HEADER_S: Final = 10
_IDLE_S: Final = 75


class RouteKind(enum.Enum):
    """What may be done with the requests of a route."""

    #: May run more than once.
    IDEMPOTENT = 'idempotent'
    #: May run once at most.
    ONCE = 'once'
    #: The answer is a stream of events.
    STREAM = 'stream'
    #: Batch jobs.
    BATCH = 'batch'


class Share(msgspec.Struct, frozen=True):
    """A service's share of a route's requests."""

    service: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route and its rules."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout: dt.timedelta
    #: Within which an answer is worth most.
    objective: dt.timedelta
    #: How many upstreams one request may be sent to.
    max_attempts: int = 1
    #: A stream may go on at another upstream.
    resumable: bool = False
    #: Batch jobs: results are due this long after the first submission.
    due: dt.timedelta = dt.timedelta()
    #: Batch jobs: an item may be given up after this long; None is never.
    give_up: dt.timedelta | None = None
    #: Batch jobs: one version generates the whole text of an item.
    single_version: bool = False
    #: Callers need no key.
    public: bool = False


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds on what callers may send, and how slowly."""

    max_header_bytes: int = _HEADER_BYTES
    max_body_bytes: int = _BODY_BYTES
    header_timeout: dt.timedelta = dt.timedelta(seconds=_HEADER_S)
    idle_timeout: dt.timedelta = dt.timedelta(seconds=_IDLE_S)


class ServiceRules(msgspec.Struct, frozen=True):
    """What the operator says of one service."""

    max_connections: int
    health_path: str


class Manifest:
    """One version of the manifest; immutable.

    Parameters
    ----------
    generation
        Its version; only grows.
    routes
        All routes.
    services
        Rules by service.
    limits
        Bounds on callers.
    accounts
        Who may ask.
    """

    def __init__(
        self,
        generation: Generation,
        routes: Iterable[Route],
        services: dict[ServiceId, ServiceRules],
        limits: CallerLimits,
        accounts: Accounts | None = None,
    ) -> None:
        self.generation = generation
        self.services = services
        self.limits = limits
        self.accounts = accounts or Accounts()
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for listed in self._by_host.values():
            listed.sort(key=_prefix_length, reverse=True)

    def match(self, host: str, target: str) -> Route | None:
        """Return the route of the longest prefix, None if none fits."""
        path = target.partition('?')[0]
        candidates = self._by_host.get(host.partition(':')[0].lower(), ())
        return next(
            (
                route
                for route in candidates
                if path.startswith(route.path_prefix)
            ),
            None,
        )

    def serves_jobs_publicly(self, host: str) -> bool:
        """Return whether a host's batch jobs are all open to everyone."""
        routes = self._by_host.get(host.partition(':')[0].lower(), ())
        batch = [one for one in routes if one.kind is RouteKind.BATCH]
        return bool(batch) and all(route.public for route in batch)


def pick_service(route: Route, draw: float) -> ServiceId:
    """Return the service that a draw from [0, 1) falls to."""
    total = sum(share.weight for share in route.shares)
    point = draw * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
