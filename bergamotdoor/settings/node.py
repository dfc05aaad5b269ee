"""What a process on the platform's machines is told."""

from __future__ import annotations

import datetime as dt

import msgspec

from bergamotdoor.settings.document import Address
from bergamotdoor.types import NodeId, ZoneId


class DutySettings(msgspec.Struct, frozen=True):
    """What one process at a time does for the platform."""

    #: Takes the reports.
    receiver: Address
    #: Two processes must not take turns within this.
    lease: dt.timedelta
    #: How long a window is for which usage is reported.
    usage_window: dt.timedelta
    #: How long after a window's end its report is due.
    usage_due: dt.timedelta


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
    #: How soon a revoked key must stop working on every VM, whether the store
    #: is reached or not; None is as soon as the manifest is known.
    revocation: dt.timedelta | None = None
    #: None where usage is not reported.
    duties: DutySettings | None = None
