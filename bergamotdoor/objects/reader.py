"""Decoding of single objects, some of which other writers may have written."""

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
    """Decoder that skips unreadable objects and logs each revision once.

    Failure: another writer puts an object under a kind that this process
    follows. Symptom: the unreadable object hides all others, or fills the log
    since it is listed again and again. Skipping it, with one log line for
    each of its revisions, avoids both.

    Parameters
    ----------
    log
        The logger for skipped objects.
    part
        The prefix of the log lines.
    """

    def __init__(self, log: logging.Logger, part: str) -> None:
        self._log = log
        self._log_prefix = part
        self._logged = Once()

    def read(
        self, stored: StoredObject, parse: Callable[[StoredObject], Body]
    ) -> Body | None:
        """Return a decoded object, or ``None`` if it is unreadable.

        Parameters
        ----------
        stored
            The object.
        parse
            Decodes the object; raises UnreadableError if it can't.
        """
        try:
            return parse(stored)
        except UnreadableError as error:
            if self._logged.is_new(f'{stored.name} {stored.revision}'):
                self._log.warning(
                    '%s: object %s left out: %s',
                    self._log_prefix,
                    stored.name,
                    error,
                )
            return None
