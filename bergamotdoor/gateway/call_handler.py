"""The interface for callers: plain requests, forwarded immediately."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor import utils
from bergamotdoor.calls.attempts import CallRules
from bergamotdoor.forwarding import Call, Forwarder
from bergamotdoor.gateway.batch_handler import parse_number
from bergamotdoor.gateway.responses import refusal_response
from bergamotdoor.platform import headers as names

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.calls.manifest import Route
    from bergamotdoor.entry.context import Context
    from bergamotdoor.forwarding import Attempt
    from bergamotdoor.http.messages import Headers, HttpRequest, HttpResponse
    from bergamotdoor.reporting.counting import UsageCounter
    from bergamotdoor.types import AccountId


class CallHandler:
    """Handler of the plain calls of callers.

    Parameters
    ----------
    context
        The shared state of the process.
    counter
        Counts the calls of each client account; ``None`` if this entry does
        not report usage.
    """

    def __init__(self, context: Context, counter: UsageCounter | None) -> None:
        self._forwarder = Forwarder(context)
        self._counter = counter

    async def answer(self, call: Call, account: AccountId) -> HttpResponse:
        """Forward a call and return its response.

        Parameters
        ----------
        call
            The call to forward.
        account
            The client account that sends it.

        Returns
        -------
        HttpResponse
            The response of an upstream, or a refusal if there is none.
        """
        attempt = await self._forward(call, account)
        if attempt.answer is not None:
            return attempt.answer
        retry_after = attempt.retry_after
        if retry_after is None:
            return refusal_response(
                attempt.verdict, attempt.detail, call.request_id
            )
        return refusal_response(
            attempt.verdict,
            attempt.detail,
            call.request_id,
            retry_after.total_seconds(),
        )

    async def _forward(self, call: Call, account: AccountId) -> Attempt:
        if self._counter is None:
            return await self._forwarder.forward(call)
        number = self._counter.enter()
        try:
            return await self._forwarder.forward(call)
        finally:
            self._counter.leave(number, account, call.ran_at)


def build_call(
    request: HttpRequest,
    headers: Headers,
    body: bytes,
    route: Route,
    began: dt.timedelta,
) -> Call:
    """Return the call to forward for a caller's request.

    Parameters
    ----------
    request
        The request as the caller sent it.
    headers
        The header fields to forward.
    body
        The whole body of the request.
    route
        The route of the request.
    began
        When the request was received, in the clock's monotonic time.
    """
    timeout_ms = parse_number(request.headers.first(names.DEADLINE_MS))
    timeout = (
        min(utils.from_ms(timeout_ms), route.timeout)
        if timeout_ms
        else route.timeout
    )
    return Call(
        request_id=request.headers.first(names.REQUEST_ID),
        method=request.method,
        target=request.target,
        headers=headers,
        body=body,
        route=route,
        rules=CallRules.of_caller(route, began + timeout),
        began=began,
    )
