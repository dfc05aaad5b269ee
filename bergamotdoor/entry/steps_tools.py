"""What the runs of all steps of a trainer share."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from bergamotdoor.clock import Clock
from bergamotdoor.entry.interfaces import CallRunner
from bergamotdoor.entry.steps_board import BatchBoard
from bergamotdoor.entry.steps_records import StepRecords
from bergamotdoor.samples.freshness import Publications
from bergamotdoor.samples.pacing import RandomSource


class StepTools(msgspec.Struct, frozen=True):
    """What the runs of all steps share."""

    records: StepRecords
    board: BatchBoard
    runner: CallRunner
    clock: Clock
    rng: RandomSource
    publications: Publications
    #: Prefixes of run ids, each used by one assembly only.
    namespaces: Iterator[str]


class StepView(msgspec.Struct, frozen=True):
    """Where a step stands, for dumps."""

    step: int
    samples: int
    unfinished: int
    in_flight: int
    attempt: int
    committed: bool
    current_version: int
