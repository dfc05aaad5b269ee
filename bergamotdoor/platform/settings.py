"""The settings file that the platform writes for each process."""

from __future__ import annotations

import datetime as dt
from typing import Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.settings.document import Address
from bergamotdoor.settings.node import DutySettings, NodeSettings
from bergamotdoor.settings.problems import Problem, SettingsError
from bergamotdoor.types import NodeId, ZoneId

#: The port that the deploy file names for metrics, alike on every VM.
INSPECTION_PORT: Final = 9464
#: Names the settings file in the environment.
SETTINGS_VARIABLE: Final = 'BERGAMOTDOOR_CONFIG'
_USAGE: Final = 'usage'


class _Listen(msgspec.Struct, frozen=True):
    front: str = ''
    ready: str = ''


class _Bounds(msgspec.Struct, frozen=True):
    grace_s: float = 8
    drain_ms: float = 2000
    contact_ms: float = 3000
    status_s: float = 120
    strict_revoke: bool = False
    revoke_ms: float = 5000
    lease_ms: float = 3000
    usage_window_s: float = 5
    usage_late_s: float = 10


class _Limits(msgspec.Struct, frozen=True):
    link_mbps: float = 0


class _Store(msgspec.Struct, frozen=True):
    address: str
    value_bytes: int = 1_048_576


class _Receiver(msgspec.Struct, frozen=True):
    """Takes the calls of duties."""

    address: str = ''
    duties: tuple[str, ...] = ()


class _File(msgspec.Struct, frozen=True):
    """The file as written; fields of no use here are ignored."""

    node: NodeId
    zone: ZoneId
    ip: str
    platform: _Store
    listen: _Listen = _Listen()
    internal_ports: tuple[int, int] = (7300, 7315)
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    app: str = ''
    cloud: _Receiver | None = None


def parse_node_settings(body: bytes, source: str) -> NodeSettings:
    """Check the text of a settings file.

    Raises
    ------
    SettingsError
        A field is missing or of another type.
    """
    try:
        return _settings(msgspec.json.decode(body, type=_File))
    except (msgspec.MsgspecError, ValueError) as error:
        problem = Problem('', str(error), 'the fields of a process')
        raise SettingsError(source, (problem,)) from error


def _settings(written: _File) -> NodeSettings:
    bounds = written.bounds
    revocation = utils.from_ms(bounds.revoke_ms)
    return NodeSettings(
        node=written.node,
        zone=written.zone,
        ip=written.ip,
        store=Address.parse(written.platform.address),
        object_bytes=written.platform.value_bytes,
        callers=_optional(written.listen.front),
        readiness=_optional(written.listen.ready),
        first_port=written.internal_ports[0],
        inspection=Address(ip=written.ip, port=INSPECTION_PORT),
        engine=_optional(written.app),
        contact=utils.from_ms(bounds.contact_ms),
        drain=utils.from_ms(bounds.drain_ms),
        grace=dt.timedelta(seconds=bounds.grace_s),
        retention=dt.timedelta(seconds=bounds.status_s),
        link_mbps=written.limits.link_mbps,
        revocation=revocation if bounds.strict_revoke else None,
        duties=_duties(written.cloud, bounds),
    )


def _duties(written: _Receiver | None, bounds: _Bounds) -> DutySettings | None:
    if written is None or _USAGE not in written.duties:
        return None
    return DutySettings(
        receiver=Address.parse(written.address),
        lease=utils.from_ms(bounds.lease_ms),
        usage_window=dt.timedelta(seconds=bounds.usage_window_s),
        usage_due=dt.timedelta(seconds=bounds.usage_late_s),
    )


def _optional(text: str) -> Address | None:
    return Address.parse(text) if text else None
