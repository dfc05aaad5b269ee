"""A call to forward, and the result of an attempt to run it."""

from __future__ import annotations

import datetime as dt
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.calls.accounts import NO_ACCOUNT
from bergamotdoor.calls.attempts import CallRules
from bergamotdoor.calls.fingerprint import request_fingerprint
from bergamotdoor.calls.manifest import Route
from bergamotdoor.http.messages import Headers, HttpResponse
from bergamotdoor.types import AccountId, ServiceId
from bergamotdoor.verdict import Verdict

if TYPE_CHECKING:
    from bergamotdoor.types import Fingerprint


def _admit(service: ServiceId) -> HttpResponse | None:
    """Admit a call that needs no further check."""


class Call(msgspec.Struct):
    """A request to forward: a caller's, or a score call of a trainer's item."""

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: Route
    rules: CallRules
    #: Monotonic time at which the call began.
    began: dt.timedelta
    account: AccountId = NO_ACCOUNT
    #: 0 is the highest priority.
    priority: int = 0
    #: Called before the call is sent after it waited. Returns the response if
    #: the manifest in force does not admit it at the service any more.
    readmit: Callable[[ServiceId], HttpResponse | None] = _admit
    #: Monotonic time at which the call was sent to the first upstream that may
    #: have run it; for a stream, at which that upstream responded. ``None`` if
    #: no upstream may have run it.
    ran_at: dt.timedelta | None = None
    #: Number of upstreams that may have run it, without a response that is
    #: passed on.
    possible_runs: int = 0

    @property
    def fingerprint(self) -> Fingerprint:
        """Hash that is the same for all retries of the call."""
        host = self.headers.first('host')
        return request_fingerprint(self.method, host, self.target, self.body)


class Attempt(msgspec.Struct, frozen=True):
    """Result of sending a call to an upstream."""

    verdict: Verdict
    #: Description for logs and for the caller.
    detail: str
    upstream: str = ''
    #: The complete response, or one that is relayed while it arrives; ``None``
    #: if there is neither.
    answer: HttpResponse | None = None
    #: Whether another upstream may succeed.
    failed: bool = True
    #: Whether another incarnation of the upstream is at its address.
    replaced: bool = False
    #: Whether the upstream itself reported that it did not run the call.
    refused: bool = False
    #: Number of upstreams that ran the call and responded that it failed.
    failures: int = 0
    #: Time after which the caller may retry the call, if it is known.
    retry_after: dt.timedelta | None = None

    @property
    def served(self) -> bool:
        """Whether the response is complete; a relayed one has only begun."""
        response = self.answer
        is_buffered = response is not None and isinstance(response.body, bytes)
        return is_buffered and self.verdict is Verdict.RAN

    @property
    def broke(self) -> bool:
        """Whether the call may have run, without a complete response."""
        may_have_run = self.verdict is Verdict.MAY_HAVE_RUN
        return may_have_run and self.answer is None
