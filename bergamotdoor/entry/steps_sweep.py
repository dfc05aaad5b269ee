"""Clears the objects of steps that are acknowledged or left behind."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from bergamotdoor.entry.steps_records import BATCH, PART, STEP
from bergamotdoor.store.protocols import StoreFailure

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bergamotdoor.entry.steps_records import StepRecords
    from bergamotdoor.types import StepId, TrainerId

# The step goes last: as long as it is listed, a sweep that was broken off
# is taken up again. Parts include those of owners that lost a race.
_KINDS: Final = (PART, BATCH, STEP)


async def sweep(
    records: StepRecords, trainer: TrainerId, acked: StepId
) -> bool:
    """Delete what steps up to `acked` left; False if some of it stays.

    The progress already says that these steps are over, so nothing that
    is deleted here, or written late by an owner that was paused, can be
    handed over again.
    """
    for kind in _KINDS:
        names = await records.store.names(kind, f'{trainer}.')
        if isinstance(names, StoreFailure):
            return False
        for name in _past(names, trainer, acked):
            if await records.clear(kind, name) is not None:
                return False
    return True


def _past(
    names: tuple[str, ...], trainer: TrainerId, acked: StepId
) -> Iterator[str]:
    """Yield the names of objects of steps up to `acked`."""
    for name in names:
        number, _, rest = name.removeprefix(f'{trainer}.').partition('.')
        if number.isdecimal() and int(number) <= acked:
            yield name
