"""The request that is sent to an upstream for a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor import utils
from bergamotdoor.http.messages import ClientRequest
from bergamotdoor.platform import headers as names

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.forwarding.call import Call


def call_request(
    call: Call, upstream: Upstream, left: dt.timedelta
) -> ClientRequest:
    """Return the request that is sent to an upstream.

    Parameters
    ----------
    call
        The call to send.
    upstream
        The upstream that gets the request.
    left
        The time that the upstream has to respond.
    """
    headers = call.headers.without(
        (names.DEADLINE_MS, names.EXPECT_REGISTRATION)
    )
    return ClientRequest(
        address=upstream.address,
        method=call.method,
        target=call.target,
        headers=headers.plus(
            (names.DEADLINE_MS, str(max(utils.to_ms(left), 1))),
            (names.EXPECT_REGISTRATION, upstream.registration),
        ),
        body=call.body,
        timeout=left,
        idempotent=call.rules.idempotent,
        close_ends_body=True,
    )
