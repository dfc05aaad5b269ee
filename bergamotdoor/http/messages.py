"""Requests, responses and errors of the HTTP server and client."""

from __future__ import annotations

import datetime as dt
import enum
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import NamedTuple, Protocol

import msgspec

from bergamotdoor.settings.document import Address


class Field(NamedTuple):
    """One header field; `name` is in lower case."""

    name: str
    value: str


class Headers(tuple[Field, ...]):
    """Header fields in order; lookups ignore the case of names."""

    __slots__ = ()

    @classmethod
    def of(cls, pairs: Iterable[tuple[str, str]]) -> Headers:
        """Return header fields for pairs of name and value."""
        return cls(Field(name.lower(), text) for name, text in pairs)

    def first(self, name: str, default: str = '') -> str:
        """Return the value of the first field `name`, or `default`."""
        wanted = name.lower()
        return next(
            (field.value for field in self if field.name == wanted), default
        )

    def without(self, names: Iterable[str]) -> Headers:
        """Return the fields whose name is not in `names`."""
        dropped = {name.lower() for name in names}
        return Headers(field for field in self if field.name not in dropped)

    def plus(self, *pairs: tuple[str, str]) -> Headers:
        """Return these fields followed by `pairs`."""
        return Headers((*self, *Headers.of(pairs)))


class BodyTooLargeError(Exception):
    """A body is larger than its reader allows."""


class BodyBrokenError(Exception):
    """The sender closed or stalled before the body was complete."""


class HttpRequest(msgspec.Struct, kw_only=True):
    """Request that the server passes to a handler.

    ``body`` yields pieces as they arrive. It raises ``BodyBrokenError`` if
    the caller disconnects before the end of the body.
    """

    method: str
    #: Path and query as sent, always starting with a slash.
    target: str
    headers: Headers
    body: AsyncIterator[bytes]
    #: Address of the caller, for logs.
    peer: str = ''

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the complete body.

        Parameters
        ----------
        limit_bytes
            Largest allowed body.

        Raises
        ------
        BodyTooLargeError
            If the body is larger than `limit_bytes`.
        BodyBrokenError
            If the body is incomplete.
        """
        return await read_all(self.body, limit_bytes)


class HttpResponse(msgspec.Struct, kw_only=True):
    """Response that a handler returns.

    If a streamed ``body`` raises an error, the server resets the connection
    without a proper end of the body, so that the caller doesn't treat the
    part that it received as complete. The server calls ``aclose`` on the
    body if the caller disconnects.
    """

    status: int
    headers: Headers = Headers()
    body: bytes | AsyncIterator[bytes] = b''


#: Coroutine function that receives a request and returns its response.
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class ClientRequest(msgspec.Struct, kw_only=True):
    """Request for the client to send.

    A request that is not ``idempotent`` is never sent on an idle connection,
    because that connection may have failed without notice.
    """

    address: Address
    method: str
    target: str
    headers: Headers = Headers()
    body: bytes | AsyncIterator[bytes] = b''
    timeout: dt.timedelta
    #: Longest time from the call of ``send`` to the end of the response's
    #: body; ``None`` bounds only the pauses in the body, by ``timeout``.
    total_timeout: dt.timedelta | None = None
    #: Time within which both attempts of a request that is retried must be
    #: answered; ``None`` allows each of them ``timeout``.
    retry_within: dt.timedelta | None = None
    idempotent: bool = True
    #: Whether an orderly close of the connection may end a body without a
    #: declared length. Set it only if the upstream's protocol defines this,
    #: because a crash of the upstream looks the same.
    close_ends_body: bool = False


class ClientResponse(msgspec.Struct, kw_only=True):
    """Response of an upstream.

    ``body`` raises ``BodyBrokenError`` if it is incomplete. Call its
    ``aclose`` to reset the connection before the end of the body.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    #: Whether the request was sent before, on a connection that failed. It
    #: may have run then, whatever this response says.
    sent_before: bool = False
    #: Why the first attempt failed, if there were two.
    first_failure: str = ''

    async def read_body(self, limit_bytes: int) -> bytes:
        """Return the complete body.

        Parameters
        ----------
        limit_bytes
            Largest allowed body.

        Raises
        ------
        BodyTooLargeError
            If the body is larger than `limit_bytes`.
        BodyBrokenError
            If the body is incomplete.
        """
        return await read_all(self.body, limit_bytes)


class Reachability(enum.Enum):
    """What an attempt to open a connection shows about an address."""

    OPEN = 'accepts connections'
    #: No process listens at the address.
    REFUSED = 'refuses connections'
    #: There was no reply in time: nothing is known.
    SILENT = 'does not reply'


class Client(Protocol):
    """Client that sends requests and never retries on its own."""

    async def send(
        self, request: ClientRequest
    ) -> ClientResponse | ClientFailure:
        """Send `request`, and return when the response's head is read."""

    async def probe(self, address: Address) -> Reachability:
        """Open a connection to `address`, and return what that shows."""

    async def close(self) -> None:
        """Close all pooled connections."""


class ClientFailure(msgspec.Struct, frozen=True):
    """Failure of a request that received no response.

    ``sent`` is true if any byte of the request may have left this process.
    ``reused`` is true if the connection was an idle one from the pool, which
    the upstream may have closed before the request arrived.
    """

    sent: bool
    detail: str
    reused: bool = False
    #: Why the other attempt failed, if there were two.
    other_failure: str = ''


async def read_all(body: AsyncIterator[bytes], limit_bytes: int) -> bytes:
    """Return all pieces of `body`, joined.

    Parameters
    ----------
    body
        Pieces of the body.
    limit_bytes
        Largest allowed body.

    Raises
    ------
    BodyTooLargeError
        If the body is larger than `limit_bytes`.
    """
    collected = bytearray()
    async for piece in body:
        collected += piece
        if len(collected) > limit_bytes:
            raise BodyTooLargeError(f'body above {limit_bytes} bytes')
    return bytes(collected)
