"""Paths of the platform's object store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final
from urllib.parse import quote, unquote, urlencode

from bergamotdoor.observe.call_counts import CallType
from bergamotdoor.platform.headers import OBJECTS_PATH

if TYPE_CHECKING:
    from bergamotdoor.types import Revision

_STALE: Final = 'allow_stale'
_WATCH: Final = 'watch'


def kind_path(kind: str) -> str:
    """Return the path of a kind, to create objects."""
    return OBJECTS_PATH + quote(kind, safe='')


def object_path(kind: str, name: str, revision: Revision | None = None) -> str:
    """Return the path of an object, on condition of its revision."""
    path = f'{kind_path(kind)}/{quote(name, safe="")}'
    return path if revision is None else f'{path}?rev={revision}'


def status_path(kind: str, name: str) -> str:
    """Return the path that replaces an object's status."""
    return f'{object_path(kind, name)}/status'


def list_path(kind: str, after: str, stale: bool) -> str:
    """Return the path of a page; a stale one costs a tenth."""
    query = {}
    if after:
        query['after'] = after
    if stale:
        query[_STALE] = '1'
    path = kind_path(kind)
    return f'{path}?{urlencode(query)}' if query else path


def watch_path(kind: str, since: Revision, wait_ms: int) -> str:
    """Return the path that waits for changes."""
    query = urlencode({_WATCH: since, 'wait_ms': wait_ms})
    return f'{kind_path(kind)}?{query}'


def call_of(method: str, path: str) -> tuple[CallType, str]:
    """Return what a call does, and to which kind of objects."""
    where, _, query = path.removeprefix(OBJECTS_PATH).partition('?')
    kind, _, name = where.partition('/')
    return _call_type(method, name, query), unquote(kind)


def _call_type(method: str, name: str, query: str) -> CallType:
    if method != 'GET':
        return CallType.WRITE
    if name:
        return CallType.READ
    if f'{_WATCH}=' in query:
        return CallType.WATCH
    return CallType.STALE_LIST if _STALE in query else CallType.LIST
