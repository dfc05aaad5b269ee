"""The status of a storage VM that is to be emptied."""

from __future__ import annotations

from typing import Final

import msgspec

_COMPLETED: Final = 'completed'


class _Status(msgspec.Struct, frozen=True):
    state: str = ''


def completed_status() -> bytes:
    """Return the status that lets the VM be taken away."""
    return msgspec.json.encode(_Status(_COMPLETED))


def is_completed(status: bytes) -> bool:
    """Return whether a status says so."""
    found = msgspec.json.decode(status or b'null', type=_Status | None)
    return found is not None and found.state == _COMPLETED
