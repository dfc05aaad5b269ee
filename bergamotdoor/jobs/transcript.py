"""What an item's runs have generated so far."""

from __future__ import annotations

from typing import Final

import msgspec

from bergamotdoor.types import WeightVersion

#: Engines number events from one, or from zero.
_FIRST_NUMBERS: Final = frozenset((0, 1))


class GeneratedEvent(msgspec.Struct, frozen=True):
    """One event of an engine's stream.

    ``version`` is set where the generating version changes with it.
    """

    number: int
    text: str
    version: WeightVersion | None = None
    #: Its bytes, with the empty line at the end.
    raw: bytes = b''


class SavedTranscript(msgspec.Struct, frozen=True):
    """A transcript as it is kept for the next owner."""

    texts: tuple[str, ...]
    versions: tuple[WeightVersion, ...]
    last_number: int
    #: Whether the text is whole, and only its group is not.
    whole: bool = False
    #: Of a whole text, where it is known already.
    score: str = ''
    #: How often its score call was answered with a failure.
    score_failures: int = 0


class Transcript:
    """Events of one item in order, over all runs that made them.

    A run that breaks is continued behind the last whole event, by any
    engine. An event out of order would be missing or stand twice in the
    text, so it ends the run.
    """

    def __init__(self) -> None:
        self._texts: list[str] = []
        self._versions: set[WeightVersion] = set()
        self._version = WeightVersion(0)
        #: The number of the last whole event, None before the first.
        self.last_number: int | None = None

    @classmethod
    def restored(cls, saved: SavedTranscript) -> Transcript:
        """Go on with what an earlier owner kept."""
        transcript = cls()
        transcript._texts = list(saved.texts)
        transcript._versions = set(saved.versions)
        transcript.last_number = saved.last_number
        return transcript

    def saved(self) -> SavedTranscript:
        """Return what there is; only of a transcript that has events."""
        assert self.last_number is not None
        return SavedTranscript(
            tuple(self._texts), self.versions, self.last_number
        )

    @property
    def versions(self) -> tuple[WeightVersion, ...]:
        """Every version that generated an event."""
        return tuple(sorted(self._versions))

    @property
    def count(self) -> int:
        """How many events there are."""
        return len(self._texts)

    @property
    def text(self) -> str:
        """The texts of all events."""
        return '\n'.join(self._texts)

    def begin_run(self, version: WeightVersion) -> None:
        """Take the version under which a run begins or goes on."""
        self._version = version

    def add(self, event: GeneratedEvent) -> bool:
        """Take the next event; return False if it is out of order."""
        last = self.last_number
        expected = _FIRST_NUMBERS if last is None else {last + 1}
        if event.number not in expected:
            return False
        if event.version is not None:
            self._version = event.version
        self.last_number = event.number
        self._texts.append(event.text)
        self._versions.add(self._version)
        return True

    def fits(self, oldest: WeightVersion, single: bool) -> bool:
        """Return whether a job takes what was generated."""
        if any(version < oldest for version in self._versions):
            return False
        return not single or len(self._versions) <= 1
