"""The fault soak: the real programs under random faults, from a seed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lab.faults import RANDOM
from lab.play import Outcome, play

if TYPE_CHECKING:
    from lab.deployment import Size
    from lab.faults import Fault


async def soak(
    seed: int,
    seconds: float,
    size: Size,
    kinds: tuple[Fault, ...] = RANDOM,
) -> Outcome:
    """Run a deployment under faults drawn from `seed`.

    Parameters
    ----------
    seed
        Draws everything but the timing of the machine.
    seconds
        How long faults come.
    size
        How many entries, engines and services.
    kinds
        Which faults are drawn.
    """
    return await play(seed, size, lambda faults: faults.run(seconds, kinds))
