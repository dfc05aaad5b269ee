"""Detection of upstreams that crash while they run a request."""

from __future__ import annotations

import datetime as dt
import logging
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor import utils
from bergamotdoor.fleet.upstreams import Upstream
from bergamotdoor.http.messages import Reachability
from bergamotdoor.observe.events import Counted
from bergamotdoor.types import Fingerprint

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context

#: Counters of breaks that give no strike.
_NO_STRIKE_COUNTERS: Final = MappingProxyType(
    {
        Reachability.OPEN: Counted.BROKE_AT_OPEN,
        Reachability.SILENT: Counted.BROKE_AT_SILENT,
    }
)

_log = logging.getLogger('bergamotdoor.gateway')


class ObservedRun(msgspec.Struct, frozen=True):
    """A run of a request at an upstream, which may crash under it."""

    upstream: Upstream
    fingerprint: Fingerprint
    #: Number of strikes known for the request when it was sent.
    strikes_before: int
    #: Monotonic time at which the request was sent.
    sent_at: dt.timedelta

    @classmethod
    def begin(
        cls, context: Context, upstream: Upstream, fingerprint: Fingerprint
    ) -> ObservedRun:
        """Return the run of a request that is sent now.

        Parameters
        ----------
        context
            Services of the process.
        upstream
            The upstream that the request is sent to.
        fingerprint
            Fingerprint of the request.
        """
        quarantine = context.quarantine
        strikes = quarantine.known_strikes(fingerprint) if quarantine else 0
        return cls(upstream, fingerprint, strikes, context.clock.elapsed())


async def record_break(context: Context, run: ObservedRun) -> None:
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
    run
        The run that broke off.
    """
    upstream = run.upstream
    now = context.clock.elapsed()
    ran_ms = utils.to_ms(now - run.sent_at)
    if _is_leaving(context, upstream):
        _record_no_strike(context, run, Counted.BROKE_AT_LEAVING, ran_ms)
        return
    reachability = await context.client.probe(upstream.address)
    if reachability is not Reachability.REFUSED:
        counted = _NO_STRIKE_COUNTERS[reachability]
        _record_no_strike(context, run, counted, ran_ms)
        return
    context.strikes.add(
        context.quarantine.next_strike(
            run.fingerprint,
            upstream.upstream,
            run.strikes_before,
            context.clock.elapsed(),
        )
    )
    context.metrics.count(Counted.UPSTREAM_ENDED, upstream.service)
    _log.warning(
        'gateway: upstream %s ended under %s: %d before, '
        '%d in a chain now, broke after %d ms',
        upstream.upstream,
        run.fingerprint,
        run.strikes_before,
        context.quarantine.count_strikes(run.fingerprint),
        ran_ms,
    )


def _record_no_strike(
    context: Context, run: ObservedRun, counted: Counted, ran_ms: int
) -> None:
    context.metrics.count(counted, run.upstream.service)
    _log.info(
        'gateway: %s broke at %s after %d ms, no strike: %s',
        run.fingerprint,
        run.upstream.upstream,
        ran_ms,
        counted.value,
    )


def _is_leaving(context: Context, upstream: Upstream) -> bool:
    """Return whether an upstream is draining or has left already."""
    known = context.fleet.find_registered(upstream.registration)
    return known is None or known.draining
