"""Messages between an agent and the engine on its VM."""

from __future__ import annotations

import datetime as dt
import enum

import msgspec

from bergamotdoor.types import FencingToken, ModelId, NodeId, WeightVersion


class LoadMode(enum.Enum):
    """How an engine treats requests in progress while it loads weights."""

    #: The requests finish before the weights are loaded.
    WAIT = 'wait'
    #: The response streams of the requests are reset.
    TRUNCATE = 'truncate'
    #: The requests continue with the new version.
    RETAIN = 'retain'


class PublishedVersion(msgspec.Struct, frozen=True):
    """A version of a model's weights that its trainer has published."""

    model: ModelId
    version: WeightVersion


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's state, as the engine itself reports it."""

    versions: dict[ModelId, WeightVersion]
    #: Whether the engine is carrying out an order.
    loading: bool
    #: Number of orders that the engine has accepted since its start.
    accepted_orders: int
    #: Number of requests that the engine runs, and that wait in its queue.
    running: int = 0
    waiting: int = 0
    #: Time of the engine's start since the Unix epoch; zero if it states none.
    started: dt.timedelta = dt.timedelta()


class LoadOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine to load a version of a model's weights."""

    model: ModelId
    version: WeightVersion
    mode: LoadMode
    #: The agent that sends the order.
    holder: NodeId
    fencing_token: FencingToken
    #: The engine refuses the order if its own count of accepted orders
    #: differs from this.
    accepted_orders: int
