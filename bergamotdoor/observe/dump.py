"""Dumps the state of a process on request."""

from __future__ import annotations

import logging
from typing import Final, Protocol

import msgspec

_log: Final = logging.getLogger('bergamotdoor.observe')

#: The maximum size of one part in the dump.
MAX_PART_BYTES: Final = 4_194_304
REDACTED: Final = '(redacted)'
#: Last words of the names of secret fields, such as ``shared_key``.
_SECRET_WORDS: Final = frozenset(
    (
        'token',
        'tokens',
        'key',
        'keys',
        'secret',
        'password',
        'authorization',
    )
)
#: Not secret: a fencing token only numbers the acquisitions of a lease.
_PUBLIC_NAMES: Final = frozenset(('fencing_token', 'highest_fencing_token'))


class Dumpable(Protocol):
    """Part of a process that can return its state."""

    def dump(self) -> msgspec.Struct:
        """Return the current state, which must be small, without waiting."""


class DumpTooLargeError(Exception):
    """The state of a part exceeds the maximum size of a part."""


class PartError(msgspec.Struct, frozen=True):
    """Placeholder in the dump for a part that could not be dumped.

    ``error`` names the type of the exception.
    """

    error: str


class DumpRegistry:
    """Collects the states of the parts of a process.

    A dump is requested when something is wrong, so one broken part must
    not hide the others: the dump contains the type of its error instead.
    """

    def __init__(self) -> None:
        self._parts: dict[str, Dumpable] = {}

    def register(self, name: str, part: Dumpable) -> None:
        """Add `part` under `name`.

        Raises
        ------
        ValueError
            If a part is already registered under that name.
        """
        if name in self._parts:
            raise ValueError(f'dump: two parts are named {name!r}')
        self._parts[name] = part

    def collect(self) -> bytes:
        """Return all states as one JSON object, with secrets redacted."""
        dumped = {
            name: msgspec.Raw(_dump_part(name, part))
            for name, part in self._parts.items()
        }
        return msgspec.json.encode(dumped)


def redact(state: object) -> object:
    """Replace the values of secret fields, at any depth.

    Parameters
    ----------
    state
        Plain containers and scalars, as ``msgspec.to_builtins`` returns.

    Examples
    --------
    >>> redact({'shared_key': 'abc', 'fencing_token': 3, 'token': ''})
    {'shared_key': '(redacted)', 'fencing_token': 3, 'token': ''}
    """
    if isinstance(state, dict):
        return {
            name: REDACTED if _is_secret(name, field) else redact(field)
            for name, field in state.items()
        }
    if isinstance(state, (list, tuple)):
        return [redact(item) for item in state]
    return state


def _is_secret(name: object, field: object) -> bool:
    if not isinstance(name, str) or name in _PUBLIC_NAMES:
        return False
    last_word = name.lower().replace('-', '_').rpartition('_')[-1]
    # An empty value stays visible: it shows that no secret is set.
    return last_word in _SECRET_WORDS and bool(field)


def _dump_part(name: str, part: Dumpable) -> bytes:
    try:
        return _encode_state(part)
    except Exception as error:
        _log.exception('observe: the state of %s cannot be dumped', name)
        # The error's message could contain a secret. It is only written to
        # the log, which the machine's access control protects.
        return msgspec.json.encode(PartError(type(error).__name__))


def _encode_state(part: Dumpable) -> bytes:
    state = msgspec.to_builtins(
        part.dump(), str_keys=True, enc_hook=_type_in_parentheses
    )
    encoded = msgspec.json.encode(redact(state))
    if len(encoded) > MAX_PART_BYTES:
        raise DumpTooLargeError(
            f'{len(encoded)} bytes, at most {MAX_PART_BYTES} for one part'
        )
    return encoded


def _type_in_parentheses(field: object) -> str:
    # The text of the object could contain a secret that no field name shows.
    return f'({type(field).__name__})'
