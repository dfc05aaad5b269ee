"""Items of a job that have no result yet, with their texts so far.

The item queue of the job tracks which items wait and which run; their events
are added to transcripts. If the trainer names a scoring service for an item,
its complete text then waits for a score; otherwise the text is the result at
once. All of this can be stored, so that another owner of the job continues.
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
    """Items of one job from their first run to their result.

    Parameters
    ----------
    spec
        The job.
    ledger
        Results that have a position already.
    partial
        Texts that the previous owner stored, by item.
    on_finished
        Called when results of complete groups wait to be stored.
    """

    def __init__(
        self,
        spec: JobSpec,
        ledger: Ledger,
        partial: dict[ItemId, SavedTranscript],
        on_finished: Callable[[], None],
    ) -> None:
        self.board = JobBoard(spec, ledger)
        #: Complete texts that have no score.
        self.scores = ScoreQueue()
        self._specs = {item.item: item for item in spec.items}
        self._transcripts: dict[ItemId, Transcript] = {}
        self._on_finished = on_finished
        for item, saved in partial.items():
            if item in self._specs and item not in ledger:
                self._restore(item, saved)

    def transcript(self, slot: Slot) -> Transcript:
        """Return the transcript of an item; a new one if it has none."""
        return self._transcripts.setdefault(slot.spec.item, Transcript())

    def take_text(self, result: ItemResult, score_failures: int = 0) -> None:
        """Record the complete text of an item, which may still need a score.

        Parameters
        ----------
        result
            The result of the item, with or without a score.
        score_failures
            How many times the item's score call was answered with a failure.
        """
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
        """Queue an item again whose run ended without a text, or lose it.

        Parameters
        ----------
        slot
            The item.
        end
            Why the run gave no text.
        where
            The upstream that the item ran at.
        now
            The monotonic time.
        """
        item = slot.spec.item
        if end in {RunEnd.TOO_OLD, RunEnd.FAILED}:
            # The text so far cannot be used; another engine starts anew.
            self._transcripts.pop(item, None)
        self.board.give_back(item, end, where, now)
        self._notify_finished()

    def take_score(self, text: Unscored, score: str) -> None:
        """Record the score of a text, which completes its item."""
        self.scores.drop(text.spec.item)
        self._finish(msgspec.structs.replace(text.result, score=score))

    def give_back_score(
        self, text: Unscored, failures: int, most: int, now: dt.timedelta
    ) -> None:
        """Record that a call gave no score; retry it or lose the item.

        Parameters
        ----------
        text
            The text without a score.
        failures
            How many upstreams answered this call with a failure.
        most
            Number of failures of a text after which its item is lost.
        now
            The monotonic time.
        """
        end = self.scores.give_back(text, failures, most, now)
        if end is ScoreEnd.HOPELESS:
            self.scores.drop(text.spec.item)
            self._finish(ItemResult(text.spec.item, ItemState.LOST))

    def stored(self, result: ItemResult) -> None:
        """Record that a result has a position, whichever owner stored it."""
        self.scores.drop(result.item)
        self.board.stored(result)

    def give_up(self) -> None:
        """Record every item without a result as lost."""
        for text in tuple(self.scores):
            self.scores.drop(text.spec.item)
        self.board.give_up()
        self._notify_finished()

    def saved(self, least_events: int) -> dict[ItemId, SavedTranscript]:
        """Return the texts from which the next owner can continue, by item.

        Parameters
        ----------
        least_events
            Minimum number of events of a text that is not complete. Shorter
            ones are left out.
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
        """Record a result; it is listed once its group is complete."""
        self.board.finish(result)
        self._notify_finished()

    def _notify_finished(self) -> None:
        if self.board.has_finished:
            self._on_finished()
