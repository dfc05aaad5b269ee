"""What the HTTP server and client hand to the rest of the program."""

from __future__ import annotations

import datetime as dt
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import NamedTuple, Protocol

import msgspec

from bergamotdoor.settings.document import Address


class Field(NamedTuple):
    """One header field; `name` is in lower case."""

    name: str
    value: str


class Headers(tuple[Field, ...]):
    """Header fields in order; lookups ignore case."""

    __slots__ = ()

    @classmethod
    def of(cls, pairs: Iterable[tuple[str, str]]) -> Headers:
        """Build from name and value pairs."""
        return cls(Field(name.lower(), text) for name, text in pairs)

    def first(self, name: str, default: str = '') -> str:
        """Return the first value of `name`, or `default`."""
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
    """A body grew above the reader's bound."""


class BodyBrokenError(Exception):
    """The other side closed or stalled before the body was whole."""


class HttpRequest(msgspec.Struct, kw_only=True):
    """A request as the server hands it to a handler.

    ``body`` yields pieces as they arrive and raises BodyBrokenError when
    the caller goes away halfway.
    """

    method: str
    #: Path and query as sent, always starting with a slash.
    target: str
    headers: Headers
    body: AsyncIterator[bytes]
    #: The caller's address, for logs.
    peer: str = ''

    async def read_body(self, limit_bytes: int) -> bytes:
        """Read the whole body; raise BodyTooLargeError above the limit."""
        return await read_all(self.body, limit_bytes)


class HttpResponse(msgspec.Struct, kw_only=True):
    """A handler's response.

    A streamed ``body`` that raises makes the server close the connection
    without a proper end, so that no caller takes a part for the whole.
    The server calls ``aclose`` on it when the caller goes away.
    """

    status: int
    headers: Headers = Headers()
    body: bytes | AsyncIterator[bytes] = b''


#: Takes a request, returns the response to send.
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class ClientRequest(msgspec.Struct, kw_only=True):
    """A request for the client to send.

    Work that is not ``idempotent`` is sent only on a new connection or
    on one proved alive, since an idle one may have died silently.
    """

    address: Address
    method: str
    target: str
    headers: Headers = Headers()
    body: bytes | AsyncIterator[bytes] = b''
    timeout: dt.timedelta
    idempotent: bool = True
    #: Whether an orderly close may end a body of no declared length. Only
    #: where the other side's protocol says so: its crash looks the same.
    close_ends_body: bool = False


class ClientResponse(msgspec.Struct, kw_only=True):
    """An upstream's answer; ``body`` raises BodyBrokenError if cut.

    Close ``body`` (``aclose``) to give the connection up early.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    #: The request was sent before, on a connection that broke, and may have
    #: run then whatever this answer says.
    sent_before: bool = False

    async def read_body(self, limit_bytes: int) -> bytes:
        """Read the whole body; raise BodyTooLargeError above the limit."""
        return await read_all(self.body, limit_bytes)


class Client(Protocol):
    """Sends requests and never retries on its own."""

    async def send(
        self, request: ClientRequest
    ) -> ClientResponse | ClientFailure:
        """Send `request`; return once the response's head is read."""

    async def refuses(self, address: Address) -> bool:
        """Return whether connections are refused: nobody listens there."""

    async def close(self) -> None:
        """Close every pooled connection."""


class ClientFailure(msgspec.Struct, frozen=True):
    """No response came; ``sent`` says whether any byte may have left.

    ``reused`` says that the connection was an idle one: it may have been
    closed by the other side before the request came there.
    """

    sent: bool
    detail: str
    reused: bool = False


async def read_all(body: AsyncIterator[bytes], limit_bytes: int) -> bytes:
    """Join `body`; raise BodyTooLargeError above `limit_bytes`."""
    pieces = []
    size_bytes = 0
    async for piece in body:
        size_bytes += len(piece)
        if size_bytes > limit_bytes:
            raise BodyTooLargeError(f'body above {limit_bytes} bytes')
        pieces.append(piece)
    return b''.join(pieces)
