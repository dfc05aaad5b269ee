"""Calls between entry processes."""

from __future__ import annotations

import datetime as dt
import logging
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.http.messages import (
    BodyBrokenError,
    BodyTooLargeError,
    ClientRequest,
    ClientResponse,
    HttpResponse,
)
from bergamotdoor.http.sending import send
from bergamotdoor.peers import codec
from bergamotdoor.peers.messages import (
    PEER_PATH,
    PeerReply,
    PeerRequest,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bergamotdoor.http.messages import Client, HttpRequest
    from bergamotdoor.settings.document import Address

#: What an entry needs beyond the wait that was asked for; a healthy one
#: answers in milliseconds.
_PEER_MARGIN_MS: Final = 400
PEER_MARGIN: Final = dt.timedelta(milliseconds=_PEER_MARGIN_MS)
_NO_WAIT: Final = dt.timedelta()
_MAX_BYTES: Final = 33_554_432

_log = logging.getLogger('bergamotdoor.peers')


class PeerClient:
    """Asks other entries; None is an entry that can't be reached."""

    def __init__(self, client: Client) -> None:
        self._client = client

    async def ask(
        self,
        address: Address,
        message: PeerRequest,
        wait: dt.timedelta = _NO_WAIT,
    ) -> PeerReply | None:
        """Return the reply, None if there is none in time."""
        response = await send(
            self._client,
            ClientRequest(
                address=address,
                method='POST',
                target=PEER_PATH,
                body=codec.encode(message),
                timeout=wait + PEER_MARGIN,
            ),
        )
        name = type(message).__name__
        if not isinstance(response, ClientResponse):
            _log.info('peers: no reply to %s: %s', name, response.detail)
            return None
        try:
            body = await response.read_body(_MAX_BYTES)
            return codec.decode_reply(body)
        except (
            BodyBrokenError,
            BodyTooLargeError,
            msgspec.MsgspecError,
        ) as error:
            _log.warning('peers: reply to %s broken: %s', name, error)
            return None


async def serve_peer(
    request: HttpRequest,
    handle: Callable[[PeerRequest], Awaitable[PeerReply]],
) -> HttpResponse:
    """Answer another entry."""
    body = await request.read_body(_MAX_BYTES)
    try:
        message = codec.decode_request(body)
    except msgspec.MsgspecError as error:
        _log.warning('peers: message not understood: %s', error)
        return HttpResponse(status=int(HTTPStatus.BAD_REQUEST))
    reply = await handle(message)
    return HttpResponse(status=int(HTTPStatus.OK), body=codec.encode(reply))
