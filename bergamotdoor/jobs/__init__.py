"""Decisions about batch jobs, without I/O.

They cover the order in which items run, the engine of each item, moves
between engines, score calls, and the positions and listing of results.

A job contains the items of one step of a trainer. The items of a group share
their prompt, and a group is complete once each of its items has a result. A
result is listed once it is stored under its position, where readers find it.
"""

from __future__ import annotations

from bergamotdoor.jobs.item_lengths import ItemLengths
from bergamotdoor.jobs.item_queue import ItemQueue, QueuedItem, RunEnd
from bergamotdoor.jobs.ledger import Ledger
from bergamotdoor.jobs.messages import ItemResult, ItemState, JobSpec
from bergamotdoor.jobs.moves import (
    Move,
    MoveReason,
    PendingLoads,
    choose_moves,
)
from bergamotdoor.jobs.placement import (
    ItemToPlace,
    free_slots,
    has_faster,
    place_item,
    short_time_s,
)
from bergamotdoor.jobs.progress import Progress, Speeds
from bergamotdoor.jobs.reservations import Reservations
from bergamotdoor.jobs.scoring import ScoreEnd, ScoreQueue, free_score_slots
from bergamotdoor.jobs.transcript import GeneratedEvent, Transcript

__all__ = (
    'GeneratedEvent',
    'ItemLengths',
    'ItemResult',
    'ItemState',
    'ItemToPlace',
    'ItemQueue',
    'JobSpec',
    'Ledger',
    'Move',
    'MoveReason',
    'PendingLoads',
    'Progress',
    'Reservations',
    'RunEnd',
    'ScoreEnd',
    'ScoreQueue',
    'QueuedItem',
    'Speeds',
    'Transcript',
    'free_slots',
    'has_faster',
    'choose_moves',
    'place_item',
    'short_time_s',
    'free_score_slots',
)
