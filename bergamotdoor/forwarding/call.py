"""A call and what became of its attempts."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.calls.fingerprint import fingerprint
from bergamotdoor.calls.manifest import Route
from bergamotdoor.calls.tries import CallRules
from bergamotdoor.http.messages import Headers, HttpResponse
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.types import Fingerprint


class Call(msgspec.Struct):
    """A request as its caller, or a trainer, wants it sent."""

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    rules: CallRules
    #: In the clock's time.
    began: dt.timedelta
    #: When the first upstream that may have run it got it, or for a stream
    #: answered it; None if none has.
    ran_at: dt.timedelta | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """What stays the same when the call comes again."""
        host = self.headers.first('host')
        return fingerprint(self.method, host, self.target, self.body)


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
    #: When the call may come again, where that is known.
    retry_after: dt.timedelta | None = None

    @property
    def served(self) -> bool:
        """Whether an upstream ran it to its end; a stream has just begun."""
        answer = self.answer
        whole = answer is not None and isinstance(answer.body, bytes)
        return whole and self.verdict is Verdict.RAN

    @property
    def broke(self) -> bool:
        """Whether it may have run, and gave no whole answer."""
        may_have_run = self.verdict is Verdict.MAY_HAVE_RUN
        return may_have_run and self.answer is None
