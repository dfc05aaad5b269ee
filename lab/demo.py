"""A short tour: a deployment at work while things go wrong in turn."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from lab.faults import Fault, Faults
from lab.play import Outcome, play

if TYPE_CHECKING:
    from lab.deployment import Size

#: What goes wrong, in this order; each is over before the next one.
STORY: Final = (
    Fault.MANIFEST,
    Fault.STOP,
    Fault.KILL,
    Fault.ENGINE_SLOW,
    Fault.STORE_AWAY,
    Fault.STORE_LINK,
    Fault.UPSTREAM_REPLACED,
    Fault.UPSTREAM_RESET,
)
_PAUSE_S: Final = 1


async def demo(seed: int, size: Size) -> Outcome:
    """Play the tour, telling what happens."""
    print('callers and a trainer are at work')
    return await play(seed, size, _tell)


async def _tell(faults: Faults) -> None:
    for fault in STORY:
        await asyncio.sleep(_PAUSE_S)
        print(f'- {fault.value}', flush=True)
        await faults.apply(fault)
    print('the faults are over; waiting until every step is whole')
