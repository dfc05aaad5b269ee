"""Reads what upstreams register and report; writes orders to engines."""

from __future__ import annotations

from typing import Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.fleet.orders import EngineReport, LoadOrder
from bergamotdoor.fleet.upstreams import Upstream
from bergamotdoor.platform.settings import parse_address
from bergamotdoor.types import (
    ModelId,
    ServiceId,
    UpstreamId,
    WeightVersion,
    ZoneId,
)

_DRAINING: Final = 'draining'
_LOAD_FIELDS: Final = 3


class _Model(msgspec.Struct, frozen=True):
    name: ModelId
    version: WeightVersion = WeightVersion(0)


class _Registration(msgspec.Struct, frozen=True):
    service: ServiceId
    address: str
    zone: ZoneId = ZoneId('')
    slots: int = 1
    state: str = 'ready'
    cold_left_ms: float = 0
    models: tuple[_Model, ...] = ()


class _Report(msgspec.Struct, frozen=True):
    models: tuple[_Model, ...] = ()
    #: Whether an order is being carried out.
    busy: bool = False
    #: How many orders were accepted since the engine's start.
    seq: int = 0
    running: int = 0
    waiting: int = 0


class _Version(msgspec.Struct, frozen=True):
    model: ModelId
    version: WeightVersion


class ToldLoad(msgspec.Struct, frozen=True):
    """What an upstream says of its load in an answer."""

    running: int
    waiting: int
    slots: int


def parse_upstream(name: str, spec: bytes) -> Upstream:
    """Read a registration.

    Raises
    ------
    msgspec.MsgspecError, ValueError
        If it is no registration.
    """
    written = msgspec.json.decode(spec, type=_Registration)
    return Upstream(
        upstream=UpstreamId(name),
        service=written.service,
        address=parse_address(written.address),
        zone=written.zone,
        slots=max(written.slots, 1),
        draining=written.state == _DRAINING,
        cold=utils.from_ms(written.cold_left_ms),
        versions={model.name: model.version for model in written.models},
    )


def parse_version(spec: bytes) -> tuple[ModelId, WeightVersion]:
    """Read a published version of a model."""
    written = msgspec.json.decode(spec, type=_Version)
    return written.model, written.version


def parse_report(body: bytes) -> EngineReport:
    """Read an engine's report of itself."""
    written = msgspec.json.decode(body, type=_Report)
    return EngineReport(
        versions={model.name: model.version for model in written.models},
        loading=written.busy,
        accepted_orders=written.seq,
        running=written.running,
        waiting=written.waiting,
    )


def parse_load(text: str) -> ToldLoad | None:
    """Read the load header; None if there is none."""
    numbers = [part for part in text.split(',') if part.strip().isdecimal()]
    if len(numbers) != _LOAD_FIELDS:
        return None
    return ToldLoad(*(int(number) for number in numbers))


def order_body(order: LoadOrder) -> bytes:
    """Write an order to load weights."""
    return msgspec.json.encode(
        {
            'op': 'version',
            'model': order.model,
            'version': order.version,
            'mode': order.mode.value,
            'holder': order.holder,
            'fence': order.fencing_token,
            # The engine's count of accepted orders that must still hold
            # when the order is carried out.
            'expected': order.accepted_orders,
        }
    )
