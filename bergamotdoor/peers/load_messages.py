"""Messages between entries about the load of upstreams."""

from __future__ import annotations

import msgspec

from bergamotdoor.fleet.known_load import ReportedLoad
from bergamotdoor.types import NodeId, UpstreamId


class ToldLoad(msgspec.Struct, frozen=True):
    """What an entry knows about one upstream."""

    #: The incarnation.
    upstream: UpstreamId
    #: Number of requests that the sender has in flight there.
    in_flight: int
    #: The newest load report that the upstream itself gave the sender;
    #: ``None`` if another entry knows a newer one.
    report: ReportedLoad | None
    #: Age of the report when the message was sent.
    age_ms: int


class LoadTold(msgspec.Struct, frozen=True, tag=True):
    """Notification of the requests that an entry has at busy upstreams.

    It replaces all figures that the same sender has told before.
    """

    sender: NodeId
    loads: tuple[ToldLoad, ...]
