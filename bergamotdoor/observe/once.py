"""Remembers recent texts, so that each is logged once."""

from __future__ import annotations

from typing import Final

#: The number of texts that are remembered, about 150 bytes each.
_MAX_TEXTS: Final = 256


class Once:
    """Set of the most recently logged texts.

    Failure: an error persists and is found again at each poll. Symptom: the
    log contains little else. Each text counts as new only once; the 256 that
    occurred most recently are remembered.
    """

    def __init__(self) -> None:
        self._texts: dict[str, None] = {}

    def is_new(self, text: str) -> bool:
        """Return whether `text` is not yet remembered, and remember it."""
        new = text not in self._texts
        self._texts.pop(text, None)
        self._texts[text] = None
        if len(self._texts) > _MAX_TEXTS:
            self._texts.pop(next(iter(self._texts)))
        return new
