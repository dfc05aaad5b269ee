"""Batch jobs, their items and results, as stored and sent."""

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
    """Request that scores an item's text, sent once the text is complete.

    It may run more than once.
    """

    request_id: str
    host: str
    path: str
    body: bytes


class ItemSpec(msgspec.Struct, frozen=True):
    """Request of a batch job for tokens, as the trainer specified it."""

    item: ItemId
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    #: The items of a group share their prompt.
    group: GroupId
    #: The trainer's estimate of the text's length, in tokens; 0 if it gave
    #: none.
    expected_tokens: int = 0
    #: Maximum length of the text, in tokens; 0 if it is not known.
    most_tokens: int = 0
    #: ``None`` if the text needs no score.
    score_call: ScoreCall | None = None


class JobSpec(msgspec.Struct, frozen=True):
    """Batch job as submitted; never changes."""

    job: JobId
    #: Host and path of the submission. They select the route of the job, and
    #: its items are sent with this host.
    host: str
    path: str
    model: ModelId
    #: The oldest weight version whose tokens the trainer accepts.
    min_version: WeightVersion
    items: tuple[ItemSpec, ...]
    #: How many complete groups the trainer waits for.
    target_groups: int = 0
    #: Client account of the job; empty if it has none.
    account: AccountId = AccountId('')


class ItemState(enum.Enum):
    """Final state of an item."""

    #: The item has a text, and a score if it needs one.
    COMPLETED = 'completed'
    #: The item has no text or no score, and is not tried again.
    LOST = 'lost'


class ItemResult(msgspec.Struct, frozen=True):
    """Final state of an item, with its text and score."""

    item: ItemId
    state: ItemState
    text: str = ''
    #: Every weight version that generated a part of the text.
    versions: tuple[WeightVersion, ...] = ()
    #: Proof of the scoring service's answer; empty without a score call.
    score: str = ''


class ResultRecord(msgspec.Struct, frozen=True):
    """Results that are stored together, under one record number.

    ``writer`` is a new random value for each record. If the answer to a call
    that stored the record was lost, a writer that finds the number taken can
    tell from it whether the stored record is its own.
    """

    writer: str
    results: tuple[ItemResult, ...]


class JobRecord(msgspec.Struct, frozen=True):
    """Owner of a job, and how the job's body is stored."""

    owner: NodeId
    #: Address at which other processes reach the owner.
    address: Address
    #: Number of the ownership term; each takeover raises it.
    term: int
    #: Number of objects that hold the job's body.
    parts: int
    #: Client account of the job; empty if it has none.
    account: AccountId = AccountId('')
    #: Addresses of former owners that may not know that they were replaced,
    #: the last ones.
    former: tuple[Address, ...] = ()


class JobStatus(msgspec.Struct, frozen=True):
    """Whether a job has ended; an ended job never becomes active again."""

    ended: bool = False
