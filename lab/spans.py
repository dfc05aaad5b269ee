"""Durations of faults."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import random

#: Retries cover the shortest faults; only a takeover covers the longest ones.
_SHORTEST_S: Final = 0.2
_LONGEST_S: Final = 3


def span_s(rng: random.Random) -> float:
    """Return a random duration of a fault in seconds."""
    return rng.uniform(_SHORTEST_S, _LONGEST_S)
