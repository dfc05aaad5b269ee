"""State and services that the tasks of an entry process share."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.clock import Clock
from bergamotdoor.entry.request_runs import RequestRuns
from bergamotdoor.entry.startup import StartupGate
from bergamotdoor.fleet.fleet import Fleet
from bergamotdoor.fleet.loads import Loads
from bergamotdoor.fleet.quarantine import Quarantine
from bergamotdoor.http.messages import Client
from bergamotdoor.jobs.progress import Speeds
from bergamotdoor.objects.client import ObjectClient
from bergamotdoor.observe.metrics import Metrics
from bergamotdoor.peers import EntryRecord, LoadSharing, StrikeSharing
from bergamotdoor.queueing.service_calls import CallQueueing
from bergamotdoor.settings.document import Address
from bergamotdoor.settings.node import NodeSettings

if TYPE_CHECKING:
    from bergamotdoor.jobs.messages import JobRecord
    from bergamotdoor.peers.access import StoreAccess


#: How many former owners of a job are told of its end. An owner is replaced
#: only if it does not answer, and a job lasts for seconds.
_MAX_FORMER_OWNERS: Final = 4


class Context(msgspec.Struct, frozen=True):
    """Shared state and services of one entry process."""

    settings: NodeSettings
    clock: Clock
    rng: random.Random
    #: The HTTP client for requests to upstreams and to other entries.
    client: Client
    store: ObjectClient
    fleet: Fleet
    loads: Loads
    speeds: Speeds
    quarantine: Quarantine
    #: Sends the strikes that this process records to the other entries.
    strikes: StrikeSharing
    #: Tells the other entries of requests in flight, and takes theirs.
    load_sharing: LoadSharing
    metrics: Metrics
    startup: StartupGate
    #: Runs in flight at upstreams, by request.
    request_runs: RequestRuns
    #: Limits and queues of calls.
    queueing: CallQueueing

    @classmethod
    def create(
        cls,
        settings: NodeSettings,
        access: StoreAccess,
        client: Client,
        clock: Clock,
    ) -> Context:
        """Return the context of a process that has just started.

        Parameters
        ----------
        settings
            The settings of this process.
        access
            The clients for the store and for the other entries.
        client
            The HTTP client for requests to upstreams and to other entries.
        clock
            The clock that all tasks of the process use.
        """
        loads = Loads()
        speeds = Speeds()
        quarantine = Quarantine()
        queueing = CallQueueing(loads)
        metrics = Metrics()
        fleet = Fleet((loads.forget, speeds.forget, queueing.limits.forget))
        return cls(
            settings,
            clock,
            access.rng,
            client,
            access.store,
            fleet,
            loads,
            speeds,
            quarantine,
            StrikeSharing(
                quarantine,
                access,
                settings.node,
                clock,
                metrics,
            ),
            LoadSharing(fleet, loads, metrics, access, settings, clock),
            metrics,
            StartupGate(),
            RequestRuns(),
            queueing,
        )

    @property
    def own_address(self) -> Address:
        """The address at which other processes reach this one."""
        return Address(ip=self.settings.ip, port=self.settings.first_port)

    @property
    def own_entry(self) -> EntryRecord:
        """The record by which other processes know this one."""
        return EntryRecord(
            self.own_address, self.settings.zone, self.settings.link_mbps
        )

    def own_record(
        self, record: JobRecord, *, replaces_owner: bool
    ) -> JobRecord:
        """Return the next record of a job, with this process as the owner.

        Parameters
        ----------
        record
            The record of the present owner.
        replaces_owner
            Whether that owner does not know that it is replaced.
        """
        former = (
            (*record.former, record.address)
            if replaces_owner
            else record.former
        )
        others = [one for one in former if one != self.own_address]
        return msgspec.structs.replace(
            record,
            owner=self.settings.node,
            address=self.own_address,
            term=record.term + 1,
            former=tuple(others[-_MAX_FORMER_OWNERS:]),
        )
