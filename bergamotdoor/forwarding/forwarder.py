"""Forwarding of a call to one upstream after another until one responds."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bergamotdoor import utils
from bergamotdoor.calls.manifest import pick_service
from bergamotdoor.forwarding.forwarded_call import ForwardedCall
from bergamotdoor.observe.events import Counted
from bergamotdoor.observe.metrics import Stage
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.entry.context import Context
    from bergamotdoor.forwarding.call import Attempt, Call
    from bergamotdoor.types import ServiceId

_log = logging.getLogger('bergamotdoor.gateway')


class Forwarder:
    """Forwards calls of callers, and score calls of trainers' items.

    Parameters
    ----------
    context
        Services of the process.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    async def forward(self, call: Call) -> Attempt:
        """Return the attempt that decides a call.

        It has the response of an upstream, or the reason why there is none.
        """
        service = pick_service(call.route, self._context.rng.random())
        outcome = await ForwardedCall(self._context, call, service).run()
        latency = self._context.clock.elapsed() - call.began
        _log.info(
            'gateway: call %s: %s by %s after %d ms, route %s, status %s',
            call.request_id,
            outcome.detail,
            outcome.upstream,
            utils.to_ms(latency),
            call.route.name,
            outcome.answer.status if outcome.answer else '-',
        )
        self._count_call(outcome, service, latency)
        if outcome.served and self._context.quarantine:
            self._context.quarantine.clear_strikes(call.fingerprint)
        return outcome

    def _count_call(
        self, outcome: Attempt, service: ServiceId, latency: dt.timedelta
    ) -> None:
        metrics = self._context.metrics
        metrics.record(Stage.TOTAL, latency, service)
        if outcome.verdict is Verdict.NOT_RUN:
            counted = Counted.CALL_REFUSED
        elif outcome.answer is None:
            counted = Counted.CALL_UNCLEAR
        else:
            counted = Counted.CALL_ANSWERED
        metrics.count(counted, service)
