"""State of the queues of calls, for state dumps."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.types import AccountId, ServiceId, UpstreamId

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Iterator

    from bergamotdoor.entry.context import Context
    from bergamotdoor.queueing.service_calls import ServiceCalls

#: The number of accounts that are shown for each queue.
_SHOWN_ACCOUNTS: Final = 5


class UpstreamLimitState(msgspec.Struct, frozen=True):
    """Calls of an entry at one upstream, and their limit."""

    upstream: UpstreamId
    in_flight: int
    limit: int


class AccountWaitState(msgspec.Struct, frozen=True):
    """Number of calls of a client account that wait."""

    account: AccountId
    waiting: int


class QueueState(msgspec.Struct, frozen=True):
    """Queue of the calls of one service at an entry.

    ``forecast_s`` is the forecast wait of a call that would be the last one
    in the queue, and ``service_time_s`` the mean time for which a call uses a
    slot, both in seconds. ``accounts`` are those with the most calls waiting.
    """

    service: ServiceId
    waiting: int
    max_length: int
    forecast_s: float
    service_time_s: float
    limits: tuple[UpstreamLimitState, ...]
    accounts: tuple[AccountWaitState, ...]


def collect_queues(context: Context) -> Iterator[QueueState]:
    """Yield the state of each service to which calls were sent."""
    now = context.clock.elapsed()
    for service_calls in context.queueing.services():
        capacity = service_calls.capacity(now)
        waiting = len(service_calls.queue)
        yield QueueState(
            service_calls.service,
            waiting,
            service_calls.max_length,
            capacity.wait(waiting).total_seconds(),
            capacity.service_time.total_seconds(),
            tuple(_collect_limits(context, service_calls.service, now)),
            tuple(_collect_accounts(service_calls)),
        )


def _collect_limits(
    context: Context, service: ServiceId, now: dt.timedelta
) -> Iterator[UpstreamLimitState]:
    limits = context.queueing.limits
    for upstream in context.fleet.of_service(service):
        yield UpstreamLimitState(
            upstream.upstream,
            limits.of(upstream.upstream).in_flight,
            limits.limit(upstream, now),
        )


def _collect_accounts(
    service_calls: ServiceCalls,
) -> Iterator[AccountWaitState]:
    lengths = Counter(service_calls.queue.account_lengths())
    for account, waiting in lengths.most_common(_SHOWN_ACCOUNTS):
        yield AccountWaitState(account, waiting)
