"""Small helpers that several packages use."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

_MS: Final = dt.timedelta(milliseconds=1)


def from_ms(value_ms: float) -> dt.timedelta:
    """Return `value_ms` milliseconds as a timedelta."""
    return dt.timedelta(milliseconds=value_ms)


def to_ms(span: dt.timedelta) -> int:
    """Return `span` in whole milliseconds, rounded down."""
    return span // _MS


def hrw_weight(key: str, name: str) -> int:
    """Return the highest-random-weight score of `name` for `key`."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())


def hrw_order(key: str, names: Iterable[str]) -> list[str]:
    """Sort `names` by their score for `key`, highest first.

    The order is the same in every process.

    Examples
    --------
    >>> hrw_order('a-key', ['x', 'y']) == hrw_order('a-key', ['y', 'x'])
    True
    """
    return sorted(
        names,
        key=lambda name: (hrw_weight(key, name), name),
        reverse=True,
    )
