"""Messages between owners of jobs and the planner of a service's engines."""

from __future__ import annotations

import msgspec

from bergamotdoor.types import ModelId, ServiceId, UpstreamId


class DemandTold(msgspec.Struct, frozen=True, tag=True):
    """Request that states what the recent steps of a model require."""

    service: ServiceId
    model: ModelId
    #: Slot time that the steps require, in events per second; 0 if they have
    #: no due time, so that it is not known.
    demand_events_s: float
    #: Event intervals that the sender has measured, by incarnation.
    intervals_ms: dict[UpstreamId, float]


class PacesKnown(msgspec.Struct, frozen=True, tag=True):
    """Reply to ``DemandTold``: the intervals that other owners measured."""

    intervals_ms: dict[UpstreamId, float]
