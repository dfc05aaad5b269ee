"""Stores the results of a job that this process runs."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor.steps.job_run import RunState

if TYPE_CHECKING:
    import random

    from bergamotdoor.jobs.messages import ItemResult
    from bergamotdoor.steps.job_run import JobRun

#: Results that finish within this go into one record: each record costs a
#: call of the store and reaches readers some milliseconds later.
GATHER_S: Final = 0.06
#: Room in an object of a megabyte, texts escaped.
RECORD_BYTES: Final = 400_000
_NONCE_BITS: Final = 64

_log = logging.getLogger('bergamotdoor.gateway')


class ResultWriter:
    """Gives results their positions.

    Parameters
    ----------
    run
        Whose results.
    rng
        Tells this process's records from others'.
    """

    def __init__(self, run: JobRun, rng: random.Random) -> None:
        self._run = run
        self._rng = rng

    async def run(self) -> None:
        """Store results as groups become whole, until all are listed."""
        run = self._run
        while not run.complete:
            await run.finished.wait()
            if run.state is not RunState.RUNNING:
                return
            if run.items.board.open_items:
                await asyncio.sleep(GATHER_S)
            run.finished.clear()
            await self._store_finished()

    async def _store_finished(self) -> None:
        run = self._run
        while run.items.board.has_finished:
            batch = run.items.board.take_finished(RECORD_BYTES)
            await self._append(batch)

    async def _append(self, batch: tuple[ItemResult, ...]) -> None:
        """List a batch behind whatever is listed already."""
        run = self._run
        while True:
            nonce = self._rng.getrandbits(_NONCE_BITS)
            writer = str(nonce)
            listed = await run.sync.add(writer, batch)
            if listed is None:
                return
            run.take_listed(listed.results)
            if listed.writer == writer:
                return
            _log.info(
                'gateway: job %s: another process listed %d results',
                run.spec.job,
                len(listed.results),
            )
