"""Events that the runs of one item have generated so far."""

from __future__ import annotations

from typing import Final

import msgspec

from bergamotdoor.types import WeightVersion

#: Engines number the events of an item from one, or from zero.
_FIRST_NUMBERS: Final = frozenset((0, 1))


class GeneratedEvent(msgspec.Struct, frozen=True):
    """One event of an engine's stream.

    ``version`` is set if the weight version that generates the text changes
    with this event.
    """

    number: int
    text: str
    version: WeightVersion | None = None
    #: Bytes of the event in the stream, including the empty line at its end.
    raw: bytes = b''


class SavedTranscript(msgspec.Struct, frozen=True):
    """Transcript as it is stored for the next owner of the job."""

    #: Texts of the events, in order.
    texts: tuple[str, ...]
    versions: tuple[WeightVersion, ...]
    #: Number of the last event.
    last_number: int
    #: Whether the text is complete, and only its score or its group is not.
    whole: bool = False
    #: Score of a complete text; empty if it is not known.
    score: str = ''
    #: How many times the score call of the text was answered with a failure.
    score_failures: int = 0
    #: How many runs of the item the engines answered with a failure.
    failures: int = 0
    #: Whether the item is lost, so that it has no text and never runs again.
    lost: bool = False


class Transcript:
    """Events of one item in order, from all of its runs.

    If a run breaks, any engine can continue the item after the last complete
    event. An event out of order would mean that the text lacks events or has
    some twice, so it ends the run.
    """

    def __init__(self) -> None:
        self._texts: list[str] = []
        self._versions: set[WeightVersion] = set()
        #: The version that generates the next event.
        self._current_version = WeightVersion(0)
        #: Number of the last complete event; ``None`` if there is no event.
        self.last_number: int | None = None

    @classmethod
    def from_saved(cls, saved: SavedTranscript) -> Transcript:
        """Return the transcript that an earlier owner of the job stored."""
        transcript = cls()
        transcript._texts = list(saved.texts)
        transcript._versions = set(saved.versions)
        if saved.texts:
            transcript.last_number = saved.last_number
        return transcript

    def to_saved(self, failures: int = 0) -> SavedTranscript:
        """Return this transcript in its stored form.

        Parameters
        ----------
        failures
            How many runs of the item the engines answered with a failure.
        """
        return SavedTranscript(
            tuple(self._texts),
            self.versions,
            self.last_number or 0,
            failures=failures,
        )

    @property
    def versions(self) -> tuple[WeightVersion, ...]:
        """Every weight version that generated an event, in order."""
        return tuple(sorted(self._versions))

    @property
    def event_count(self) -> int:
        """Number of events."""
        return len(self._texts)

    @property
    def text(self) -> str:
        """Texts of all events, joined by line breaks."""
        return '\n'.join(self._texts)

    def begin_run(self, version: WeightVersion) -> None:
        """Set the weight version that generates at the start of a run."""
        self._current_version = version

    def add(self, event: GeneratedEvent) -> bool:
        """Add the next event; return ``False`` if it is out of order.

        An event out of order is not added.
        """
        last = self.last_number
        expected = _FIRST_NUMBERS if last is None else {last + 1}
        if event.number not in expected:
            return False
        if event.version is not None:
            self._current_version = event.version
        self.last_number = event.number
        self._texts.append(event.text)
        self._versions.add(self._current_version)
        return True

    def has_accepted_versions(
        self, min_version: WeightVersion, single_version: bool
    ) -> bool:
        """Return whether a job accepts the versions of this transcript.

        Parameters
        ----------
        min_version
            The oldest weight version that the job accepts.
        single_version
            Whether the job accepts only texts from a single version.
        """
        if any(version < min_version for version in self._versions):
            return False
        return not single_version or len(self._versions) <= 1
