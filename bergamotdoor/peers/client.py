"""Requests between entry processes over HTTP."""

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
from bergamotdoor.observe import subjects
from bergamotdoor.peers import codec
from bergamotdoor.peers.messages import (
    PEER_PATH,
    AdoptJob,
    JobEnded,
    JobOwned,
    JobUnclear,
    PeerReply,
    PeerRequest,
    ReadBody,
    ReadResults,
    TakeOver,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bergamotdoor.http.messages import Client, HttpRequest
    from bergamotdoor.settings.document import Address
    from bergamotdoor.types import JobId

#: Added to the wait that a request allows the receiving entry; a healthy entry
#: answers in milliseconds.
_PEER_MARGIN_MS: Final = 400
PEER_MARGIN: Final = dt.timedelta(milliseconds=_PEER_MARGIN_MS)
_NO_WAIT: Final = dt.timedelta()
_MAX_BODY_BYTES: Final = 33_554_432

_log = logging.getLogger('bergamotdoor.peers')


class PeerExchange(msgspec.Struct, frozen=True):
    """What came of a request to another entry."""

    #: ``None`` if the entry can't be reached, doesn't reply in time, or sends
    #: a reply that can't be read.
    reply: PeerReply | None
    #: Whether the entry may have handled the request before, on a connection
    #: that failed. The reply is to the second attempt then.
    sent_before: bool = False
    #: Why there is no reply, or why the first attempt failed.
    failure: str = ''


class PeerClient:
    """Client for requests to other entries.

    Parameters
    ----------
    client
        HTTP client that carries the requests.
    """

    def __init__(self, client: Client) -> None:
        self._client = client

    async def ask(
        self,
        address: Address,
        message: PeerRequest,
        wait: dt.timedelta = _NO_WAIT,
        *,
        one_limit: bool = False,
    ) -> PeerReply | None:
        """Send a message to another entry and return its reply.

        Parameters
        ----------
        address
            Address at which the other entry listens for its peers.
        message
            The request.
        wait
            How long the other entry may wait before it replies. The request
            times out after this time and a fixed margin.
        one_limit
            Whether a second attempt, after a kept connection has failed, must
            be answered within the time limit of the first one.

        Returns
        -------
        PeerReply or None
            ``None`` if the entry can't be reached, doesn't reply in time, or
            sends a reply that can't be read.
        """
        exchange = await self.exchange(
            address, message, wait, one_limit=one_limit
        )
        return exchange.reply

    async def exchange(
        self,
        address: Address,
        message: PeerRequest,
        wait: dt.timedelta = _NO_WAIT,
        *,
        one_limit: bool = False,
    ) -> PeerExchange:
        """Send a message as ``ask`` does; return what came of all attempts.

        It is for messages whose effect the sender has to know.
        """
        timeout = wait + PEER_MARGIN
        response = await send(
            self._client,
            ClientRequest(
                address=address,
                method='POST',
                target=PEER_PATH,
                body=codec.encode(message),
                timeout=timeout,
                total_timeout=timeout if one_limit else timeout * 2,
                retry_within=timeout if one_limit else None,
            ),
        )
        name = type(message).__name__
        if not isinstance(response, ClientResponse):
            _log.info('peers: no reply to %s: %s', name, response.detail)
            return PeerExchange(None, failure=response.detail)
        try:
            body = await response.read_body(_MAX_BODY_BYTES)
            reply = codec.decode_reply(body)
        except (
            BodyBrokenError,
            BodyTooLargeError,
            msgspec.MsgspecError,
        ) as error:
            _log.warning('peers: reply to %s is malformed: %s', name, error)
            return PeerExchange(None, failure='malformed reply')
        return PeerExchange(reply, response.sent_before, response.first_failure)


async def serve_peer(
    request: HttpRequest,
    handle: Callable[[PeerRequest], Awaitable[PeerReply]],
) -> HttpResponse:
    """Handle a request of another entry.

    Parameters
    ----------
    request
        The HTTP request; its body is the encoded message.
    handle
        Coroutine function that returns the reply to the decoded message.

    Returns
    -------
    HttpResponse
        The encoded reply, or status 400 if the message can't be decoded.
    """
    body = await request.read_body(_MAX_BODY_BYTES)
    try:
        message = codec.decode_request(body)
    except msgspec.MsgspecError as error:
        _log.warning('peers: message can not be decoded: %s', error)
        return HttpResponse(status=int(HTTPStatus.BAD_REQUEST))
    with subjects.about(
        job=_job_of(message),
        action=type(message).__name__,
        peer=request.peer,
    ):
        reply = await handle(message)
    return HttpResponse(status=int(HTTPStatus.OK), body=codec.encode(reply))


def _job_of(message: PeerRequest) -> JobId | None:
    """Return the job that a request is about."""
    if isinstance(message, (AdoptJob, TakeOver)):
        return message.spec.job
    if isinstance(
        message, (JobEnded, JobOwned, JobUnclear, ReadBody, ReadResults)
    ):
        return message.job
    return None
