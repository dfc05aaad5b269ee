"""Reads what upstreams register and report; writes orders to engines."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Annotated

import msgspec

from bergamotdoor import utils
from bergamotdoor.fleet.orders import (
    EngineReport,
    LoadOrder,
    PublishedVersion,
)
from bergamotdoor.fleet.upstreams import Upstream, incarnation
from bergamotdoor.settings.document import Address
from bergamotdoor.stored import reading
from bergamotdoor.types import (
    ModelId,
    RegistrationId,
    ServiceId,
    WeightVersion,
    ZoneId,
)

if TYPE_CHECKING:
    from bergamotdoor.stored import StoredObject


class _State(enum.Enum):
    READY = 'ready'
    DRAINING = 'draining'


class _Model(msgspec.Struct, frozen=True):
    name: ModelId
    version: WeightVersion = WeightVersion(0)


class _Registration(msgspec.Struct, frozen=True):
    """What upstreams write; all fields but two are there always.

    An entry that lacks one is another writer's, and names no upstream.
    """

    service: ServiceId
    address: str
    zone: ZoneId
    #: Of its software; the weights have versions of their own.
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: _State
    cold_left_ms: float
    #: Counts what it writes.
    seq: int
    #: Engines only.
    models: tuple[_Model, ...] = ()
    #: The Unix time of its start in milliseconds; older ones tell none.
    born: int = 0


class _Report(msgspec.Struct, frozen=True):
    models: tuple[_Model, ...] = ()
    #: Whether an order is being carried out.
    busy: bool = False
    #: How many orders were accepted since the engine's start.
    seq: int = 0
    running: int = 0
    waiting: int = 0
    #: As in a registration.
    born: int = 0


class _Version(msgspec.Struct, frozen=True):
    model: ModelId
    version: WeightVersion


def parse_upstream(stored: StoredObject) -> Upstream:
    """Read a registration.

    Raises
    ------
    UnreadableError
        If it is none.
    """
    registration = RegistrationId(stored.name)
    with reading('registration'):
        written = msgspec.json.decode(stored.spec, type=_Registration)
        started = utils.from_ms(written.born)
        return Upstream(
            upstream=incarnation(registration, started),
            registration=registration,
            service=written.service,
            address=Address.parse(written.address),
            zone=written.zone,
            slots=written.slots,
            draining=written.state is _State.DRAINING,
            cold=utils.from_ms(written.cold_left_ms),
            versions={model.name: model.version for model in written.models},
            started=started,
        )


def parse_version(stored: StoredObject) -> PublishedVersion:
    """Read a published version of a model.

    Raises
    ------
    UnreadableError
        If it is none.
    """
    with reading('version'):
        written = msgspec.json.decode(stored.spec, type=_Version)
    return PublishedVersion(written.model, written.version)


def parse_report(body: bytes) -> EngineReport:
    """Read an engine's report of itself.

    Raises
    ------
    UnreadableError
        If it is none.
    """
    with reading('report'):
        written = msgspec.json.decode(body, type=_Report)
        started = utils.from_ms(written.born)
    return EngineReport(
        versions={model.name: model.version for model in written.models},
        loading=written.busy,
        accepted_orders=written.seq,
        running=written.running,
        waiting=written.waiting,
        started=started,
    )


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
