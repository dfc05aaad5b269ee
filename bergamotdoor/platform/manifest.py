"""Reads the manifest that the operator writes to the store."""

from __future__ import annotations

import datetime as dt
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.calls.accounts import AccountKeys, Accounts, digest_of
from bergamotdoor.calls.manifest import (
    CallerLimits,
    Manifest,
    Route,
    RouteKind,
    ServiceRules,
    Share,
)
from bergamotdoor.stored import reading
from bergamotdoor.types import AccountId, Generation, ServiceId

if TYPE_CHECKING:
    from bergamotdoor.stored import StoredObject

#: The wire's ``safe`` may be repeated and ``rollout`` is a batch job; any
#: other kind may run once at most.
_KINDS: Final = MappingProxyType(
    {
        'safe': RouteKind.IDEMPOTENT,
        'stream': RouteKind.STREAM,
        'rollout': RouteKind.BATCH,
    }
)
#: Where a route has no bound of its own: far beyond any client's.
_NO_TIMEOUT_MS: Final = 600_000


class _Split(msgspec.Struct, frozen=True):
    service: ServiceId
    weight: float = 1


class _Route(msgspec.Struct, frozen=True):
    host: str
    path_prefix: str
    kind: str
    name: str = ''
    service: ServiceId = ServiceId('')
    split: tuple[_Split, ...] = ()
    timeout_ms: float = _NO_TIMEOUT_MS
    goal_ms: float = 0
    max_attempts: int = 1
    can_resume: bool = False
    due_ms: float = 0
    max_wait_s: float | None = None
    single_version: bool = False
    public: bool = False


class _Service(msgspec.Struct, frozen=True):
    name: ServiceId
    max_conns: int = 0
    health_path: str = ''


class _Tenant(msgspec.Struct, frozen=True):
    name: AccountId
    api_keys: tuple[str, ...] = ()


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None


class _Manifest(msgspec.Struct, frozen=True):
    version: Generation
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    tenants: tuple[_Tenant, ...] = ()
    limits: _Limits = _Limits()


def parse_manifest(stored: StoredObject) -> Manifest:
    """Read the operator's object.

    Raises
    ------
    UnreadableError
        If it is no manifest.
    """
    with reading('manifest'):
        written = msgspec.json.decode(stored.spec, type=_Manifest)
        return Manifest(
            written.version,
            [_route(route) for route in written.routes],
            {
                service.name: ServiceRules(
                    service.max_conns, service.health_path
                )
                for service in written.services
            },
            _limits(written.limits),
            Accounts(_account_keys(tenant) for tenant in written.tenants),
        )


def _route(written: _Route) -> Route:
    shares = tuple(
        Share(split.service, split.weight) for split in written.split
    )
    return Route(
        name=written.name or written.path_prefix,
        host=written.host.lower(),
        path_prefix=written.path_prefix,
        kind=_KINDS.get(written.kind, RouteKind.ONCE),
        shares=shares or (Share(written.service, 1),),
        timeout=utils.from_ms(written.timeout_ms),
        objective=utils.from_ms(written.goal_ms),
        max_attempts=max(written.max_attempts, 1),
        resumable=written.can_resume,
        due=utils.from_ms(written.due_ms),
        give_up=_seconds(written.max_wait_s),
        single_version=written.single_version,
        public=written.public,
    )


def _account_keys(written: _Tenant) -> AccountKeys:
    return AccountKeys(
        written.name, tuple(digest_of(key) for key in written.api_keys)
    )


def _seconds(number: float | None) -> dt.timedelta | None:
    return None if number is None else dt.timedelta(seconds=number)


def _limits(written: _Limits) -> CallerLimits:
    usual = CallerLimits()
    header_ms, idle_ms = written.header_timeout_ms, written.idle_timeout_ms
    return CallerLimits(
        written.max_header_bytes or usual.max_header_bytes,
        written.max_body_bytes or usual.max_body_bytes,
        utils.from_ms(header_ms) if header_ms else usual.header_timeout,
        utils.from_ms(idle_ms) if idle_ms else usual.idle_timeout,
    )
