"""The settings of one process: its addresses, its zone, its secrets."""

from __future__ import annotations

from bergamotdoor.settings.document import Address, Strict
from bergamotdoor.types import (
    EntryId,
    ServiceId,
    TrainerId,
    UpstreamId,
    UpstreamKind,
    ZoneId,
)


class PlatformSettings(Strict, frozen=True):
    """Where the platform's services listen."""

    object_api: Address
    vm_list: Address | None = None
    weight_store: Address | None = None
    #: Bearer token for the platform; empty sends none.
    token: str = ''
    timeout_ms: int = 2_000


class LinkSecurity(Strict, frozen=True):
    """How processes prove who they are; one of the two is required.

    ``shared_key`` has at least 32 characters. The file fields name PEM
    files for mutual TLS.
    """

    shared_key: str = ''
    certificate_file: str = ''
    private_key_file: str = ''
    authority_file: str = ''


class LinkTimes(Strict, frozen=True):
    """The times of a link between processes."""

    heartbeat_ms: int = 500
    #: A link without a heartbeat for this long counts as silent.
    silent_ms: int = 2_000
    dial_timeout_ms: int = 1_000


class LogSettings(Strict, frozen=True):
    """Where and how much is logged."""

    level: str = 'info'
    #: Empty logs to standard output.
    file: str = ''


class HttpLimits(Strict, frozen=True):
    """Bounds on what HTTP clients may do."""

    max_header_bytes: int = 32_768
    header_timeout_ms: int = 10_000
    #: The longest pause between two pieces of a body.
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 75_000
    max_connections: int = 2_000


class PeerEntry(Strict, frozen=True):
    """Another entry, to join the group through."""

    id: EntryId
    address: Address


class TrainerToken(Strict, frozen=True):
    """The bearer token of one trainer."""

    trainer: TrainerId
    token: str


class EntrySettings(Strict, frozen=True):
    """Settings of an entry process."""

    id: EntryId
    zone: ZoneId
    #: Callers, trainers and operators.
    listen: Address
    #: Other entries.
    peer_listen: Address
    platform: PlatformSettings
    security: LinkSecurity
    peers: tuple[PeerEntry, ...] = ()
    admin_tokens: tuple[str, ...] = ()
    trainer_tokens: tuple[TrainerToken, ...] = ()
    #: Bearer tokens of callers; empty leaves the callers' side open.
    caller_tokens: tuple[str, ...] = ()
    link: LinkTimes = LinkTimes()
    http: HttpLimits = HttpLimits()
    log: LogSettings = LogSettings()
    #: How long a graceful stop waits for requests in progress.
    drain_ms: int = 30_000


class SidecarSettings(Strict, frozen=True):
    """Settings of a sidecar process."""

    id: UpstreamId
    service: ServiceId
    kind: UpstreamKind
    zone: ZoneId
    #: Entries.
    listen: Address
    #: The upstream beside it.
    target: Address
    platform: PlatformSettings
    security: LinkSecurity
    #: The operators' port for dump and metrics; None opens none.
    admin_listen: Address | None = None
    admin_tokens: tuple[str, ...] = ()
    #: Whether the engine refuses an order with an old fencing token.
    checks_fencing: bool = False
    max_running: int = 64
    link: LinkTimes = LinkTimes()
    log: LogSettings = LogSettings()
    drain_ms: int = 30_000
