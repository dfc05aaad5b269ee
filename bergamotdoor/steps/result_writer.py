"""Stores the results of a job that this process owns."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.jobs.listing import should_hold
from bergamotdoor.steps.job_run import RunState
from bergamotdoor.steps.target import target_of

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.jobs.listing import Target
    from bergamotdoor.jobs.messages import ItemResult
    from bergamotdoor.steps.job_run import JobRun
    from bergamotdoor.types import GroupId

#: Results that finish within this time go into one record. Each record costs
#: a call of the store and reaches readers some milliseconds later.
_BATCH_WINDOW_MS: Final = 60
BATCH_WINDOW: Final = dt.timedelta(milliseconds=_BATCH_WINDOW_MS)
#: The most text in a record: with all escapes it fits into an object of the
#: store, which may have a megabyte.
MAX_RECORD_BYTES: Final = 400_000
_NONCE_BITS: Final = 64
_NO_GROUPS: Final[frozenset[GroupId]] = frozenset()

_log = logging.getLogger('bergamotdoor.gateway')


class ResultWriter:
    """Task that lists a job's results: stores them, which gives positions.

    Parameters
    ----------
    run
        The job.
    context
        Services of the process: its clock, and random numbers that identify
        the records of this process.
    resubmitted_groups
        Groups of the job that an earlier job had as well.
    """

    def __init__(
        self,
        run: JobRun,
        context: Context,
        resubmitted_groups: frozenset[GroupId] = _NO_GROUPS,
    ) -> None:
        self._run = run
        self._resubmitted_groups = resubmitted_groups
        self._context = context

    async def run(self) -> None:
        """Store the results of complete groups until every item is listed."""
        run = self._run
        while not run.complete:
            await run.results_ready.wait()
            started_at = self._context.clock.elapsed()
            if run.state is not RunState.RUNNING:
                return
            if run.items.item_queue.open_items:
                await self._wait_for_batch()
            run.results_ready.clear()
            await self._store_finished()
            self._log_listed(started_at)

    async def _wait_for_batch(self) -> None:
        """Wait for results that readers should get in the same page.

        The wait ends when the results need not be held back any longer.
        """
        run = self._run
        clock = self._context.clock
        started_at = clock.elapsed()
        held = dt.timedelta()
        await clock.sleep(BATCH_WINDOW)
        while should_hold(self._target, held, run.due_at - clock.elapsed()):
            await clock.sleep(BATCH_WINDOW)
            if run.state is not RunState.RUNNING:
                return
            held = clock.elapsed() - started_at

    @property
    def _target(self) -> Target:
        return target_of(self._run, self._resubmitted_groups)

    def _log_listed(self, started_at: dt.timedelta) -> None:
        run = self._run
        _log.info(
            'gateway: job %s: %d results listed in %d ms, target %s',
            run.spec.job,
            len(run.ledger),
            utils.to_ms(self._context.clock.elapsed() - started_at),
            'reached' if self._target.is_reached else 'not reached',
        )

    async def _store_finished(self) -> None:
        """Store finished results, then notify readers of all of them at once.

        Failure: results of some hundred kB go into several records, and the
        first record wakes a reader. Symptom: the reader gets a part of the
        results that complete the training step, and the rest half a second
        later.
        """
        run = self._run
        while run.items.item_queue.has_results_to_store:
            batch = run.items.item_queue.pop_results_to_store(MAX_RECORD_BYTES)
            await self._list_batch(batch)
        run.notify_readers()

    async def _list_batch(self, batch: tuple[ItemResult, ...]) -> None:
        """Append a batch to the ledger, after the records of other owners."""
        run = self._run
        while True:
            nonce = self._context.rng.getrandbits(_NONCE_BITS)
            writer = str(nonce)
            listed = await run.ledger_sync.append_batch(writer, batch)
            if listed is None:
                return
            run.apply_listed_results(listed.results)
            if listed.writer == writer:
                return
            _log.info(
                'gateway: job %s: another process listed %d results',
                run.spec.job,
                len(listed.results),
            )
