"""Messages of agents about the weights of their engines."""

from __future__ import annotations

import msgspec

from bergamotdoor.settings.document import Address
from bergamotdoor.types import ModelId, WeightVersion


class LoadAnnounced(msgspec.Struct, frozen=True, tag=True):
    """Notification that an engine is about to load a version of a model.

    An agent sends it to an entry near the engine, which forwards it once to
    the entry that runs the model's jobs; ``passed_on`` marks that copy.
    """

    engine: Address
    model: ModelId
    version: WeightVersion
    passed_on: bool = False


class EngineLoaded(msgspec.Struct, frozen=True, tag=True):
    """Notification that an engine has loaded a version of a model.

    An agent sends it to an entry near the engine, which forwards it once to
    the entry that runs the model's jobs; ``passed_on`` marks that copy.
    """

    engine: Address
    model: ModelId
    version: WeightVersion
    passed_on: bool = False
