"""Batch jobs, their items and results."""

from __future__ import annotations

import enum

import msgspec

from bergamotdoor.settings.document import Address
from bergamotdoor.types import (
    AccountId,
    GroupId,
    ItemId,
    JobId,
    ModelId,
    NodeId,
    WeightVersion,
)


class ScoreCall(msgspec.Struct, frozen=True):
    """The call that scores an item's text, sent once the text is whole.

    It may run more than once.
    """

    request_id: str
    host: str
    path: str
    body: bytes


class ItemSpec(msgspec.Struct, frozen=True):
    """One request for tokens, as the trainer wants it sent."""

    item: ItemId
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: Items of one group share their prompt.
    group: GroupId
    #: The trainer's guess at the length, in tokens; 0 is none.
    expected_tokens: int = 0
    #: The most it may have, in tokens; 0 is not told.
    most_tokens: int = 0
    #: None where texts are taken as they are.
    score_call: ScoreCall | None = None


class JobSpec(msgspec.Struct, frozen=True):
    """A batch job as it was handed in; never changes."""

    job: JobId
    #: Which route it came in by, and goes out by.
    host: str
    path: str
    model: ModelId
    #: The oldest version whose tokens the trainer takes.
    min_version: WeightVersion
    items: tuple[ItemSpec, ...]
    #: How many whole groups the trainer waits for.
    target_groups: int = 0
    #: Whose job it is; empty is nobody's.
    account: AccountId = AccountId('')


class ItemState(enum.Enum):
    """How an item ended."""

    COMPLETED = 'completed'
    LOST = 'lost'


class ItemResult(msgspec.Struct, frozen=True):
    """What became of an item."""

    item: ItemId
    state: ItemState
    text: str = ''
    #: Every version that generated a part of the text.
    versions: tuple[WeightVersion, ...] = ()
    #: The scoring service's proof of its answer; empty without a score call.
    score: str = ''


class ResultRecord(msgspec.Struct, frozen=True):
    """Results that were stored together, under one number.

    ``writer`` is drawn anew for each record: who finds the number taken
    can tell whether it was by its own call, whose answer was lost.
    """

    writer: str
    results: tuple[ItemResult, ...]


class JobRecord(msgspec.Struct, frozen=True):
    """Who runs a job, and how its body is stored."""

    owner: NodeId
    #: Where other processes reach the owner.
    address: Address
    #: Raised by each takeover.
    term: int
    parts: int
    #: Whose job it is; empty is nobody's.
    account: AccountId = AccountId('')


class JobStatus(msgspec.Struct, frozen=True):
    """Whether a job's work is over; never taken back."""

    ended: bool = False
