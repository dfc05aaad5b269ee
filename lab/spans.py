"""How long faults last."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random

#: From what a retry covers up to what only a takeover does.
_SHORTEST_S: Final = 0.2
_LONGEST_S: Final = 3


def span_s(rng: random.Random) -> float:
    """Draw how long a fault lasts, in seconds."""
    return rng.uniform(_SHORTEST_S, _LONGEST_S)
