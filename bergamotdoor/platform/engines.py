"""Decodes registrations and reports of upstreams; encodes load orders."""

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
from bergamotdoor.fleet.upstreams import Upstream, incarnation_id
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
    """Registration that an upstream writes; only two fields are optional.

    An object without the others is from another writer and no upstream.
    """

    service: ServiceId
    address: str
    zone: ZoneId
    #: The version of its software; the weights have separate versions.
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: _State
    cold_left_ms: float
    #: A counter of the writes of this registration.
    seq: int
    #: Only set by engines.
    models: tuple[_Model, ...] = ()
    #: Unix time of its start in milliseconds; older software sets none.
    born: int = 0


class _Report(msgspec.Struct, frozen=True):
    models: tuple[_Model, ...] = ()
    #: Whether an order is being executed.
    busy: bool = False
    #: The number of orders accepted since the engine's start.
    seq: int = 0
    running: int = 0
    waiting: int = 0
    #: Unix time of its start, as in a registration.
    born: int = 0


class _Version(msgspec.Struct, frozen=True):
    model: ModelId
    version: WeightVersion


def parse_upstream(stored: StoredObject) -> Upstream:
    """Decode a registration.

    Raises
    ------
    UnreadableError
        If the object is not a registration.
    """
    registration = RegistrationId(stored.name)
    with reading('registration'):
        decoded = msgspec.json.decode(stored.spec, type=_Registration)
        started = utils.from_ms(decoded.born)
        return Upstream(
            upstream=incarnation_id(registration, started),
            registration=registration,
            service=decoded.service,
            address=Address.parse(decoded.address),
            zone=decoded.zone,
            slots=decoded.slots,
            draining=decoded.state is _State.DRAINING,
            warmup_left=utils.from_ms(decoded.cold_left_ms),
            versions={model.name: model.version for model in decoded.models},
            started=started,
        )


def parse_version(stored: StoredObject) -> PublishedVersion:
    """Decode a published version of a model.

    Raises
    ------
    UnreadableError
        If the object is not a published version.
    """
    with reading('version'):
        decoded = msgspec.json.decode(stored.spec, type=_Version)
    return PublishedVersion(decoded.model, decoded.version)


def parse_report(body: bytes) -> EngineReport:
    """Decode an engine's report of its state.

    Raises
    ------
    UnreadableError
        If the body is not a report.
    """
    with reading('report'):
        decoded = msgspec.json.decode(body, type=_Report)
        started = utils.from_ms(decoded.born)
    return EngineReport(
        versions={model.name: model.version for model in decoded.models},
        loading=decoded.busy,
        accepted_orders=decoded.seq,
        running=decoded.running,
        waiting=decoded.waiting,
        started=started,
    )


def order_body(order: LoadOrder) -> bytes:
    """Encode an order to load weights."""
    return msgspec.json.encode(
        {
            'op': 'version',
            'model': order.model,
            'version': order.version,
            'mode': order.mode.value,
            'holder': order.holder,
            'fence': order.fencing_token,
            # Executed only if the engine still counts as many accepted orders.
            'expected': order.accepted_orders,
        }
    )
