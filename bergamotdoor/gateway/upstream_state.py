"""What an entry knows of upstreams, and the calls that wait for them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.types import AccountId, ServiceId, UpstreamId

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Iterator

    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.queueing.service_calls import ServiceCalls

_USUAL_PERCENT: Final = 100
#: The number of accounts that are shown for each queue.
_SHOWN_ACCOUNTS: Final = 5


class UpstreamState(msgspec.Struct, frozen=True):
    """State of one upstream as an entry sees it.

    ``in_flight`` counts the requests that this entry has sent there, and
    ``busy`` estimates all requests that the upstream has. A ``resting``
    upstream gets no requests for a while, since it refused or failed some.
    ``event_interval_s`` is the time between two events of an item, in
    seconds, and ``versions`` holds the weight version of each model.
    """

    upstream: UpstreamId
    service: str
    draining: bool
    in_flight: int
    busy: int
    resting: bool
    event_interval_s: float
    versions: dict[str, int]
    #: Time that work takes on its VM now and over the last seconds, in
    #: percent of the usual time.
    pace_percent: int = _USUAL_PERCENT
    steady_pace_percent: int = _USUAL_PERCENT
    #: Number of requests that other entries have told of.
    told: int = 0
    #: Age of the newest load figure in seconds; ``None`` if none is in use.
    figure_age_s: float | None = None


def collect_upstreams(context: Context) -> list[UpstreamState]:
    """Return what this entry knows about each upstream."""
    now = context.clock.elapsed()
    return [
        _upstream_state(context, upstream, now) for upstream in context.fleet
    ]


def _upstream_state(
    context: Context, upstream: Upstream, now: dt.timedelta
) -> UpstreamState:
    name = upstream.upstream
    load = context.loads.of(name)
    pace = load.known.pace
    age = load.known.figure_age(now)
    return UpstreamState(
        name,
        upstream.service,
        upstream.draining,
        load.in_flight,
        load.estimated_requests(now),
        load.is_in_backoff(now),
        context.speeds.interval_s(name),
        {
            model: context.fleet.version(name, model)
            for model in upstream.versions
        },
        round(pace.fast * _USUAL_PERCENT),
        round(pace.steady(now) * _USUAL_PERCENT),
        load.known.told_requests(now),
        None if age is None else age.total_seconds(),
    )


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
