"""What is learned and counted when an item's run ends."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Final

from bergamotdoor.jobs.board import RunEnd
from bergamotdoor.jobs.messages import ItemResult
from bergamotdoor.observe.events import Counted
from bergamotdoor.observe.metrics import Stage

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.entry.context import Context
    from bergamotdoor.steps.item_request import ItemRun

_ENDS: Final = MappingProxyType(
    {
        RunEnd.REFUSED: Counted.ITEM_REFUSED,
        RunEnd.REPLACED: Counted.ITEM_REFUSED,
        RunEnd.TOO_OLD: Counted.ITEM_STALE,
        RunEnd.OUTDATED: Counted.ITEM_STALE,
        RunEnd.IMPOSSIBLE: Counted.ITEM_LOST,
    }
)


def note_outcome(
    context: Context,
    run: ItemRun,
    end: ItemResult | RunEnd,
    took: dt.timedelta,
) -> None:
    """Take how a run ended into loads, fleet and metrics."""
    _learn(context, run, end)
    _count(context, run, end, took)


def _count(
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
        context.metrics.count(_ENDS.get(end, Counted.ITEM_BROKEN), service)


def _learn(context: Context, run: ItemRun, end: ItemResult | RunEnd) -> None:
    upstream = run.upstream.upstream
    load = context.loads.of(upstream)
    now = context.clock.elapsed()
    if isinstance(end, ItemResult):
        load.succeeded()
    elif end is RunEnd.REFUSED:
        load.refused(now)
    elif end is RunEnd.REPLACED:
        context.fleet.replaced(upstream)
    elif end in {RunEnd.BROKEN, RunEnd.FAILED}:
        load.failed(now)
