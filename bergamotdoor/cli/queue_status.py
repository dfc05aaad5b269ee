"""Readable lines about the queues of calls, for ``ctl status``."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from bergamotdoor.gateway.inspection import GatewayState
    from bergamotdoor.gateway.upstream_state import QueueState

_SHOWN_ACCOUNTS: Final = 5


def queue_lines(entries: Iterable[GatewayState]) -> Iterator[str]:
    """Yield lines about the queue of each service, over all entries."""
    queues: defaultdict[str, list[QueueState]] = defaultdict(list)
    for entry in entries:
        for queue in entry.queues:
            queues[queue.service].append(queue)
    if queues:
        yield f'services with calls: {len(queues)}'
    for service, known in sorted(queues.items()):
        yield f'  {service}: {_describe_service(known)}'
        yield from _account_lines(known)


def _describe_service(known: list[QueueState]) -> str:
    waiting = sum(queue.waiting for queue in known)
    longest_s = max(queue.forecast_s for queue in known)
    limits = [limit for queue in known for limit in queue.limits]
    in_flight = sum(limit.in_flight for limit in limits)
    allowed = sum(limit.limit for limit in limits)
    return (
        f'{waiting} calls wait at {len(known)} entries, '
        f'forecast at most {longest_s:.2f} s, '
        f'{in_flight} of {allowed} allowed in flight'
    )


def _account_lines(known: list[QueueState]) -> Iterator[str]:
    waiting: Counter[str] = Counter()
    for queue in known:
        for one in queue.accounts:
            waiting[one.account] += one.waiting
    for account, count in waiting.most_common(_SHOWN_ACCOUNTS):
        name = account or '(no account)'
        yield f'    {name}: {count} calls wait'
