"""Calls of one priority that wait, in the order of virtual finish times."""

from __future__ import annotations

import heapq
from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from bergamotdoor.queueing.ticket import Ticket
    from bergamotdoor.types import AccountId

#: Number of accounts beyond which those without a debt are dropped.
_MAX_ACCOUNTS: Final = 1024


class PriorityClass:
    """Waiting calls of one priority.

    An account is charged when a call of it is sent, not when the call enters
    the queue. A call that is refused or whose caller leaves therefore costs
    its account nothing, and the next call has the place that this one had.
    """

    def __init__(self) -> None:
        #: How many calls of other priorities left the queue since one of this
        #: priority did, while calls of this priority waited.
        self.skipped = 0
        self._virtual_time = 0
        #: Virtual finish time of the last call that each account sent.
        self._finished: dict[AccountId, int] = {}
        self._waiting: dict[AccountId, deque[Ticket]] = {}
        #: Calls that an upstream refused, by number of arrival.
        self._returned: dict[int, Ticket] = {}

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        fresh = sum(len(tickets) for tickets in self._waiting.values())
        return fresh + len(self._returned)

    def add(self, ticket: Ticket) -> None:
        """Add a call; one that was sent before gets its former place."""
        if ticket.finish is None:
            self._waiting.setdefault(ticket.account, deque()).append(ticket)
        else:
            self._returned[ticket.number] = ticket

    def remove(self, ticket: Ticket) -> bool:
        """Remove a call; return whether it was waiting."""
        if self._returned.pop(ticket.number, None) is not None:
            return True
        tickets = self._waiting.get(ticket.account, deque())
        if ticket not in tickets:
            return False
        tickets.remove(ticket)
        if not tickets:
            self._waiting.pop(ticket.account)
        return True

    def charge(self, ticket: Ticket) -> None:
        """Charge a call that is sent to its account, once."""
        if ticket.finish is not None:
            return
        start = self._start(ticket.account)
        ticket.finish = start + 1
        # The virtual time must not pass an account that still waits: its
        # claim to be served first would be lost.
        starts = [start, *(self._start(account) for account in self._waiting)]
        self._finished[ticket.account] = ticket.finish
        self._virtual_time = max(self._virtual_time, min(starts))
        if len(self._finished) > _MAX_ACCOUNTS:
            self._drop_settled_accounts()

    def in_order(self) -> Iterator[Ticket]:
        """Yield the calls in the order in which they leave."""
        lines: list[Sequence[Ticket]] = [
            tuple(tickets) for tickets in self._waiting.values()
        ]
        # Numbers of arrival are unique, so that lines are never compared.
        heap = [
            (self._start(line[0].account) + 1, line[0].number, line)
            for line in lines
        ]
        heap.extend(
            (ticket.finish or 0, ticket.number, (ticket,))
            for ticket in self._returned.values()
        )
        heapq.heapify(heap)
        while heap:
            finish, _, line = heapq.heappop(heap)
            yield line[0]
            rest = line[1:]
            if rest:
                heapq.heappush(heap, (finish + 1, rest[0].number, rest))

    def last(self) -> Ticket | None:
        """Return the call that leaves last of those never sent."""
        ends = [
            (self._start(account) + len(tickets), tickets[-1].number, tickets)
            for account, tickets in self._waiting.items()
        ]
        return max(ends)[2][-1] if ends else None

    def account_lengths(self) -> dict[AccountId, int]:
        """Return how many calls of each account wait."""
        lengths = {
            account: len(tickets) for account, tickets in self._waiting.items()
        }
        for ticket in self._returned.values():
            lengths[ticket.account] = lengths.get(ticket.account, 0) + 1
        return lengths

    def _start(self, account: AccountId) -> int:
        return max(self._virtual_time, self._finished.get(account, 0))

    def _drop_settled_accounts(self) -> None:
        self._finished = {
            account: finish
            for account, finish in self._finished.items()
            if finish > self._virtual_time
        }
