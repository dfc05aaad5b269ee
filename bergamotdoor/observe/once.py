"""Things that are told once, in bounded memory."""

from __future__ import annotations

from typing import Final

#: Texts that are remembered; each takes some 150 bytes.
_MOST: Final = 256


class Once:
    """Tells what has not been told before.

    Failure: something stays wrong and is met again with every beat. Symptom:
    the log holds little else. Each text is new once; of those that are told
    again and again the 256 newest are remembered.
    """

    def __init__(self) -> None:
        self._told: dict[str, None] = {}

    def is_new(self, text: str) -> bool:
        """Return whether a text was not told before, and remember it."""
        new = text not in self._told
        self._told.pop(text, None)
        self._told[text] = None
        if len(self._told) > _MOST:
            self._told.pop(next(iter(self._told)))
        return new
