"""The items of a job that have no result yet, and what each has so far.

An item waits and runs on the board; its events gather in a transcript. A
text that is whole wants a score, where its trainer names a service for that,
and has its result then. All of it can be kept for another owner.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.jobs.board import JobBoard, RunEnd
from bergamotdoor.jobs.messages import ItemResult, ItemState
from bergamotdoor.jobs.scoring import (
    ScoreEnd,
    ScoreQueue,
    restored_text,
    saved_text,
)
from bergamotdoor.jobs.transcript import Transcript

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Callable

    from bergamotdoor.jobs.board import Slot
    from bergamotdoor.jobs.ledger import Ledger
    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.jobs.scoring import Unscored
    from bergamotdoor.jobs.transcript import SavedTranscript
    from bergamotdoor.types import ItemId, UpstreamId


class OpenItems:
    """The items of one job on their way to a result.

    Parameters
    ----------
    spec
        The job.
    ledger
        Results that have a position already.
    partial
        What the owner before kept.
    on_finished
        Called when results wait to be stored.
    """

    def __init__(
        self,
        spec: JobSpec,
        ledger: Ledger,
        partial: dict[ItemId, SavedTranscript],
        on_finished: Callable[[], None],
    ) -> None:
        self.board = JobBoard(spec, ledger)
        #: Texts that are whole and have no score.
        self.scores = ScoreQueue()
        self._specs = {item.item: item for item in spec.items}
        self._transcripts: dict[ItemId, Transcript] = {}
        self._on_finished = on_finished
        for item, saved in partial.items():
            if item in self._specs and item not in ledger:
                self._restore(item, saved)

    def transcript(self, slot: Slot) -> Transcript:
        """Return what an item has so far."""
        return self._transcripts.setdefault(slot.spec.item, Transcript())

    def take_text(self, result: ItemResult, score_failures: int = 0) -> None:
        """Take an item's whole text; it may want a score yet."""
        self._transcripts.pop(result.item, None)
        spec = self._specs[result.item]
        if spec.score_call is None or result.score:
            self._finish(result)
        else:
            self.board.generated(result.item)
            self.scores.add(spec, result, score_failures)

    def give_back(
        self, slot: Slot, end: RunEnd, where: UpstreamId, now: dt.timedelta
    ) -> None:
        """Take an item that ran without a text."""
        item = slot.spec.item
        if end in {RunEnd.TOO_OLD, RunEnd.FAILED}:
            # Another engine may begin anew; what was made does not fit.
            self._transcripts.pop(item, None)
        self.board.give_back(item, end, where, now)
        self._note_finished()

    def take_score(self, text: Unscored, score: str) -> None:
        """Take the score of a text."""
        self.scores.drop(text.spec.item)
        self._finish(msgspec.structs.replace(text.result, score=score))

    def give_back_score(
        self, text: Unscored, failures: int, most: int, now: dt.timedelta
    ) -> None:
        """Take a score call that gave none; it is sent again, or given up.

        Parameters
        ----------
        text
            The text that was to be scored.
        failures
            How many upstreams answered that they failed.
        most
            After how many such answers there will be none.
        now
            The monotonic time.
        """
        end = self.scores.give_back(text, failures, most, now)
        if end is ScoreEnd.HOPELESS:
            self.scores.drop(text.spec.item)
            self._finish(ItemResult(text.spec.item, ItemState.LOST))

    def stored(self, result: ItemResult) -> None:
        """Take a result that has its position, by whichever owner."""
        self.scores.drop(result.item)
        self.board.stored(result)

    def give_up(self) -> None:
        """End every open item as lost."""
        for text in tuple(self.scores):
            self.scores.drop(text.spec.item)
        self.board.give_up()
        self._note_finished()

    def saved(self, least_events: int) -> dict[ItemId, SavedTranscript]:
        """Return what the next owner can go on with.

        Parameters
        ----------
        least_events
            How many events a text must have that is not whole.
        """
        saved = {
            item: transcript.saved()
            for item, transcript in self._transcripts.items()
            if transcript.count >= least_events
        }
        saved.update((one.spec.item, one.saved()) for one in self.scores)
        saved.update(
            (result.item, saved_text(result))
            for result in self.board.unlisted()
        )
        return saved

    def _restore(self, item: ItemId, saved: SavedTranscript) -> None:
        if saved.whole:
            text = restored_text(item, saved)
            self.take_text(text, saved.score_failures)
        else:
            self._transcripts[item] = Transcript.restored(saved)

    def _finish(self, result: ItemResult) -> None:
        """Take a result; it is listed once its group is whole."""
        self.board.finish(result)
        self._note_finished()

    def _note_finished(self) -> None:
        if self.board.has_finished:
            self._on_finished()
