"""Removal of hop-by-hop header fields, and encoding of header fields."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from bergamotdoor.http.messages import Headers

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Fields that apply to one connection only and are not forwarded.
HOP_BY_HOP: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

#: Fields that are forwarded even if ``Connection`` lists them. Without them a
#: request would lose its framing or its host and be parsed as another request.
_PROTECTED_FIELDS: Final = frozenset(('content-length', 'host'))

_ENCODING: Final = 'latin-1'


def end_to_end(headers: Headers) -> Headers:
    """Return the fields that may be forwarded to the next hop.

    Parameters
    ----------
    headers
        Header fields of a received message. The fields that ``Connection``
        lists are removed, and so are the usual hop-by-hop fields.

    Examples
    --------
    >>> sent = Headers.of([('Connection', 'x-a'), ('X-A', '1'), ('B', '2')])
    >>> end_to_end(sent)
    (Field(name='b', value='2'),)
    """
    dropped = HOP_BY_HOP
    if headers.first('connection'):
        dropped = dropped.union(
            _connection_options(headers) - _PROTECTED_FIELDS
        )
    return Headers(field for field in headers if field.name not in dropped)


def _connection_options(headers: Headers) -> set[str]:
    return {
        token.strip().lower()
        for field in headers
        if field.name == 'connection'
        for token in field.value.split(',')
    }


def decoded(pairs: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return received fields as text; Latin-1 keeps every byte unchanged."""
    return Headers.of(
        (name.decode(_ENCODING), text.decode(_ENCODING)) for name, text in pairs
    )


def encoded(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the fields as bytes for sending.

    Raises
    ------
    UnicodeEncodeError
        If a field contains a character that Latin-1 can't encode.
    """
    return [
        (field.name.encode(_ENCODING), field.value.encode(_ENCODING))
        for field in headers
    ]
