"""Messages between entry processes; ``codec`` writes them as bytes."""

from __future__ import annotations

from typing import Final, TypeAlias

import msgspec

from bergamotdoor.fleet.quarantine import Strike
from bergamotdoor.jobs.messages import ItemResult, JobRecord, JobSpec
from bergamotdoor.jobs.transcript import SavedTranscript
from bergamotdoor.peers.duty_messages import DutyHeld, UsageTold
from bergamotdoor.peers.news_messages import (
    HistoryGone,
    KindChanges,
    WatchKind,
)
from bergamotdoor.settings.document import Address
from bergamotdoor.types import ItemId, JobId, ModelId, Revision, WeightVersion

PEER_PATH: Final = '/peer'


class ReadResults(msgspec.Struct, frozen=True, tag=True):
    """Ask a job's owner for results; waits until there is one."""

    job: JobId
    after: int
    wait_ms: int


class ReadBody(msgspec.Struct, frozen=True, tag=True):
    """Ask a job's owner for the body of an item that is not listed."""

    job: JobId
    item: ItemId


class JobEnded(msgspec.Struct, frozen=True, tag=True):
    """Tell a job's owner that it was ended."""

    job: JobId


class AdoptJob(msgspec.Struct, frozen=True, tag=True):
    """Ask an entry to run a job whose record names it as the owner."""

    record: JobRecord
    revision: Revision
    spec: JobSpec


class TakeOver(msgspec.Struct, frozen=True, tag=True):
    """Ask an entry to run a job whose owner stops, with all that it has."""

    record: JobRecord
    #: Of the record.
    revision: Revision
    spec: JobSpec
    #: All that have positions, in their order.
    results: tuple[ItemResult, ...]
    #: The number of the first record that the owner does not know.
    next_number: int
    #: What items that are not listed have so far.
    partial: dict[ItemId, SavedTranscript]


class JobOwned(msgspec.Struct, frozen=True, tag=True):
    """Tell who owns a job, so that others need not ask the store."""

    job: JobId
    record: JobRecord
    model: ModelId


class EngineLoaded(msgspec.Struct, frozen=True, tag=True):
    """Tell that an engine has taken a version of a model.

    Told to an entry near the engine, which passes it on once to the one
    that runs the model's jobs.
    """

    engine: Address
    model: ModelId
    version: WeightVersion
    passed_on: bool = False


class StrikesLearned(msgspec.Struct, frozen=True, tag=True):
    """Tell which upstreams ended under which requests."""

    strikes: tuple[Strike, ...]


class StoreCall(msgspec.Struct, frozen=True, tag=True):
    """Ask for a call of the store from another VM."""

    method: str
    path: str
    body: bytes
    timeout_ms: int


PeerRequest: TypeAlias = (
    ReadResults
    | ReadBody
    | JobEnded
    | AdoptJob
    | TakeOver
    | JobOwned
    | EngineLoaded
    | StrikesLearned
    | StoreCall
    | UsageTold
    | DutyHeld
    | WatchKind
)


class ResultPage(msgspec.Struct, frozen=True, tag=True):
    """Results from the position that was asked for."""

    total: int
    results: tuple[ItemResult, ...]


class ItemBody(msgspec.Struct, frozen=True, tag=True):
    """The body of an item, None if it is listed or unknown."""

    body: bytes | None


class Done(msgspec.Struct, frozen=True, tag=True):
    """The message was taken."""


class NotOwner(msgspec.Struct, frozen=True, tag=True):
    """The process that was asked does not run the job."""


class NotKnown(msgspec.Struct, frozen=True, tag=True):
    """The process runs the job and cannot tell now; it lives."""


class StoreReply(msgspec.Struct, frozen=True, tag=True):
    """What came of a call of the store; no status where none came."""

    status: int | None
    body: bytes
    #: Whether the call may have been done, or may be done later.
    unclear: bool = False


PeerReply: TypeAlias = (
    ResultPage
    | ItemBody
    | Done
    | NotOwner
    | NotKnown
    | StoreReply
    | KindChanges
    | HistoryGone
)
