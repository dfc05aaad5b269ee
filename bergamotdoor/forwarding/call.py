"""A plain call and what became of its attempts."""

from __future__ import annotations

import datetime as dt

import msgspec

from bergamotdoor.calls.manifest import Route, RouteKind
from bergamotdoor.calls.tries import HEDGE_SHARE, CallRules
from bergamotdoor.http.messages import Headers, HttpResponse
from bergamotdoor.verdict import Verdict


class Call(msgspec.Struct):
    """A request as it was read from its caller."""

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    #: In the clock's time.
    deadline: dt.timedelta
    began: dt.timedelta

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        kind = self.route.kind
        resumes = kind is RouteKind.STREAM and self.route.resumable
        return resumes or kind is RouteKind.IDEMPOTENT

    @property
    def rules(self) -> CallRules:
        """What may be done to have it answered."""
        return CallRules(
            repeatable=self.repeatable,
            hedged=self.route.kind is RouteKind.IDEMPOTENT,
            max_attempts=self.route.max_attempts,
            patience=self.route.objective * HEDGE_SHARE,
            deadline=self.deadline,
        )


class Attempt(msgspec.Struct, frozen=True):
    """What one upstream made of a call; `answer` only if it is whole."""

    verdict: Verdict
    detail: str
    upstream: str = ''
    answer: HttpResponse | None = None
    #: Whether another upstream may do better.
    failed: bool = True
    #: Another incarnation is at its address.
    replaced: bool = False
    #: The upstream itself said that it did not run the call.
    refused: bool = False
    #: How many upstreams ran the call and answered that they failed.
    failures: int = 0
