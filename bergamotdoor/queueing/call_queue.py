"""Queue of the calls of one service that wait for room.

Load pattern: one client account sends many calls while others send a few, and
calls of a high priority never cease. Calls leave by priority, and within one
priority by the virtual finish time of their accounts.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final

from bergamotdoor.queueing.priority_class import PriorityClass

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from bergamotdoor.queueing.ticket import Ticket
    from bergamotdoor.types import AccountId

#: Each priority gets at least one in this many of the calls that leave while
#: calls of it wait, and may use this share of the queue.
_LEAST_SHARE: Final = 8


class CallQueue:
    """Calls that wait, in the order in which they leave."""

    def __init__(self) -> None:
        self._classes: dict[int, PriorityClass] = {}
        self._numbers = itertools.count(1)

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return sum(len(waiting) for waiting in self._classes.values())

    def add(self, ticket: Ticket) -> None:
        """Add a call; one that was sent before gets its former place."""
        if not ticket.number:
            ticket.number = next(self._numbers)
        self._class_of(ticket).add(ticket)

    def remove(self, ticket: Ticket) -> bool:
        """Remove a call that is not sent; return whether it was waiting."""
        return self._class_of(ticket).remove(ticket)

    def take(self, ticket: Ticket) -> None:
        """Remove a call that is sent."""
        waiting = self._class_of(ticket)
        waiting.remove(ticket)
        waiting.charge(ticket)
        for priority, other in self._classes.items():
            passed = priority != ticket.priority and len(other) > 0
            other.skipped = other.skipped + 1 if passed else 0

    def charge(self, ticket: Ticket) -> None:
        """Charge a call that is sent without waiting to its account."""
        if not ticket.number:
            ticket.number = next(self._numbers)
        self._class_of(ticket).charge(ticket)

    def in_order(self) -> Iterator[Ticket]:
        """Yield the calls in the order in which they leave.

        Calls may be taken or removed meanwhile.
        """
        lines = {
            priority: waiting.in_order()
            for priority, waiting in self._classes.items()
        }
        left = {
            priority: len(waiting)
            for priority, waiting in self._classes.items()
            if len(waiting)
        }
        skipped = {one: self._classes[one].skipped for one in left}
        while left:
            chosen = _next_priority(left, skipped)
            yield next(lines[chosen])
            left[chosen] -= 1
            if not left[chosen]:
                left.pop(chosen)
            for priority in left:
                skipped[priority] += 1
            skipped[chosen] = 0

    def overflow(self, max_length: int) -> Ticket | None:
        """Return the call that must leave a queue that is too long.

        Failure: an account fills the queue. Symptom: the calls of all other
        accounts are refused, whatever their place would have been. The call
        that would leave last is refused instead, of the lowest priority that
        uses more than its share of the queue.

        Parameters
        ----------
        max_length
            The maximum number of calls that wait.

        Returns
        -------
        Ticket or None
            ``None`` if the queue is not too long.
        """
        if len(self) <= max_length:
            return None
        share = max_length // _LEAST_SHARE
        by_priority = [
            self._classes[one] for one in sorted(self._classes, reverse=True)
        ]
        above = [waiting for waiting in by_priority if len(waiting) > share]
        lasts = (waiting.last() for waiting in (*above, *by_priority))
        return next((last for last in lasts if last is not None), None)

    def calls_ahead(self, ticket: Ticket) -> int | None:
        """Return how many calls leave before one; ``None`` if it is gone."""
        return next(
            (
                ahead
                for ahead, one in enumerate(self.in_order())
                if one is ticket
            ),
            None,
        )

    def account_lengths(self) -> Mapping[AccountId, int]:
        """Return how many calls of each account wait."""
        lengths: dict[AccountId, int] = {}
        for waiting in self._classes.values():
            for account, length in waiting.account_lengths().items():
                lengths[account] = lengths.get(account, 0) + length
        return lengths

    def _class_of(self, ticket: Ticket) -> PriorityClass:
        return self._classes.setdefault(ticket.priority, PriorityClass())


def _next_priority(waiting: Iterable[int], skipped: Mapping[int, int]) -> int:
    """Return the priority of which a call leaves next."""
    overdue = [
        priority
        for priority in waiting
        if skipped[priority] >= _LEAST_SHARE - 1
    ]
    if overdue:
        return max(overdue, key=lambda one: (skipped[one], -one))
    return min(waiting)
