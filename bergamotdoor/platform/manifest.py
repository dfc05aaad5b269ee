"""Decodes the manifest that the operator writes to the store."""

from __future__ import annotations

import datetime as dt
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.calls.accounts import AccountKeys, Accounts, digest_of
from bergamotdoor.calls.manifest import (
    DEFAULT_TOKENS_PER_EVENT,
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

#: Requests of ``safe`` routes may be repeated, ``rollout`` routes take batch
#: jobs; a request of any other kind may run at most once.
_KINDS: Final = MappingProxyType(
    {
        'safe': RouteKind.IDEMPOTENT,
        'stream': RouteKind.STREAM,
        'rollout': RouteKind.BATCH,
    }
)
#: The timeout of a route that sets none; far longer than any client's.
_DEFAULT_TIMEOUT_MS: Final = 600_000


class _Route(msgspec.Struct, frozen=True):
    host: str
    path_prefix: str
    kind: str
    name: str = ''
    service: ServiceId = ServiceId('')
    split: tuple[Share, ...] = ()
    timeout_ms: float = _DEFAULT_TIMEOUT_MS
    goal_ms: float = 0
    max_attempts: int = 1
    can_resume: bool = False
    due_ms: float = 0
    max_wait_s: float | None = None
    single_version: bool = False
    public: bool = False
    priority: int | None = 0


class _Service(msgspec.Struct, frozen=True):
    name: ServiceId
    engine: object = None


class _Tenant(msgspec.Struct, frozen=True):
    name: AccountId
    api_keys: tuple[str, ...] = ()
    priority: int | None = None


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
    """Decode the manifest.

    Raises
    ------
    UnreadableError
        If the object is not a manifest.
    """
    with reading('manifest'):
        decoded = msgspec.json.decode(stored.spec, type=_Manifest)
        return Manifest(
            decoded.version,
            [_build_route(route) for route in decoded.routes],
            {
                service.name: ServiceRules(_stride_of(service.engine))
                for service in decoded.services
            },
            _build_limits(decoded.limits),
            Accounts(
                AccountKeys(
                    tenant.name,
                    tuple(map(digest_of, tenant.api_keys)),
                    tenant.priority,
                )
                for tenant in decoded.tenants
            ),
        )


def _build_route(decoded: _Route) -> Route:
    return Route(
        name=decoded.name or decoded.path_prefix,
        host=decoded.host.lower(),
        path_prefix=decoded.path_prefix,
        kind=_KINDS.get(decoded.kind, RouteKind.ONCE),
        shares=decoded.split or (Share(decoded.service),),
        timeout=utils.from_ms(decoded.timeout_ms),
        target_latency=utils.from_ms(decoded.goal_ms),
        max_attempts=max(decoded.max_attempts, 1),
        resumable=decoded.can_resume,
        due_after=utils.from_ms(decoded.due_ms),
        abandon_after=_optional_seconds(decoded.max_wait_s),
        single_version=decoded.single_version,
        public=decoded.public,
        priority=decoded.priority or 0,
    )


def _stride_of(engine: object) -> float:
    stride = engine.get('stride') if isinstance(engine, dict) else None
    is_number = isinstance(stride, int | float)
    return stride if is_number and stride else DEFAULT_TOKENS_PER_EVENT


def _optional_seconds(number: float | None) -> dt.timedelta | None:
    return None if number is None else dt.timedelta(seconds=number)


def _build_limits(decoded: _Limits) -> CallerLimits:
    defaults = CallerLimits()
    header_ms, idle_ms = decoded.header_timeout_ms, decoded.idle_timeout_ms
    return CallerLimits(
        decoded.max_header_bytes or defaults.max_header_bytes,
        decoded.max_body_bytes or defaults.max_body_bytes,
        utils.from_ms(header_ms) if header_ms else defaults.header_timeout,
        utils.from_ms(idle_ms) if idle_ms else defaults.idle_timeout,
    )
