"""The settings file that the platform writes for each process."""

from __future__ import annotations

import datetime as dt
from typing import Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.settings.document import Address
from bergamotdoor.settings.node import NodeSettings
from bergamotdoor.settings.problems import Problem, SettingsError
from bergamotdoor.types import NodeId, ZoneId

#: The port that the deploy file names for metrics, alike on every VM.
INSPECTION_PORT: Final = 9464
#: Names the settings file in the environment.
SETTINGS_VARIABLE: Final = 'BERGAMOTDOOR_CONFIG'


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


class _Limits(msgspec.Struct, frozen=True):
    link_mbps: float = 0


class _Store(msgspec.Struct, frozen=True):
    address: str
    value_bytes: int = 1_048_576


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
        contact=utils.from_ms(written.bounds.contact_ms),
        drain=utils.from_ms(written.bounds.drain_ms),
        grace=dt.timedelta(seconds=written.bounds.grace_s),
        retention=dt.timedelta(seconds=written.bounds.status_s),
        link_mbps=written.limits.link_mbps,
        revocation=_revocation(written.bounds),
    )


def _revocation(bounds: _Bounds) -> dt.timedelta | None:
    return utils.from_ms(bounds.revoke_ms) if bounds.strict_revoke else None


def _optional(text: str) -> Address | None:
    return Address.parse(text) if text else None
