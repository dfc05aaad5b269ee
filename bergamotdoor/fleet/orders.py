"""Messages between an agent and its engine."""

from __future__ import annotations

import datetime as dt
import enum

import msgspec

from bergamotdoor.types import FencingToken, ModelId, NodeId, WeightVersion


class LoadMode(enum.Enum):
    """What becomes of requests in progress while weights are loaded."""

    #: They finish first.
    WAIT = 'wait'
    #: Their streams are reset.
    TRUNCATE = 'truncate'
    #: They go on under the new version.
    RETAIN = 'retain'


class PublishedVersion(msgspec.Struct, frozen=True):
    """A version of a model's weights that its trainer has named."""

    model: ModelId
    version: WeightVersion


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's state, as it reports it itself."""

    versions: dict[ModelId, WeightVersion]
    #: Whether an order is being carried out.
    loading: bool
    #: How many orders it accepted since its start.
    accepted_orders: int
    running: int = 0
    waiting: int = 0
    #: When it started, by its own word; zero where it does not tell.
    started: dt.timedelta = dt.timedelta()


class LoadOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine to take a version of a model."""

    model: ModelId
    version: WeightVersion
    mode: LoadMode
    holder: NodeId
    fencing_token: FencingToken
    #: The count that the engine must still have, or it refuses.
    accepted_orders: int
