"""The object API's calls and answers, as they go over HTTP."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Final
from urllib.parse import quote, urlencode

import msgspec

from bergamotdoor import utils
from bergamotdoor.http.messages import Headers
from bergamotdoor.store.attempts import Answer, CallKind, PlatformCall
from bergamotdoor.store.protocols import (
    StoredObject,
    StoreFailure,
    StoreProblem,
)
from bergamotdoor.types import ABSENT, ObjectVersion

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.store.attempts import Attempt

VERSION_HEADER: Final = 'x-object-version'
NONCE_HEADER: Final = 'x-object-nonce'
EXPECTED_HEADER: Final = 'x-expected-version'
WRITE_NONCE_HEADER: Final = 'x-write-nonce'


class WriteOrder(msgspec.Struct, frozen=True):
    """A conditional write, or a delete where ``body`` is None."""

    kind: str
    name: str
    body: bytes | None
    expected: ObjectVersion
    nonce: str


class NamesAnswer(msgspec.Struct, frozen=True):
    """The platform's list of names."""

    names: tuple[str, ...]


def read_call(kind: str, name: str) -> PlatformCall:
    """Return the call that reads an object."""
    return PlatformCall(
        kind=CallKind.READ, method='GET', target=_target(kind, name)
    )


def write_call(order: WriteOrder) -> PlatformCall:
    """Return the call that carries out `order`; the same each time."""
    deletes = order.body is None
    return PlatformCall(
        kind=CallKind.DELETE if deletes else CallKind.WRITE,
        method='DELETE' if deletes else 'PUT',
        target=_target(order.kind, order.name),
        headers=Headers.of(
            (
                (EXPECTED_HEADER, str(order.expected)),
                (WRITE_NONCE_HEADER, order.nonce),
            )
        ),
        body=order.body or b'',
    )


def names_call(kind: str, prefix: str) -> PlatformCall:
    """Return the call that lists a kind's names."""
    query = urlencode({'prefix': prefix})
    return PlatformCall(
        kind=CallKind.NAMES,
        method='GET',
        target=f'/objects/{_quoted(kind)}?{query}',
    )


def watch_call(
    kind: str, name: str, above: ObjectVersion, timeout: dt.timedelta
) -> PlatformCall:
    """Return the call that waits for a version above `above`."""
    query = urlencode({'above': above, 'timeout_ms': utils.to_ms(timeout)})
    return PlatformCall(
        kind=CallKind.WATCH,
        method='GET',
        target=f'{_target(kind, name)}?{query}',
    )


def version_of(answer: Answer) -> ObjectVersion:
    """Return the version that an answer names; ABSENT if it names none."""
    text = answer.headers.first(VERSION_HEADER)
    return ObjectVersion(int(text)) if text.isdecimal() else ABSENT


def stored(
    kind: str, name: str, attempt: Attempt
) -> StoredObject | StoreFailure:
    """Return the object that a read or a watch found."""
    where = f'{kind}/{name}'
    if not isinstance(attempt, Answer):
        return unavailable(where, attempt)
    if attempt.status == HTTPStatus.NOT_FOUND:
        return StoreFailure(StoreProblem.NOT_FOUND, where)
    if attempt.status == HTTPStatus.NO_CONTENT:
        return StoreFailure(StoreProblem.NO_CHANGE, where)
    version = version_of(attempt)
    if attempt.status != HTTPStatus.OK or version == ABSENT:
        return unavailable(where, attempt)
    return StoredObject(kind, name, version, attempt.body)


def names_of(kind: str, attempt: Attempt) -> tuple[str, ...] | StoreFailure:
    """Return the sorted names that an attempt listed."""
    if not isinstance(attempt, Answer) or attempt.status != HTTPStatus.OK:
        return unavailable(kind, attempt)
    try:
        answer = msgspec.json.decode(attempt.body, type=NamesAnswer)
    except msgspec.DecodeError as error:
        return StoreFailure(StoreProblem.UNAVAILABLE, f'{kind}: {error}')
    return tuple(sorted(answer.names))


def unavailable(where: str, attempt: Attempt) -> StoreFailure:
    """Return the failure of an attempt that gave nothing to use."""
    detail = (
        f'unexpected answer {attempt.status}'
        if isinstance(attempt, Answer)
        else attempt.detail
    )
    return StoreFailure(StoreProblem.UNAVAILABLE, f'{where}: {detail}')


def _quoted(part: str) -> str:
    return quote(part, safe='')


def _target(kind: str, name: str) -> str:
    return f'/objects/{_quoted(kind)}/{_quoted(name)}'
