"""Detection of upstreams that crash while they run a request."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bergamotdoor.observe.events import Counted

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.forwarding.call import Call
    from bergamotdoor.types import Fingerprint

_log = logging.getLogger('bergamotdoor.gateway')


def strikes_of(context: Context, call: Call) -> int:
    """Return how many upstreams crashed in turn while they ran a call."""
    quarantine = context.quarantine
    return quarantine.count_strikes(call.fingerprint) if quarantine else 0


async def note_end(
    context: Context, upstream: Upstream, fingerprint: Fingerprint, before: int
) -> None:
    """Record a strike if an upstream crashed while it ran a request.

    Failure: a request that breaks off does not prove a crash: a connection may
    be reset, a response cut, or an upstream that shuts down may stop with a
    request in progress. Symptom: harmless requests would be put in
    quarantine. Only an upstream that has not announced its shutdown, and
    whose address refuses connections a moment after the break, has crashed.
    An upstream that lost power gets no strike: it neither breaks the
    connection nor refuses a new one.

    Parameters
    ----------
    context
        Services of the process.
    upstream
        The upstream at which the request broke off.
    fingerprint
        Fingerprint of the request.
    before
        The number of crashes known for the request when it was sent.
    """
    if _is_leaving(context, upstream):
        return
    if not await context.client.refuses(upstream.address):
        return
    context.strikes.add(
        context.quarantine.next_strike(
            fingerprint, upstream.upstream, before, context.clock.elapsed()
        )
    )
    context.metrics.count(Counted.UPSTREAM_ENDED, upstream.service)
    _log.warning(
        'gateway: upstream %s ended under %s: %d before, %d in a chain now',
        upstream.upstream,
        fingerprint,
        before,
        context.quarantine.count_strikes(fingerprint),
    )


def _is_leaving(context: Context, upstream: Upstream) -> bool:
    """Return whether an upstream is draining or has left already."""
    known = context.fleet.find_registered(upstream.registration)
    return known is None or known.draining
