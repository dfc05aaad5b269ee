"""Errors in settings files and configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

_MAX_VALUE_CHARS: Final = 80
_ELLIPSIS: Final = '...'


class Problem(msgspec.Struct, frozen=True):
    """One reason to reject a document.

    Parameters
    ----------
    path
        The field, such as ``inventory.services[0].upstreams[2].zone``;
        positions count from zero. Empty for the document as a whole.
    value
        The offending value as JSON, cut to 80 characters; secrets are
        never shown.
    expected
        A description of the accepted values.
    """

    path: str
    value: str
    expected: str


class SettingsError(Exception):
    """A settings file was rejected; carries every problem found."""

    def __init__(self, source: str, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        lines = '\n'.join(f'  {describe(item)}' for item in self.problems)
        super().__init__(f'{source} was rejected:\n{lines}')


def describe(problem: Problem) -> str:
    """Return one readable line: path, value and what was expected."""
    path = problem.path or 'document'
    return f'{path}: {problem.value} found, expected {problem.expected}'


def shown(value: object) -> str:
    """Return `value` as short JSON text for a :class:`Problem`."""
    try:
        text = msgspec.json.encode(value).decode()
    except (TypeError, ValueError, ArithmeticError):
        # Lone surrogates and numbers beyond 64 bits can't be encoded as JSON.
        text = ascii(value)
    if len(text) <= _MAX_VALUE_CHARS:
        return text
    return text[: _MAX_VALUE_CHARS - len(_ELLIPSIS)] + _ELLIPSIS
