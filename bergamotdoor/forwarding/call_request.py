"""The request that is sent to an upstream for a call."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.http.messages import ClientRequest
from bergamotdoor.platform import headers as names

if TYPE_CHECKING:
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.forwarding.call import Call


#: Time beyond its own time limit after which an upstream that still sends is
#: cut off. It stops by itself at the limit.
_END_MARGIN_MS: Final = 100
_END_MARGIN: Final = dt.timedelta(milliseconds=_END_MARGIN_MS)


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
        total_timeout=left + _END_MARGIN,
        idempotent=call.rules.idempotent,
        close_ends_body=True,
    )
