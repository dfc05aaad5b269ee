"""Items of a job that have no result yet, with their texts so far.

The item queue of the job tracks which items wait and which run; their events
are added to transcripts. If the trainer names a scoring service for an item,
its complete text then waits for a score; otherwise the text is the result at
once. All of this can be stored, so that another owner of the job continues.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bergamotdoor.jobs.item_queue import ItemQueue, RunEnd
from bergamotdoor.jobs.messages import ItemResult, ItemState
from bergamotdoor.jobs.scoring import (
    ScoreEnd,
    ScoreQueue,
    result_from_saved,
    saved_from_result,
)
from bergamotdoor.jobs.transcript import Transcript

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Callable

    from bergamotdoor.jobs.item_queue import QueuedItem
    from bergamotdoor.jobs.ledger import Ledger
    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.jobs.scoring import UnscoredText
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
        failures = {item: saved.failures for item, saved in partial.items()}
        self.item_queue = ItemQueue(spec, ledger, failures)
        #: Complete texts that have no score.
        self.score_queue = ScoreQueue()
        self._specs = {item.item: item for item in spec.items}
        self._transcripts: dict[ItemId, Transcript] = {}
        self._on_finished = on_finished
        for item, saved in partial.items():
            if item in self._specs and item not in ledger:
                self._restore(item, saved)

    def transcript(self, queued: QueuedItem) -> Transcript:
        """Return the transcript of an item; a new one if it has none."""
        return self._transcripts.setdefault(queued.spec.item, Transcript())

    def event_count(self, item: ItemId) -> int:
        """Return how many events an item has so far."""
        found = self._transcripts.get(item)
        return 0 if found is None else found.event_count

    def record_text(self, result: ItemResult, score_failures: int = 0) -> None:
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
            self.item_queue.mark_generated(result.item)
            self.score_queue.add(spec, result, score_failures)

    def requeue_item(
        self,
        queued: QueuedItem,
        end: RunEnd,
        upstream: UpstreamId,
        now: dt.timedelta,
    ) -> None:
        """Queue an item again whose run ended without a text, or lose it.

        Parameters
        ----------
        queued
            The item.
        end
            Why the run gave no text.
        upstream
            The upstream that the item ran at.
        now
            The monotonic time.
        """
        item = queued.spec.item
        if end in {RunEnd.TOO_OLD, RunEnd.FAILED}:
            # The text so far cannot be used; another engine starts anew.
            self._transcripts.pop(item, None)
        self.item_queue.requeue_item(item, end, upstream, now)
        self._notify_finished()

    def record_score(self, text: UnscoredText, score: str) -> None:
        """Record the score of a text, which completes its item."""
        self.score_queue.drop(text.spec.item)
        self._finish(msgspec.structs.replace(text.result, score=score))

    def record_failed_score_call(
        self,
        text: UnscoredText,
        failures: int,
        max_failures: int,
        now: dt.timedelta,
    ) -> None:
        """Record that a call gave no score; retry it or lose the item.

        Parameters
        ----------
        text
            The text without a score.
        failures
            How many upstreams answered this call with a failure.
        max_failures
            Number of failures of a text after which its item is lost.
        now
            The monotonic time.
        """
        end = self.score_queue.record_failed_call(
            text, failures, max_failures, now
        )
        if end is ScoreEnd.HOPELESS:
            self.score_queue.drop(text.spec.item)
            self._finish(ItemResult(text.spec.item, ItemState.LOST))

    def mark_stored(self, result: ItemResult) -> None:
        """Record that a result has a position, whichever owner stored it."""
        self.score_queue.drop(result.item)
        self.item_queue.mark_stored(result)

    def mark_open_items_lost(self) -> None:
        """Record every item without a result as lost."""
        for text in tuple(self.score_queue):
            self.score_queue.drop(text.spec.item)
        for queued in self.item_queue.unfinished():
            lost = ItemResult(queued.spec.item, ItemState.LOST)
            self.item_queue.record_result(lost)
        self._notify_finished()

    def saved_transcripts(
        self, min_events: int
    ) -> dict[ItemId, SavedTranscript]:
        """Return the texts from which the next owner can continue, by item.

        Failure: an item fails at each engine, and its owner changes. Symptom:
        each owner runs it as often as its route allows. So the failures of an
        item are part of its saved text, also if that is empty, and so is that
        it is lost.

        Parameters
        ----------
        min_events
            Minimum number of events of a text that is not complete. Shorter
            ones are left out, unless the item has failed.
        """
        saved = {
            queued.spec.item: self.transcript(queued).to_saved(queued.failures)
            for queued in self.item_queue.unfinished()
            if queued.failures
            or self.event_count(queued.spec.item) >= min_events
        }
        saved.update(
            (one.spec.item, one.to_saved()) for one in self.score_queue
        )
        saved.update(
            (result.item, saved_from_result(result))
            for result in self.item_queue.results_in_open_groups()
        )
        return saved

    def _restore(self, item: ItemId, saved: SavedTranscript) -> None:
        if saved.lost:
            self._finish(ItemResult(item, ItemState.LOST))
        elif saved.whole:
            text = result_from_saved(item, saved)
            self.record_text(text, saved.score_failures)
        else:
            self._transcripts[item] = Transcript.from_saved(saved)

    def _finish(self, result: ItemResult) -> None:
        """Record a result; it is listed once its group is complete."""
        self.item_queue.record_result(result)
        self._notify_finished()

    def _notify_finished(self) -> None:
        if self.item_queue.has_results_to_store:
            self._on_finished()
