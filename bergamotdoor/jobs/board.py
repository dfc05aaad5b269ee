"""Which items of a job wait, run or are finished.

Load pattern: a step's items arrive at once, more than the engines have
slots; the trainer needs whole groups. So items start in the order of the
job, in which a group's items stand together and groups that came again
stand first, and an item that has to run again goes before those that have
not begun: its group waits for it.
"""

from __future__ import annotations

import enum
import heapq
from collections import Counter
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.jobs.messages import ItemResult, ItemSpec, ItemState
from bergamotdoor.types import UpstreamId

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Iterator

    from bergamotdoor.jobs.ledger import Ledger
    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.types import GroupId, ItemId

#: An engine that fails on an item is not asked at once again: a failure
#: that comes back in milliseconds would use up all attempts in one fault.
_RETRY_PAUSES_S: Final = (0, 0.1, 0.3, 0.6)

#: The place of an item that goes before all others.
_FIRST: Final = -1

#: An item counts as long from so many times the mean on.
LONG_RATIO: Final = 1.5


class RunEnd(enum.Enum):
    """Why a run of an item gave no text."""

    #: The engine did not run it: full, another incarnation, loading.
    REFUSED = 'refused'
    #: Another incarnation is at its address.
    REPLACED = 'replaced'
    #: The connection or the stream broke.
    BROKEN = 'broken'
    #: The engine answered that it failed.
    FAILED = 'failed'
    #: The item can never be done.
    IMPOSSIBLE = 'impossible'
    #: Stopped by the owner, to go on at another engine.
    MOVED = 'moved'
    #: The engine's weights are older than the job takes; none were used.
    OUTDATED = 'outdated'
    #: Made under a version that the job does not take.
    TOO_OLD = 'too-old'


class Slot(msgspec.Struct):
    """One item and what became of it so far."""

    spec: ItemSpec
    order: int
    running: int = 0
    #: Its text is whole and has no score yet.
    generated: bool = False
    failures: int = 0
    #: Upstreams where it broke or failed last.
    avoid: frozenset[UpstreamId] = frozenset()
    result: ItemResult | None = None


class JobBoard:
    """The items of one job.

    Parameters
    ----------
    spec
        The job.
    ledger
        Results that are stored already; their items do not run again.
    """

    def __init__(self, spec: JobSpec, ledger: Ledger) -> None:
        #: After how many failed runs an item is given up; by its route.
        self.max_failures = 1
        self._slots: dict[ItemId, Slot] = {}
        self._waiting: list[tuple[int, ItemId]] = []
        self._later: list[tuple[dt.timedelta, int, ItemId]] = []
        self._finished: list[ItemResult] = []
        #: Results of groups that are not whole yet.
        self._partial: dict[GroupId, list[ItemResult]] = {}
        self._open_in_group: Counter[GroupId] = Counter()
        for order, item in enumerate(_longest_first(spec.items)):
            if item.item not in ledger:
                self._slots[item.item] = Slot(item, order)
                self._waiting.append((order, item.item))
                self._open_in_group[item.group] += 1
        #: Where each group's prompt is cached.
        self.homes: dict[GroupId, UpstreamId] = {}
        #: Items that have no result yet.
        self.open_items = len(self._slots)

    @property
    def has_finished(self) -> bool:
        """Whether results wait to be stored.

        Those of a group that is not whole don't: a trainer has no use for
        them, and reading them would take the turn of a read that could
        bring it a whole group half a second sooner.
        """
        return bool(self._finished)

    def ready(self, now: dt.timedelta) -> Slot | None:
        """Return the item that should start next, if any."""
        _take_due(self._later, self._waiting, now)
        while self._waiting:
            slot = self._slots[self._waiting[0][1]]
            if slot.result is None and not slot.generated:
                return slot
            heapq.heappop(self._waiting)
        return None

    def start(self, slot: Slot) -> None:
        """Take an item that ``ready`` returned off the queue."""
        taken = heapq.heappop(self._waiting)
        assert taken[1] == slot.spec.item, taken
        slot.running += 1

    def defer(self, slot: Slot, until: dt.timedelta) -> None:
        """Take an item that ``ready`` returned off the queue for a while."""
        taken = heapq.heappop(self._waiting)
        assert taken[1] == slot.spec.item, taken
        heapq.heappush(self._later, (until, slot.order, slot.spec.item))

    def generated(self, item: ItemId) -> None:
        """Take that an item's text is whole; it runs no more."""
        slot = self._slots[item]
        slot.running = max(slot.running - 1, 0)
        slot.generated = True

    def finish(self, result: ItemResult) -> None:
        """Take a result; a second one of the same item is dropped."""
        slot = self._slots[result.item]
        slot.running = max(slot.running - 1, 0)
        if slot.result is None:
            self._partial.setdefault(slot.spec.group, []).append(result)
            self._close(slot, result)

    def give_back(
        self, item: ItemId, end: RunEnd, where: UpstreamId, now: dt.timedelta
    ) -> None:
        """Take an item whose run gave no text; it waits again, or is lost."""
        slot = self._slots[item]
        slot.running = max(slot.running - 1, 0)
        if slot.result is not None:
            return
        if _hopeless(slot, end, self.max_failures):
            self.finish(ItemResult(item, ItemState.LOST))
            return
        if end in {RunEnd.FAILED, RunEnd.BROKEN, RunEnd.MOVED}:
            slot.avoid = frozenset((where,))
        pause_s = _RETRY_PAUSES_S[min(slot.failures, len(_RETRY_PAUSES_S) - 1)]
        if pause_s:
            ready_at = now + type(now)(seconds=pause_s)
            heapq.heappush(self._later, (ready_at, slot.order, item))
        else:
            # One that moves is before all others: a slot is kept for it.
            order = _FIRST if end is RunEnd.MOVED else slot.order
            heapq.heappush(self._waiting, (order, item))

    def open_in_group(self, group: GroupId) -> int:
        """Return how many items of a group have no result."""
        return self._open_in_group[group]

    @property
    def open_groups(self) -> frozenset[GroupId]:
        """The groups of which an item has no result yet."""
        return frozenset(
            group for group, count in self._open_in_group.items() if count
        )

    def unlisted(self) -> Iterator[ItemResult]:
        """Return the texts that are whole and wait for their group."""
        for results in self._partial.values():
            yield from (
                result
                for result in results
                if result.state is ItemState.COMPLETED
            )

    def give_up(self) -> None:
        """End every open item as lost."""
        for slot in self._slots.values():
            if slot.result is None:
                self.finish(ItemResult(slot.spec.item, ItemState.LOST))

    def take_finished(self, limit_bytes: int) -> tuple[ItemResult, ...]:
        """Remove results to store together, at least one if there is one."""
        size_bytes = 0
        taken = 0
        for result in self._finished:
            size_bytes += len(result.text.encode())
            if taken and size_bytes > limit_bytes:
                break
            taken += 1
        batch = tuple(self._finished[:taken])
        self._finished = self._finished[taken:]
        return batch

    def stored(self, result: ItemResult) -> None:
        """Take a result that another process stored."""
        slot = self._slots.get(result.item)
        if slot is not None and slot.result is None:
            self._close(slot, result)

    def body_of(self, item: ItemId) -> bytes | None:
        """Return the body of an item that is still open."""
        slot = self._slots.get(item)
        return None if slot is None else slot.spec.body

    def _close(self, slot: Slot, result: ItemResult) -> None:
        slot.result = result
        self.open_items -= 1
        group = slot.spec.group
        self._open_in_group[group] -= 1
        if not self._open_in_group[group]:
            self._finished.extend(self._partial.pop(group, ()))


def _take_due(
    later: list[tuple[dt.timedelta, int, ItemId]],
    waiting: list[tuple[int, ItemId]],
    now: dt.timedelta,
) -> None:
    while later and later[0][0] <= now:
        _, order, item = heapq.heappop(later)
        heapq.heappush(waiting, (order, item))


def _hopeless(slot: Slot, end: RunEnd, max_failures: int) -> bool:
    if end is RunEnd.IMPOSSIBLE:
        return True
    if end is RunEnd.FAILED:
        slot.failures += 1
    return slot.failures >= max_failures


def _longest_first(items: tuple[ItemSpec, ...]) -> list[ItemSpec]:
    """Return those that are expected to be long, then the others in order.

    Generated one token after the other, the longest item alone takes most
    of a step's time; a second that it waits for a slot is lost for all.
    """
    expected = [item.expected_tokens for item in items]
    long = sum(expected) / max(len(expected), 1) * LONG_RATIO
    return sorted(items, key=lambda item: item.expected_tokens <= long)
