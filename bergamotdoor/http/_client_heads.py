"""Heads of requests to upstreams and of their responses."""

from __future__ import annotations

import datetime as dt
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import h11

from bergamotdoor.http.headers import encoded, end_to_end
from bergamotdoor.http.messages import Headers

if TYPE_CHECKING:
    from bergamotdoor.http.messages import ClientRequest

_LENGTH: Final = 'content-length'
_LEAST_IDLE_S: Final = 0.5
_BODILESS: Final = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class UnclearEndError(Exception):
    """The response's end could not be told from a crash."""


def head_of(request: ClientRequest) -> h11.Request:
    """Return the head to send.

    Raises
    ------
    h11.LocalProtocolError, UnicodeEncodeError
        If the request holds what HTTP does not allow.
    """
    headers = end_to_end(request.headers).without(('host', 'expect'))
    if isinstance(request.body, bytes):
        headers = headers.without((_LENGTH,))
        if request.body or request.method not in {'GET', 'HEAD'}:
            headers = headers.plus((_LENGTH, str(len(request.body))))
    elif not headers.first(_LENGTH):
        headers = headers.plus(('transfer-encoding', 'chunked'))
    host = request.headers.first('host') or _host(request)
    return h11.Request(
        method=request.method,
        target=request.target,
        headers=encoded(Headers.of([('host', host), *headers])),
    )


def _host(request: ClientRequest) -> str:
    address = request.address
    ip = f'[{address.ip}]' if ':' in address.ip else address.ip
    return f'{ip}:{address.port}'


def idle_limit(headers: Headers) -> dt.timedelta | None:
    """Return how long the other side keeps an idle connection, if told.

    A request that is sent as the other side closes is lost, so a second
    less is counted.
    """
    for part in headers.first('keep-alive').split(','):
        name, _, number = part.strip().partition('=')
        if name.lower() == 'timeout' and number.isdecimal():
            seconds = max(int(number) - 1, _LEAST_IDLE_S)
            return dt.timedelta(seconds=seconds)
    return None


def check_end(method: str, status: int, headers: Headers) -> None:
    """Refuse a response whose end could not be told from a crash.

    Raises
    ------
    UnclearEndError
        If the head has no declared length, or two.
    """
    framing = {field.name for field in headers} & {_LENGTH, 'transfer-encoding'}
    if len(framing) > 1:
        raise UnclearEndError('both content-length and transfer-encoding')
    if not framing and method != 'HEAD' and status not in _BODILESS:
        raise UnclearEndError(
            'neither content-length nor transfer-encoding: a crash of the '
            'upstream would look like the end of the body'
        )
