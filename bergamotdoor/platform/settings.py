"""The settings file that the platform writes for each process."""

from __future__ import annotations

import datetime as dt
import pathlib
from typing import Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.settings.document import Address
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
    lease_ms: float = 3000
    cancel_ms: float = 3000
    status_s: float = 120


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


class NodeSettings(msgspec.Struct, frozen=True):
    """What a process is told about itself and its surroundings."""

    node: NodeId
    zone: ZoneId
    ip: str
    #: The platform's object store.
    store: Address
    #: The most that one stored object may take.
    object_bytes: int
    #: Callers, and the balancer's readiness probe; entries only.
    callers: Address | None
    readiness: Address | None
    #: Where processes of the system reach each other.
    first_port: int
    #: Where metrics and state are shown.
    inspection: Address
    #: The engine on this VM; agents only.
    engine: Address | None
    #: How long after trouble the platform's rules hold again.
    contact: dt.timedelta
    #: How soon new work must stop going to an upstream that leaves.
    drain: dt.timedelta
    #: From a request to stop until the process is killed.
    grace: dt.timedelta
    #: How long a batch job can be read after it was handed in.
    retention: dt.timedelta
    #: The bandwidth of this VM's link, in Mbit/s; 0 is not told.
    link_mbps: float = 0


def load_node_settings(path: str) -> NodeSettings:
    """Read the settings file.

    Raises
    ------
    SettingsError
        The file can't be read, or a field is missing or of another type.
    """
    try:
        body = pathlib.Path(path).read_bytes()
    except OSError as error:
        problem = Problem('', str(error.strerror), 'a readable JSON file')
        raise SettingsError(path, (problem,)) from error
    return parse_node_settings(body, path)


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
        store=parse_address(written.platform.address),
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
    )


def parse_address(text: str) -> Address:
    """Read ``IP:PORT``.

    Raises
    ------
    ValueError
        If `text` is something else.
    """
    ip, separator, port = text.rpartition(':')
    if not (separator and ip and port.isdecimal()):
        raise ValueError(f'address {text!r}, expected IP:PORT')
    return Address(ip=ip, port=int(port))


def _optional(text: str) -> Address | None:
    return parse_address(text) if text else None
