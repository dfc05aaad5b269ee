"""Queue and state of the items of one batch job.

Load pattern: the items of a step arrive together, and they are more than
the engines have slots. The trainer can only use complete groups. Items
start in the order that the forecast of all open jobs gives them. Until there
is one, they start in the order of the job, where the items of a group are
adjacent and groups that were resubmitted from an earlier job are first, and
items that are expected to be long start before all others. An item that has
to run again keeps its place; one that moves to another engine starts first.
"""

from __future__ import annotations

import enum
import heapq
from collections import Counter
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.jobs.messages import ItemResult, ItemSpec, ItemState
from bergamotdoor.types import UpstreamId

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Iterator, Mapping

    from bergamotdoor.jobs.ledger import Ledger
    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.types import GroupId, ItemId

#: Pauses before an item runs again, by the number of its failed runs so far.
#: An engine can fail on an item within milliseconds: without pauses, one
#: fault would use up all attempts.
_RETRY_PAUSES_S: Final = (0, 0.1, 0.3, 0.6)

#: Order of an item that moves to another engine: before all other items.
_MOVED_ITEM_ORDER: Final = -1

#: An item counts as long if its expected length is more than this multiple
#: of the mean expected length of the job's items.
LONG_RATIO: Final = 1.5


class RunEnd(enum.Enum):
    """Reason why a run of an item ended without a text."""

    #: The engine did not run the item: the engine is full, loads weights or
    #: is another incarnation.
    REFUSED = 'refused'
    #: Another incarnation answers at the address of the engine.
    REPLACED = 'replaced'
    #: No connection to the engine was opened, so it did not get the item.
    UNREACHED = 'unreached'
    #: The connection or the stream broke.
    BROKEN = 'broken'
    #: The engine answered that the run failed.
    FAILED = 'failed'
    #: No engine can ever run the item.
    IMPOSSIBLE = 'impossible'
    #: The job's owner stopped the run, to continue it at another engine.
    MOVED = 'moved'
    #: The engine's weights are older than the job's minimum version. The
    #: item's text has no events from this run.
    OUTDATED = 'outdated'
    #: The text was generated under weight versions that the job does not
    #: accept.
    TOO_OLD = 'too-old'


_NO_FAILURES: Final[Mapping[ItemId, int]] = MappingProxyType({})
#: Ends after which an item continues at another engine, if there is one.
_AVOID_AFTER: Final = frozenset(
    (RunEnd.FAILED, RunEnd.UNREACHED, RunEnd.BROKEN, RunEnd.MOVED)
)


class QueuedItem(msgspec.Struct):
    """State of one item."""

    spec: ItemSpec
    #: Position in the start order; lower ones start first.
    order: int
    #: How many runs of the item are in progress.
    runs_in_progress: int = 0
    #: Whether the text is complete; it may still wait for its score.
    is_generated: bool = False
    #: How many runs the engines answered with a failure.
    failures: int = 0
    #: The upstream of the last run that broke, failed or moved, if any.
    avoid: frozenset[UpstreamId] = frozenset()
    result: ItemResult | None = None


class ItemQueue:
    """Items of one job that had no stored result at the start.

    Parameters
    ----------
    spec
        The job.
    ledger
        Results that are stored already. Their items do not run again.
    failures
        How many runs of an item failed at earlier owners of the job.
    """

    def __init__(
        self,
        spec: JobSpec,
        ledger: Ledger,
        failures: Mapping[ItemId, int] = _NO_FAILURES,
    ) -> None:
        #: Number of failed runs after which an item is lost; set from the
        #: job's route.
        self.max_failures = 1
        self._items: dict[ItemId, QueuedItem] = {}
        #: State of all items, for reading only.
        self.items = self._items.values()
        #: Heap of the items that may start now.
        self._waiting: list[tuple[int, ItemId]] = []
        #: Heap of the items that may start after a pause.
        self._delayed: list[tuple[dt.timedelta, int, ItemId]] = []
        #: Results of complete groups, to be stored.
        self._finished: list[ItemResult] = []
        #: Results of groups that are not complete yet.
        self._group_results: dict[GroupId, list[ItemResult]] = {}
        self._open_in_group: Counter[GroupId] = Counter()
        for order, item in enumerate(_long_items_first(spec.items)):
            if item.item not in ledger:
                self._items[item.item] = QueuedItem(
                    item, order, failures=failures.get(item.item, 0)
                )
                self._waiting.append((order, item.item))
                self._open_in_group[item.group] += 1
        #: The engine that has each group's prompt in its cache.
        self.prompt_upstreams: dict[GroupId, UpstreamId] = {}
        #: Number of items that have no result yet.
        self.open_items = len(self._items)

    @property
    def has_results_to_store(self) -> bool:
        """Whether results of complete groups wait to be stored.

        Results of an incomplete group are not stored. A trainer cannot use
        them, and a read that returned them would end before the next group
        is complete, so the trainer would get that group half a second later.
        """
        return bool(self._finished)

    def set_order(self, ranks: Mapping[ItemId, int]) -> None:
        """Set the places of open items in the start order.

        An item that moves to another engine still starts before all others,
        since a slot is reserved for it.

        Parameters
        ----------
        ranks
            Places by item; lower ones start first. Other items keep their
            place.
        """
        moved = {name for order, name in self._waiting if order < 0}
        for item, rank in ranks.items():
            self._items[item].order = rank
        orders = {
            name: _MOVED_ITEM_ORDER if name in moved else queued.order
            for name, queued in self._items.items()
        }
        self._waiting = [(orders[name], name) for _, name in self._waiting]
        heapq.heapify(self._waiting)
        self._delayed = [
            (until, orders[name], name) for until, _, name in self._delayed
        ]
        heapq.heapify(self._delayed)

    def next_item(self, now: dt.timedelta) -> QueuedItem | None:
        """Return the item that should start next, or ``None``.

        The item stays in the queue until ``start`` removes it.
        """
        _requeue_due_items(self._delayed, self._waiting, now)
        while self._waiting:
            queued = self._items[self._waiting[0][1]]
            if queued.result is None and not queued.is_generated:
                return queued
            heapq.heappop(self._waiting)
        return None

    def start(self, queued: QueuedItem) -> None:
        """Remove the first item from the queue and count its run."""
        first = heapq.heappop(self._waiting)
        assert first[1] == queued.spec.item, first
        queued.runs_in_progress += 1

    def mark_generated(self, item: ItemId) -> None:
        """Record that the text of an item is complete, without a score.

        The item does not run again.
        """
        queued = self._items[item]
        queued.runs_in_progress = max(queued.runs_in_progress - 1, 0)
        queued.is_generated = True

    def record_result(self, result: ItemResult) -> None:
        """Record the result of an item; ignore it if the item has one."""
        queued = self._items[result.item]
        queued.runs_in_progress = max(queued.runs_in_progress - 1, 0)
        if queued.result is None:
            self._group_results.setdefault(queued.spec.group, []).append(result)
            self._close(queued, result)

    def requeue_item(
        self, item: ItemId, end: RunEnd, upstream: UpstreamId, now: dt.timedelta
    ) -> None:
        """Queue an item again whose run ended without a text.

        The item is lost instead if it can never run, or if its runs have
        failed ``max_failures`` times.

        Parameters
        ----------
        item
            The item.
        end
            Why the run gave no text.
        upstream
            The upstream that the item ran at.
        now
            The monotonic time.
        """
        queued = self._items[item]
        queued.runs_in_progress = max(queued.runs_in_progress - 1, 0)
        if queued.result is not None:
            return
        if _is_lost_after(queued, end, self.max_failures):
            self.record_result(ItemResult(item, ItemState.LOST))
            return
        if end in _AVOID_AFTER:
            queued.avoid = frozenset((upstream,))
        pause_s = _RETRY_PAUSES_S[
            min(queued.failures, len(_RETRY_PAUSES_S) - 1)
        ]
        if pause_s:
            ready_at = now + type(now)(seconds=pause_s)
            heapq.heappush(self._delayed, (ready_at, queued.order, item))
        else:
            # A slot is reserved for an item that moves, so it starts first.
            order = _MOVED_ITEM_ORDER if end is RunEnd.MOVED else queued.order
            heapq.heappush(self._waiting, (order, item))

    def unfinished(self) -> Iterator[QueuedItem]:
        """Return the items without a result, in the order of the job."""
        return (one for one in self._items.values() if one.result is None)

    def open_in_group(self, group: GroupId) -> int:
        """Return how many items of a group have no result."""
        return self._open_in_group[group]

    def results_in_open_groups(self) -> Iterator[ItemResult]:
        """Return the results that wait for their group, lost ones included."""
        for results in self._group_results.values():
            yield from results

    def pop_results_to_store(self, limit_bytes: int) -> tuple[ItemResult, ...]:
        """Remove and return results of complete groups, to store together.

        Parameters
        ----------
        limit_bytes
            How much text the results may have together. The first result is
            returned whatever its size.
        """
        size_bytes = 0
        count = 0
        for result in self._finished:
            size_bytes += len(result.text.encode())
            if count and size_bytes > limit_bytes:
                break
            count += 1
        batch = tuple(self._finished[:count])
        self._finished = self._finished[count:]
        return batch

    def mark_stored(self, result: ItemResult) -> None:
        """Record a result that another process has stored."""
        queued = self._items.get(result.item)
        if queued is not None and queued.result is None:
            self._close(queued, result)

    def body_of(self, item: ItemId) -> bytes | None:
        """Return the request body of an item, or ``None``.

        ``None`` means that the job has no such item, or that its result was
        stored before this object was created.
        """
        queued = self._items.get(item)
        return None if queued is None else queued.spec.body

    def _close(self, queued: QueuedItem, result: ItemResult) -> None:
        """Set the result of an item; release its group if it is complete."""
        queued.result = result
        self.open_items -= 1
        group = queued.spec.group
        self._open_in_group[group] -= 1
        if not self._open_in_group[group]:
            self._finished.extend(self._group_results.pop(group, ()))


def _requeue_due_items(
    delayed: list[tuple[dt.timedelta, int, ItemId]],
    waiting: list[tuple[int, ItemId]],
    now: dt.timedelta,
) -> None:
    """Move items whose pause is over from one heap to the other."""
    while delayed and delayed[0][0] <= now:
        _, order, item = heapq.heappop(delayed)
        heapq.heappush(waiting, (order, item))


def _is_lost_after(queued: QueuedItem, end: RunEnd, max_failures: int) -> bool:
    """Count the run if it failed; return whether the item is lost."""
    if end is RunEnd.IMPOSSIBLE:
        return True
    if end is RunEnd.FAILED:
        queued.failures += 1
    return queued.failures >= max_failures


def _long_items_first(items: tuple[ItemSpec, ...]) -> list[ItemSpec]:
    """Return items that are expected to be long, then the others in order.

    Tokens are generated one after the other, so the longest item alone takes
    most of a step's time. Each second that it waits for a slot delays the
    whole step by a second.
    """
    expected = [item.expected_tokens for item in items]
    long_tokens = sum(expected) / max(len(expected), 1) * LONG_RATIO
    return sorted(items, key=lambda item: item.expected_tokens <= long_tokens)
