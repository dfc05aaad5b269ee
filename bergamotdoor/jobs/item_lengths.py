"""Expected lengths of the items of one batch job, in events."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from bergamotdoor.jobs.open_work import events_of
from bergamotdoor.jobs.progress import Progress, remaining_events

if TYPE_CHECKING:
    import datetime as dt

    from bergamotdoor.jobs.messages import ItemSpec
    from bergamotdoor.jobs.open_items import OpenItems
    from bergamotdoor.types import UpstreamId


class ItemLengths:
    """Expected lengths of a job's items, as of one moment.

    Parameters
    ----------
    items
        The open items of the job.
    tokens_per_event
        Number of tokens in one event of the engines' streams.
    """

    def __init__(self, items: OpenItems, tokens_per_event: float) -> None:
        self._items = items
        self._tokens_per_event = tokens_per_event

    def start_progress(
        self, spec: ItemSpec, upstream: UpstreamId, now: dt.timedelta
    ) -> Progress:
        """Return the progress of a run of an item that begins now.

        Parameters
        ----------
        spec
            The item.
        upstream
            The engine that runs it.
        now
            The monotonic time.
        """
        return Progress(
            spec.item,
            upstream,
            now,
            events_of(spec.expected_tokens, self._tokens_per_event),
            self._items.event_count(spec.item),
            events_of(spec.most_tokens, self._tokens_per_event),
        )

    def remaining_events(self, spec: ItemSpec) -> float:
        """Return how many events an item is expected to lack.

        It is 0 if the trainer gave no estimate of its length.
        """
        if not spec.expected_tokens:
            return 0
        return remaining_events(
            events_of(spec.expected_tokens, self._tokens_per_event),
            events_of(spec.most_tokens, self._tokens_per_event),
            self._items.event_count(spec.item),
        )

    @functools.cached_property
    def longest_events(self) -> float:
        """Events that the item lacks which lacks the most, running or not."""
        return max(
            (
                self.remaining_events(queued.spec)
                for queued in self._items.item_queue.items
                if queued.result is None and not queued.is_generated
            ),
            default=0,
        )
