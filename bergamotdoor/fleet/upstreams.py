"""What is known of the upstreams from their registrations."""

from __future__ import annotations

import datetime as dt

import msgspec

from bergamotdoor.settings.document import Address
from bergamotdoor.types import (
    ModelId,
    ServiceId,
    UpstreamId,
    WeightVersion,
    ZoneId,
)


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of an engine or a plain service."""

    #: Drawn anew by each start, so it names the incarnation.
    upstream: UpstreamId
    service: ServiceId
    address: Address
    zone: ZoneId
    #: Requests that it runs at once.
    slots: int
    #: It leaves soon and takes no new work.
    draining: bool = False
    #: How much longer it stays slow after its start, when registered.
    cold: dt.timedelta = dt.timedelta()
    #: The version of each model it serves; empty for a plain service.
    versions: dict[ModelId, WeightVersion] = {}
