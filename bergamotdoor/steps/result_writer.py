"""Stores the results of a job that this process runs."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.jobs.listing import holds
from bergamotdoor.steps.job_run import RunState
from bergamotdoor.steps.target import target_of

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.jobs.listing import Target
    from bergamotdoor.jobs.messages import ItemResult
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.types import GroupId

#: Results that finish within this go into one record: each record costs a
#: call of the store and reaches readers some milliseconds later.
_GATHER_MS: Final = 60
GATHER: Final = dt.timedelta(milliseconds=_GATHER_MS)
#: Room in an object of a megabyte, texts escaped.
RECORD_BYTES: Final = 400_000
_NONCE_BITS: Final = 64
_NO_GROUPS: Final[frozenset[GroupId]] = frozenset()

_log = logging.getLogger('bergamotdoor.gateway')


class ResultWriter:
    """Gives results their positions.

    Parameters
    ----------
    run
        Whose results.
    context
        The time, and chance, which tells this process's records from
        others'.
    again
        Groups of the job that came again from an earlier one.
    """

    def __init__(
        self,
        run: JobRun,
        context: Context,
        again: frozenset[GroupId] = _NO_GROUPS,
    ) -> None:
        self._run = run
        self._again = again
        self._context = context

    async def run(self) -> None:
        """Store results as groups become whole, until all are listed."""
        run = self._run
        while not run.complete:
            await run.finished.wait()
            began = self._context.clock.elapsed()
            if run.state is not RunState.RUNNING:
                return
            if run.items.board.open_items:
                await self._hold()
            run.finished.clear()
            await self._store_finished()
            self._log_listed(began)

    async def _hold(self) -> None:
        """Wait for what readers should get together with what is whole."""
        run = self._run
        clock = self._context.clock
        began = clock.elapsed()
        held = dt.timedelta()
        await clock.sleep(GATHER)
        while holds(self._target, held, run.due_at - clock.elapsed()):
            await clock.sleep(GATHER)
            if run.state is not RunState.RUNNING:
                return
            held = clock.elapsed() - began

    @property
    def _target(self) -> Target:
        return target_of(self._run, self._again)

    def _log_listed(self, began: dt.timedelta) -> None:
        run = self._run
        _log.info(
            'gateway: job %s: %d results listed in %d ms, target %s',
            run.spec.job,
            len(run.ledger),
            utils.to_ms(self._context.clock.elapsed() - began),
            'reached' if self._target.reached else 'not reached',
        )

    async def _store_finished(self) -> None:
        """Store what is whole; tell readers once all of it is listed.

        Failure: results of some hundred kB go into several records, and the
        first one wakes a reader. Symptom: it gets a part of what ends the
        step, and the rest half a second later.
        """
        run = self._run
        while run.items.board.has_finished:
            batch = run.items.board.take_finished(RECORD_BYTES)
            await self._append(batch)
        run.announce()

    async def _append(self, batch: tuple[ItemResult, ...]) -> None:
        """List a batch behind whatever is listed already."""
        run = self._run
        while True:
            nonce = self._context.rng.getrandbits(_NONCE_BITS)
            writer = str(nonce)
            listed = await run.sync.add(writer, batch)
            if listed is None:
                return
            run.take_results(listed.results)
            if listed.writer == writer:
                return
            _log.info(
                'gateway: job %s: another process listed %d results',
                run.spec.job,
                len(listed.results),
            )
