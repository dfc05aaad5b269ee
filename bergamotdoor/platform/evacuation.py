"""The status of the evacuation of a storage VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.stored import reading

if TYPE_CHECKING:
    from bergamotdoor.stored import StoredObject

_COMPLETED: Final = 'completed'


class _Status(msgspec.Struct, frozen=True):
    state: str = ''


def completed_status() -> bytes:
    """Return the status after which the operator may remove the VM."""
    return msgspec.json.encode(_Status(_COMPLETED))


def is_completed(stored: StoredObject) -> bool:
    """Return whether an evacuation already has the completed status.

    Raises
    ------
    UnreadableError
        If the status is malformed.
    """
    with reading('status of an evacuation'):
        found = msgspec.json.decode(
            stored.status or b'null', type=_Status | None
        )
    return found is not None and found.state == _COMPLETED
