"""A demo: a deployment under load, with one fault after another."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from lab.faults import Fault, Faults
from lab.play import Outcome, play

if TYPE_CHECKING:
    from lab.deployment import Size

#: The faults in their order; each is over before the next one begins.
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
_FAULT_PAUSE_S: Final = 1


async def demo(seed: int, size: Size) -> Outcome:
    """Run the demo and print each fault."""
    print('callers and a trainer are at work')
    return await play(seed, size, _apply_in_order)


async def _apply_in_order(faults: Faults) -> None:
    for fault in STORY:
        await asyncio.sleep(_FAULT_PAUSE_S)
        print(f'- {fault.value}', flush=True)
        await faults.apply(fault)
    print('the faults are over; waiting until every step is whole')
