"""Paths of the platform's object store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote, urlencode

from bergamotdoor.platform.headers import OBJECTS_PATH

if TYPE_CHECKING:
    from bergamotdoor.types import Revision


def kind_path(kind: str) -> str:
    """Return the path of a kind, at which objects are created."""
    return OBJECTS_PATH + quote(kind, safe='')


def object_path(kind: str, name: str) -> str:
    """Return the path of an object."""
    return f'{kind_path(kind)}/{quote(name, safe="")}'


def status_path(kind: str, name: str) -> str:
    """Return the path at which an object's status is replaced."""
    return f'{object_path(kind, name)}/status'


def list_path(kind: str, after: str, stale: bool) -> str:
    """Return the path of a page; a stale one costs a tenth of a call."""
    query = {'after': after} if after else {}
    if stale:
        query['allow_stale'] = '1'
    path = kind_path(kind)
    return f'{path}?{urlencode(query)}' if query else path


def watch_path(kind: str, since: Revision, wait_ms: int) -> str:
    """Return the path of a watch that waits for changes."""
    query = urlencode({'watch': since, 'wait_ms': wait_ms})
    return f'{kind_path(kind)}?{query}'
