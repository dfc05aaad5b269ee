"""Reads objects of the store one by one, whoever wrote them."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from bergamotdoor.observe.once import Once
from bergamotdoor.stored import UnreadableError

if TYPE_CHECKING:
    import logging
    from collections.abc import Callable

    from bergamotdoor.stored import StoredObject

Body = TypeVar('Body')


class ObjectReader:
    """Leaves out what cannot be read, and tells once of each revision.

    Failure: another writer puts an object under a kind that is followed.
    Symptom: one that cannot be read hides all others, or fills the log each
    time it is listed.

    Parameters
    ----------
    log
        Where it is told.
    part
        The prefix of the lines.
    """

    def __init__(self, log: logging.Logger, part: str) -> None:
        self._log = log
        self._part = part
        self._told = Once()

    def read(
        self, stored: StoredObject, parse: Callable[[StoredObject], Body]
    ) -> Body | None:
        """Return what an object says; None if that cannot be read."""
        try:
            return parse(stored)
        except UnreadableError as error:
            if self._told.is_new(f'{stored.name} {stored.revision}'):
                self._log.warning(
                    '%s: object %s left out: %s', self._part, stored.name, error
                )
            return None
