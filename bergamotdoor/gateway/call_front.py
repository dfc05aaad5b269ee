"""The callers' interface: plain requests, which are forwarded at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor import utils
from bergamotdoor.calls.tries import CallRules
from bergamotdoor.forwarding import Call, Forwarder
from bergamotdoor.gateway.batch_front import number_of
from bergamotdoor.gateway.refusals import refusal
from bergamotdoor.platform import headers as names

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.calls.manifest import Route
    from bergamotdoor.entry.context import Context
    from bergamotdoor.forwarding import Attempt
    from bergamotdoor.http.messages import Headers, HttpRequest, HttpResponse
    from bergamotdoor.reporting.counting import UsageCounter
    from bergamotdoor.types import AccountId


class CallFront:
    """Answers callers."""

    def __init__(self, context: Context, counter: UsageCounter | None) -> None:
        self._forwarder = Forwarder(context)
        self._counter = counter

    async def answer(self, call: Call, account: AccountId) -> HttpResponse:
        """Return an upstream's answer, or why there is none."""
        outcome = await self._forward(call, account)
        if outcome.answer is not None:
            return outcome.answer
        wait = outcome.retry_after
        if wait is None:
            return refusal(outcome.verdict, outcome.detail, call.request_id)
        return refusal(
            outcome.verdict,
            outcome.detail,
            call.request_id,
            wait.total_seconds(),
        )

    async def _forward(self, call: Call, account: AccountId) -> Attempt:
        if self._counter is None:
            return await self._forwarder.forward(call)
        number = self._counter.enter()
        try:
            return await self._forwarder.forward(call)
        finally:
            self._counter.leave(number, account, call.ran_at)


def call_of(
    request: HttpRequest,
    headers: Headers,
    body: bytes,
    route: Route,
    began: dt.timedelta,
) -> Call:
    """Return what is to be forwarded of a request.

    Parameters
    ----------
    request
        As the caller sent it.
    headers
        Those of its fields that upstreams get.
    body
        All of it.
    route
        Where it goes.
    began
        When it came, in the clock's time.
    """
    wait_ms = number_of(request.headers.first(names.DEADLINE_MS))
    wait = (
        min(utils.from_ms(wait_ms), route.timeout) if wait_ms else route.timeout
    )
    return Call(
        request_id=request.headers.first(names.REQUEST_ID),
        method=request.method,
        target=request.target,
        headers=headers,
        body=body,
        route=route,
        rules=CallRules.of_caller(route, began + wait),
        began=began,
    )
