"""Updates loads, fleet and metrics when the run of an item ends."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from bergamotdoor.jobs.item_queue import RunEnd
from bergamotdoor.jobs.messages import ItemResult
from bergamotdoor.observe.events import Counted
from bergamotdoor.observe.metrics import Stage

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.entry.context import Context
    from bergamotdoor.steps.item_request import ItemRun

#: Counters of runs that gave no text; all other ends count as broken.
_END_COUNTERS: Final = MappingProxyType(
    {
        RunEnd.REFUSED: Counted.ITEM_REFUSED,
        RunEnd.REPLACED: Counted.ITEM_REFUSED,
        RunEnd.TOO_OLD: Counted.ITEM_STALE,
        RunEnd.OUTDATED: Counted.ITEM_STALE,
        RunEnd.IMPOSSIBLE: Counted.ITEM_LOST,
    }
)


def record_outcome(
    context: Context,
    run: ItemRun,
    end: ItemResult | RunEnd,
    took: dt.timedelta,
) -> None:
    """Record the end of an item's run in loads, fleet and metrics.

    Parameters
    ----------
    context
        Services of the process.
    run
        The run that ended.
    end
        The result, or the reason why there is none.
    took
        Duration of the run.
    """
    _update_load(context, run, end)
    _count_end(context, run, end, took)


def _count_end(
    context: Context,
    run: ItemRun,
    end: ItemResult | RunEnd,
    took: dt.timedelta,
) -> None:
    service = run.upstream.service
    if isinstance(end, ItemResult):
        context.metrics.record(Stage.UPSTREAM, took, service)
        context.metrics.count(Counted.ITEM_COMPLETED, service)
    else:
        context.metrics.count(
            _END_COUNTERS.get(end, Counted.ITEM_BROKEN), service
        )


def _update_load(
    context: Context, run: ItemRun, end: ItemResult | RunEnd
) -> None:
    upstream = run.upstream.upstream
    load = context.loads.of(upstream)
    now = context.clock.elapsed()
    if isinstance(end, ItemResult):
        load.record_success()
    elif end is RunEnd.REFUSED:
        load.record_refusal(now)
    elif end is RunEnd.REPLACED:
        context.fleet.remove_replaced(upstream)
    elif end in {RunEnd.UNREACHED, RunEnd.BROKEN, RunEnd.FAILED}:
        load.record_failure(now)
