"""Settings of a process on one of the platform's VMs."""

from __future__ import annotations

import datetime as dt

import msgspec

from bergamotdoor.settings.document import Address
from bergamotdoor.types import NodeId, ZoneId


class DutySettings(msgspec.Struct, frozen=True):
    """Settings of the duty that one process at a time has: usage reports."""

    #: The address of the service that receives the reports.
    receiver: Address
    #: Two processes must not alternate in the duty within this time.
    lease: dt.timedelta
    #: The length of a window for which usage is reported.
    usage_window: dt.timedelta
    #: The time after a window's end within which its report is due.
    usage_due: dt.timedelta


class NodeSettings(msgspec.Struct, frozen=True):
    """Settings of one process, its VM and its site."""

    node: NodeId
    zone: ZoneId
    ip: str
    #: The address of the platform's object store.
    store: Address
    #: The maximum size of a stored object, in bytes.
    object_bytes: int
    #: Where callers connect; ``None`` if the process is not an entry.
    callers: Address | None
    #: Where the balancer probes readiness; ``None`` if not an entry.
    readiness: Address | None
    #: The port for messages between processes: the first internal one.
    first_port: int
    #: Where metrics and state are served.
    inspection: Address
    #: The engine on this VM; ``None`` if the process is not its agent.
    engine: Address | None
    #: The time after a fault within which the platform's rules must hold again.
    contact: dt.timedelta
    #: The time within which a draining upstream must get no more new requests.
    drain: dt.timedelta
    #: The time from a request to stop until the process is killed.
    grace: dt.timedelta
    #: How long a batch job can be read after it was submitted.
    retention: dt.timedelta
    #: The bandwidth of this VM's link, in Mbit/s; 0 if unknown.
    link_mbps: float = 0
    #: Whether agents announce weight loads to the owners of jobs. If not, the
    #: owners notice loads by refusals and stalls. The settings file has no
    #: field for this.
    announces_loads: bool = False
    #: The time within which a revoked key must stop working on every VM, even
    #: if the store is unreachable. If ``None``, a key stops working when the
    #: new manifest is received.
    revocation: dt.timedelta | None = None
    #: The settings of usage reports; ``None`` if usage is not reported.
    duties: DutySettings | None = None
