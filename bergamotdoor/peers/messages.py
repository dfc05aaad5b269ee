"""Messages between entry processes; ``codec`` writes them as bytes."""

from __future__ import annotations

from typing import Final, TypeAlias

import msgspec

from bergamotdoor.fleet.quarantine import Strike
from bergamotdoor.jobs.messages import ItemResult, JobRecord, JobSpec
from bergamotdoor.jobs.transcript import SavedTranscript
from bergamotdoor.peers.demand_messages import DemandTold, PacesKnown
from bergamotdoor.peers.directory import EntryRecord
from bergamotdoor.peers.duty_messages import DutyHeld, UsageTold
from bergamotdoor.peers.load_messages import LoadTold
from bergamotdoor.peers.news_messages import (
    HistoryGone,
    KindChanges,
    WatchKind,
)
from bergamotdoor.peers.weight_messages import EngineLoaded, LoadAnnounced
from bergamotdoor.types import (
    ItemId,
    JobId,
    ModelId,
    NodeId,
    Revision,
)

PEER_PATH: Final = '/peer'
NO_MODEL: Final = ModelId('')


class ReadResults(msgspec.Struct, frozen=True, tag=True):
    """Request for results of a job, sent to its owner.

    The owner replies once there is a result, or when the wait is over.
    """

    job: JobId
    after: int
    wait_ms: int


class ReadBody(msgspec.Struct, frozen=True, tag=True):
    """Request for the body of an item that has no listed result yet.

    It is sent to the owner of the job.
    """

    job: JobId
    item: ItemId


class JobEnded(msgspec.Struct, frozen=True, tag=True):
    """Notification to a job's owner that the job was ended."""

    job: JobId


class AdoptJob(msgspec.Struct, frozen=True, tag=True):
    """Request to run a job whose record names the receiver as the owner."""

    record: JobRecord
    revision: Revision
    spec: JobSpec


class TakeOver(msgspec.Struct, frozen=True, tag=True):
    """Request to run a job whose owner stops, with the owner's full state."""

    record: JobRecord
    #: Revision of the record.
    revision: Revision
    spec: JobSpec
    #: All results that have positions, in the order of their positions.
    results: tuple[ItemResult, ...]
    #: Number of the first result record that the owner does not know.
    next_number: int
    #: Partial transcripts of the items that have no listed result yet.
    partial: dict[ItemId, SavedTranscript]


class JobOwned(msgspec.Struct, frozen=True, tag=True):
    """Notification of who owns a job.

    It saves the receivers a store read, and stops a former owner.
    """

    job: JobId
    record: JobRecord
    #: Model of a job that was just submitted; ``NO_MODEL`` for a job that was
    #: taken over, which need not be the newest one of its model.
    model: ModelId
    #: Revision of the record; 0 if an earlier release sent the message.
    revision: Revision = Revision(0)


class JobUnclear(msgspec.Struct, frozen=True, tag=True):
    """Notification that a job may be in the store, or may still get there.

    The receivers don't promise a client that nothing of the job runs.
    """

    job: JobId


class StrikesLearned(msgspec.Struct, frozen=True, tag=True):
    """Notification of upstreams that ended and the requests they ran."""

    strikes: tuple[Strike, ...]


class AskStrikes(msgspec.Struct, frozen=True, tag=True):
    """Request of an entry that has started for all strikes.

    The receiver knows the sender from then on.
    """

    node: NodeId
    entry: EntryRecord


class StoreCall(msgspec.Struct, frozen=True, tag=True):
    """Request to make a call to the store from the receiver's VM."""

    method: str
    path: str
    body: bytes
    timeout_ms: int
    #: The sender, and the job and the request that it handles, for logs;
    #: empty if an earlier release sent the message.
    sender: str = ''
    job: str = ''
    request: str = ''


PeerRequest: TypeAlias = (
    ReadResults
    | ReadBody
    | JobEnded
    | AdoptJob
    | TakeOver
    | JobOwned
    | JobUnclear
    | EngineLoaded
    | LoadAnnounced
    | StrikesLearned
    | AskStrikes
    | StoreCall
    | UsageTold
    | DutyHeld
    | LoadTold
    | WatchKind
    | DemandTold
)


class ResultPage(msgspec.Struct, frozen=True, tag=True):
    """Results from the requested position on."""

    total: int
    results: tuple[ItemResult, ...]


class ItemBody(msgspec.Struct, frozen=True, tag=True):
    """The body of an item; ``None`` if it is unknown or its result listed."""

    body: bytes | None


class Done(msgspec.Struct, frozen=True, tag=True):
    """The message was accepted."""


class NotOwner(msgspec.Struct, frozen=True, tag=True):
    """The process that received the request does not run the job."""


class NotKnown(msgspec.Struct, frozen=True, tag=True):
    """The process is alive, but cannot answer the request now.

    In reply to ``ReadResults`` it also means that the process runs the job.
    """


class StoreReply(msgspec.Struct, frozen=True, tag=True):
    """The store's answer to a relayed call."""

    #: HTTP status of the answer; ``None`` if the store did not answer.
    status: int | None
    body: bytes
    #: Whether the call may have taken effect, or may do so later.
    unclear: bool = False
    #: What came of the call, for the sender's logs; empty if it succeeded, or
    #: if an earlier release sent the reply.
    detail: str = ''
    #: Whether a rejection is that of every attempt at the call. Earlier
    #: releases tell the rejection of the last attempt.
    covers_all_attempts: bool = False


PeerReply: TypeAlias = (
    ResultPage
    | ItemBody
    | Done
    | NotOwner
    | NotKnown
    | StoreReply
    | KindChanges
    | HistoryGone
    | PacesKnown
    | StrikesLearned
)
