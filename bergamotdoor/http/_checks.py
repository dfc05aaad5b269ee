"""Checks of a request's head beyond those of h11."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final, NamedTuple

from bergamotdoor.http._refusal import RefusedError
from bergamotdoor.http.headers import decoded, end_to_end

if TYPE_CHECKING:
    import h11

    from bergamotdoor.http.messages import Headers

_EXPECT_CONTINUE: Final = '100-continue'
_FRAMING_FIELDS: Final = frozenset(('content-length', 'transfer-encoding'))


class Head(NamedTuple):
    """Checked head of a request, as it is passed to the handler."""

    method: str
    target: str
    headers: Headers


def checked_head(event: h11.Request, limit_bytes: int) -> Head:
    """Check a request's head, and return it without hop-by-hop fields.

    Parameters
    ----------
    event
        Head as h11 parsed it.
    limit_bytes
        Largest allowed sum of the target and the header fields.

    Raises
    ------
    RefusedError
        If the head violates a rule, or is larger than `limit_bytes`.
    """
    _check_size(event, limit_bytes)
    _check_protocol(event)
    headers = decoded(event.headers)
    _check_framing(headers)
    _check_expectation(headers)
    return Head(
        method=event.method.decode(),
        target=_path_of(event.target.decode()),
        headers=end_to_end(headers).without(('expect',)),
    )


def head_too_large(received: bytes, limit_bytes: int) -> RefusedError:
    """Return the error for a head larger than `limit_bytes`.

    Parameters
    ----------
    received
        Beginning of the head. A line break in it shows that the request
        line is complete, so the header fields are too large; otherwise the
        request line is.
    limit_bytes
        The bound, for the message.
    """
    if b'\n' in received:
        return RefusedError(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            f'header above {limit_bytes} bytes',
        )
    return RefusedError(
        HTTPStatus.REQUEST_URI_TOO_LONG,
        f'request line above {limit_bytes} bytes',
    )


def _check_size(event: h11.Request, limit_bytes: int) -> None:
    # h11 bounds only the incomplete head that it buffers while it waits for
    # more input. A head that arrived in one piece is measured here.
    if len(event.target) > limit_bytes:
        raise head_too_large(event.target, limit_bytes)
    size_bytes = sum(len(name) + len(text) for name, text in event.headers)
    if size_bytes + len(event.target) > limit_bytes:
        raise head_too_large(b'\n', limit_bytes)


def _check_protocol(event: h11.Request) -> None:
    version = event.http_version.decode()
    if not version.startswith('1.'):
        raise RefusedError(
            HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
            f'HTTP/{version}, expected HTTP/1.1',
        )
    if event.method == b'CONNECT':
        raise RefusedError(
            HTTPStatus.NOT_IMPLEMENTED, 'CONNECT, expected another method'
        )


def _check_framing(headers: Headers) -> None:
    # Servers disagree about where the body of a request with both fields
    # ends. Bytes that are part of the body for one server could run as a
    # second request on the next (request smuggling).
    if _FRAMING_FIELDS <= {field.name for field in headers}:
        raise RefusedError(
            HTTPStatus.BAD_REQUEST,
            'both content-length and transfer-encoding, expected one',
        )


def _check_expectation(headers: Headers) -> None:
    expectation = headers.first('expect', _EXPECT_CONTINUE)
    if expectation.lower() != _EXPECT_CONTINUE:
        raise RefusedError(
            HTTPStatus.EXPECTATION_FAILED,
            f'expectation {expectation!r}, expected {_EXPECT_CONTINUE!r}',
        )


def _path_of(target: str) -> str:
    if target.startswith('/'):
        return target
    scheme, separator, rest = target.partition('://')
    if not separator or scheme.lower() not in {'http', 'https'}:
        raise RefusedError(
            HTTPStatus.BAD_REQUEST, f'target {target!r}, expected a path'
        )
    _, slash, path = rest.partition('/')
    return f'{slash}{path}' if slash else '/'
