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

#: The port for metrics in the deploy file, the same on every VM.
INSPECTION_PORT: Final = 9464
#: The environment variable with the path of the settings file.
SETTINGS_VARIABLE: Final = 'BERGAMOTDOOR_CONFIG'
_USAGE_DUTY: Final = 'usage'


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
    """The service that receives the reports of duties."""

    address: str = ''
    duties: tuple[str, ...] = ()


class _File(msgspec.Struct, frozen=True):
    """Contents of the settings file; unused fields are ignored."""

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
    """Decode and check the text of a settings file.

    Raises
    ------
    SettingsError
        If a field is missing or has the wrong type.
    """
    try:
        return _build_settings(msgspec.json.decode(body, type=_File))
    except (msgspec.MsgspecError, ValueError) as error:
        problem = Problem('', str(error), 'the fields of a process')
        raise SettingsError(source, (problem,)) from error


def _build_settings(decoded: _File) -> NodeSettings:
    bounds = decoded.bounds
    revocation = utils.from_ms(bounds.revoke_ms)
    return NodeSettings(
        node=decoded.node,
        zone=decoded.zone,
        ip=decoded.ip,
        store=Address.parse(decoded.platform.address),
        object_bytes=decoded.platform.value_bytes,
        callers=_optional_address(decoded.listen.front),
        readiness=_optional_address(decoded.listen.ready),
        first_port=decoded.internal_ports[0],
        inspection=Address(ip=decoded.ip, port=INSPECTION_PORT),
        engine=_optional_address(decoded.app),
        contact=utils.from_ms(bounds.contact_ms),
        drain=utils.from_ms(bounds.drain_ms),
        grace=dt.timedelta(seconds=bounds.grace_s),
        retention=dt.timedelta(seconds=bounds.status_s),
        link_mbps=decoded.limits.link_mbps,
        revocation=revocation if bounds.strict_revoke else None,
        duties=_build_duty_settings(decoded.cloud, bounds),
    )


def _build_duty_settings(
    decoded: _Receiver | None, bounds: _Bounds
) -> DutySettings | None:
    if decoded is None or _USAGE_DUTY not in decoded.duties:
        return None
    return DutySettings(
        receiver=Address.parse(decoded.address),
        lease=utils.from_ms(bounds.lease_ms),
        usage_window=dt.timedelta(seconds=bounds.usage_window_s),
        usage_due=dt.timedelta(seconds=bounds.usage_late_s),
    )


def _optional_address(text: str) -> Address | None:
    return Address.parse(text) if text else None
