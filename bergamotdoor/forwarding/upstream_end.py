"""Finds out whether an upstream ended under a request."""

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
    """Return how many upstreams ended under a call in a chain."""
    quarantine = context.quarantine
    return quarantine.strikes(call.fingerprint) if quarantine else 0


async def note_end(
    context: Context, upstream: Upstream, fingerprint: Fingerprint, before: int
) -> None:
    """Take a request that broke at an upstream; it may have ended it.

    Failure: a break alone says little: a link resets, an answer is cut
    off, an upstream that was told to leave ends with a request in progress.
    Symptom: requests that did nothing would rest. An upstream that has not
    announced that it leaves, and at whose address nobody listens a moment
    after the break, has ended under the request; one that lost power
    neither breaks the connection nor refuses the next one.

    Parameters
    ----------
    context
        Services of the process.
    upstream
        Where it broke.
    fingerprint
        Of the request.
    before
        How many were known to have ended under it when it was sent.
    """
    if _leaves(context, upstream):
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
        context.quarantine.strikes(fingerprint),
    )


def _leaves(context: Context, upstream: Upstream) -> bool:
    known = context.fleet.registered(upstream.registration)
    return known is None or known.draining
