"""The operator's manifest: routes, services, limits and client accounts."""

from __future__ import annotations

import datetime as dt
import enum
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.calls.accounts import Accounts
from bergamotdoor.types import Generation, ServiceId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bergamotdoor.types import AccountId

#: Limits of the platform's clients; they apply before a manifest is known.
_DEFAULT_MAX_HEADER_BYTES: Final = 32_768
_DEFAULT_MAX_BODY_BYTES: Final = 33_554_432
_DEFAULT_HEADER_TIMEOUT_S: Final = 10
_DEFAULT_IDLE_TIMEOUT_S: Final = 75
#: Number of tokens in one event of an engine's stream where the manifest
#: states none.
DEFAULT_TOKENS_PER_EVENT: Final = 58


class RouteKind(enum.Enum):
    """How the requests of a route may be executed."""

    #: A request may run more than once.
    IDEMPOTENT = 'idempotent'
    #: A request may run at most once.
    ONCE = 'once'
    #: The response is a stream of events.
    STREAM = 'stream'
    #: The requests are batch jobs.
    BATCH = 'batch'


class Share(msgspec.Struct, frozen=True):
    """A service's share of a route's requests, as the manifest states it."""

    service: ServiceId
    #: Relative to the sum of the weights of the route's shares.
    weight: float = 1


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route and its rules."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout: dt.timedelta
    #: Target latency; a response within it is worth most to the caller.
    target_latency: dt.timedelta
    #: Maximum number of attempts for one request, each at another upstream.
    max_attempts: int = 1
    #: Whether another upstream can continue an interrupted stream.
    resumable: bool = False
    #: Batch jobs: time from the first submission until the results are due.
    due_after: dt.timedelta = dt.timedelta()
    #: Batch jobs: time after which unfinished items may be abandoned;
    #: ``None`` if they must not be.
    abandon_after: dt.timedelta | None = None
    #: Batch jobs: whether one version of the weights must generate the whole
    #: text of an item.
    single_version: bool = False
    #: Whether requests without an API key are admitted.
    public: bool = False
    #: Priority of the calls of accounts without one; 0 is the highest.
    priority: int = 0

    def leads_to(self, service: ServiceId, kind: RouteKind) -> bool:
        """Return whether a service gets requests of a kind by this route."""
        services = {share.service for share in self.shares if share.weight}
        if not services:
            # `pick_service` chooses the last one then.
            services = {share.service for share in self.shares[-1:]}
        return self.kind is kind and service in services


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size of callers' requests, and on slow senders."""

    max_header_bytes: int = _DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = _DEFAULT_MAX_BODY_BYTES
    header_timeout: dt.timedelta = dt.timedelta(
        seconds=_DEFAULT_HEADER_TIMEOUT_S
    )
    idle_timeout: dt.timedelta = dt.timedelta(seconds=_DEFAULT_IDLE_TIMEOUT_S)


class ServiceRules(msgspec.Struct, frozen=True):
    """Rules of the operator for one service."""

    #: Number of tokens in one event of an engine's stream. It converts the
    #: token counts of items to events.
    tokens_per_event: float = DEFAULT_TOKENS_PER_EVENT


class Manifest:
    """One generation of the manifest; immutable.

    Parameters
    ----------
    generation
        Version number of the manifest; it only grows.
    routes
        All routes.
    services
        Rules by service.
    limits
        Limits on callers' requests.
    accounts
        Client accounts; ``None`` if requests need no key.
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
        self._services = services
        self.limits = limits
        self.accounts = accounts or Accounts()
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for listed in self._routes_by_host.values():
            listed.sort(key=_prefix_length, reverse=True)

    def match(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching path prefix.

        Parameters
        ----------
        host
            The request's host; case and port are ignored.
        target
            The request's path, with or without a query.

        Returns
        -------
        Route or None
            ``None`` if no route matches.
        """
        path = target.partition('?')[0]
        candidates = self._routes_by_host.get(
            host.partition(':')[0].lower(), ()
        )
        return next(
            (
                route
                for route in candidates
                if path.startswith(route.path_prefix)
            ),
            None,
        )

    def service_rules(self, service: ServiceId) -> ServiceRules:
        """Return the rules of a service; the default ones if it has none."""
        return self._services.get(service, ServiceRules())

    def priority_of(self, route: Route, account: AccountId) -> int:
        """Return the priority of an account's calls; 0 is the highest."""
        priority = self.accounts.priority_of(account)
        return route.priority if priority is None else priority

    def serves_jobs_publicly(self, host: str) -> bool:
        """Return whether all of a host's batch routes need no key.

        False if the host has no batch route.
        """
        routes = self._routes_by_host.get(host.partition(':')[0].lower(), ())
        batch = [one for one in routes if one.kind is RouteKind.BATCH]
        return bool(batch) and all(route.public for route in batch)


def pick_service(route: Route, draw: float) -> ServiceId:
    """Return a service of a route, chosen by the weights of the shares.

    Parameters
    ----------
    route
        The route.
    draw
        Random number in [0, 1).
    """
    total = sum(share.weight for share in route.shares)
    point = draw * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
