"""One attempt to have a call run by an upstream."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bergamotdoor import utils
from bergamotdoor.forwarding.answers import judge
from bergamotdoor.forwarding.call import Attempt, Call
from bergamotdoor.forwarding.call_request import call_request
from bergamotdoor.forwarding.upstream_end import ObservedRun, record_break
from bergamotdoor.http.messages import ClientFailure
from bergamotdoor.http.sending import send
from bergamotdoor.observe.events import Counted
from bergamotdoor.observe.metrics import Stage
from bergamotdoor.platform import headers as names
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.loads import UpstreamLoad
    from bergamotdoor.fleet.upstreams import Upstream

_log = logging.getLogger('bergamotdoor.gateway')


async def send_call(
    context: Context, call: Call, upstream: Upstream, left: dt.timedelta
) -> Attempt:
    """Send a call to an upstream and return the resulting attempt.

    The load of the upstream and the strikes of the call are updated.

    Parameters
    ----------
    context
        Services of the process.
    call
        The call to send.
    upstream
        The upstream to send it to.
    left
        The time that the upstream has to respond.
    """
    began_at = context.clock.elapsed()
    known = context.loads.of(upstream.upstream).known
    figure_age = known.figure_age(began_at)
    if figure_age is not None:
        context.metrics.record(Stage.LOAD_AGE, figure_age)
    run = ObservedRun.begin(context, upstream, call.fingerprint)
    attempt = await _send(context, call, upstream, left)
    latency = context.clock.elapsed() - began_at
    _update_load(context, attempt, upstream, latency)
    if attempt.failed:
        context.metrics.count(Counted.ATTEMPT_FAILED, upstream.service)
        _log_failure(call, attempt, latency)
    if attempt.broke:
        await record_break(context, run)
    return attempt


def _log_failure(call: Call, attempt: Attempt, latency: dt.timedelta) -> None:
    """Log a failed attempt; the line of the call has its last one only."""
    _log.info(
        'gateway: call %s, fingerprint %s, at %s: %s, %s after %d ms',
        call.request_id,
        call.fingerprint,
        attempt.upstream,
        attempt.verdict.value,
        attempt.detail,
        utils.to_ms(latency),
    )


async def _send(
    context: Context, call: Call, upstream: Upstream, left: dt.timedelta
) -> Attempt:
    request = call_request(call, upstream, left)
    response = await send(context.client, request)
    if isinstance(response, ClientFailure):
        verdict = Verdict.MAY_HAVE_RUN if response.sent else Verdict.NOT_RUN
        return Attempt(verdict, response.detail, upstream.upstream)
    reported = names.parse_load(response.headers.first(names.LOAD))
    if reported is not None:
        load = context.loads.of(upstream.upstream)
        load.record_report(reported, context.clock.elapsed())
        context.queueing.limits.of(upstream.upstream).record_report()
    return await judge(context, call, upstream, response)


def _update_load(
    context: Context,
    attempt: Attempt,
    upstream: Upstream,
    latency: dt.timedelta,
) -> None:
    """Record an attempt in the load of its upstream."""
    load = context.loads.of(upstream.upstream)
    now = context.clock.elapsed()
    calls = context.queueing.limits.of(upstream.upstream)
    service_calls = context.queueing.of(upstream.service, context.fleet)
    service_calls.accepted_count += attempt.verdict is not Verdict.NOT_RUN
    if attempt.replaced:
        context.fleet.remove_replaced(upstream.upstream)
    elif attempt.failed:
        _record_failure(load, attempt, now)
        if attempt.refused:
            known = load.known
            has_report = known.is_direct and known.reported_at >= now - latency
            calls.record_refusal(upstream.slots, now, has_report=has_report)
    else:
        if calls.record_acceptance(now - latency):
            load.record_acceptance(now)
        load.record_response(latency)


def _record_failure(
    load: UpstreamLoad, attempt: Attempt, now: dt.timedelta
) -> None:
    if attempt.refused:
        load.record_refusal(now)
    else:
        load.record_failure(now)
