"""What the trainers' interface is made of."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

from bergamotdoor.clock import Clock
from bergamotdoor.entry.interfaces import ConfigurationView, OrderRunner
from bergamotdoor.entry.steps_board import BatchBoard
from bergamotdoor.store.protocols import ObjectStore, WeightStore

if TYPE_CHECKING:
    from bergamotdoor.types import (
        ServiceId,
        StepId,
        TrainerId,
        WeightVersion,
    )


class TrainerHints(Protocol):
    """Passes news on to owners, here or at other entries.

    A hint that is lost costs an owner's next scan, nothing more.
    """

    def step_changed(self, trainer: TrainerId, step: StepId) -> None:
        """Tell that a step was put, acked, or its batch grew too old."""

    def version_published(
        self, service: ServiceId, version: WeightVersion
    ) -> None:
        """Tell that a version was published."""


class TrainerParts(msgspec.Struct, frozen=True, kw_only=True):
    """What the trainers' interface is made of.

    Parameters
    ----------
    store, weight_store
        The platform; None where engines load weights from elsewhere.
    board
        Shared with this entry's owner of steps.
    configuration
        What is in force.
    orders
        Knows the engines' load reports, and with them their versions.
    hints
        Where news goes.
    clock
        Reads the time.
    """

    store: ObjectStore
    weight_store: WeightStore | None
    board: BatchBoard
    configuration: ConfigurationView
    orders: OrderRunner
    hints: TrainerHints
    clock: Clock
