"""Heads of requests to upstreams, and checks of their responses' heads."""

from __future__ import annotations

import datetime as dt
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import h11

from bergamotdoor.http.headers import encoded, end_to_end
from bergamotdoor.http.messages import Headers

if TYPE_CHECKING:
    from bergamotdoor.http.messages import ClientRequest

_CONTENT_LENGTH: Final = 'content-length'
_MIN_IDLE_S: Final = 0.5
_BODILESS_STATUSES: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)


class UnclearEndError(Exception):
    """The end of a response could not be distinguished from a crash."""


def head_of(request: ClientRequest) -> h11.Request:
    """Return the head of `request` with ``host`` and framing fields.

    Raises
    ------
    h11.LocalProtocolError, UnicodeEncodeError
        If the request contains something that HTTP does not allow.
    """
    headers = end_to_end(request.headers).without(('host', 'expect'))
    if isinstance(request.body, bytes):
        headers = headers.without((_CONTENT_LENGTH,))
        if request.body or request.method not in {'GET', 'HEAD'}:
            headers = headers.plus((_CONTENT_LENGTH, str(len(request.body))))
    elif not headers.first(_CONTENT_LENGTH):
        headers = headers.plus(('transfer-encoding', 'chunked'))
    host = request.headers.first('host') or _default_host(request)
    return h11.Request(
        method=request.method,
        target=request.target,
        headers=encoded(Headers.of([('host', host), *headers])),
    )


def _default_host(request: ClientRequest) -> str:
    address = request.address
    ip = f'[{address.ip}]' if ':' in address.ip else address.ip
    return f'{ip}:{address.port}'


def idle_limit(headers: Headers) -> dt.timedelta | None:
    """Return how long the upstream keeps an idle connection.

    The result is a second shorter than the declared time, but at least
    0.5 s: a request that is sent while the upstream closes is lost.

    Parameters
    ----------
    headers
        Header fields of the response; ``keep-alive`` declares the time.

    Returns
    -------
    dt.timedelta or None
        ``None`` if the upstream declares no time.
    """
    for part in headers.first('keep-alive').split(','):
        name, _, number = part.strip().partition('=')
        if name.lower() == 'timeout' and number.isdecimal():
            seconds = max(int(number) - 1, _MIN_IDLE_S)
            return dt.timedelta(seconds=seconds)
    return None


def check_end(method: str, status: int, headers: Headers) -> None:
    """Check that the head declares how the response's body ends.

    Without a declared end, a crash of the upstream would look like the end
    of the body.

    Parameters
    ----------
    method
        Method of the request.
    status, headers
        Status and header fields of the response.

    Raises
    ------
    UnclearEndError
        If the head declares no length, or declares it in two ways.
    """
    framing = {field.name for field in headers} & {
        _CONTENT_LENGTH,
        'transfer-encoding',
    }
    if len(framing) > 1:
        raise UnclearEndError('both content-length and transfer-encoding')
    if not framing and method != 'HEAD' and status not in _BODILESS_STATUSES:
        raise UnclearEndError(
            'neither content-length nor transfer-encoding: a crash of the '
            'upstream would look like the end of the body'
        )
