"""Decisions about score calls: their order, their number and their retries.

Load pattern: the items of a step end together, so dozens of texts need a
score within a tenth of a second. The scoring service also serves other
callers: people who wait for a few hundred milliseconds, while a step has
seconds. Score calls therefore use only free slots of the service and leave a
share of these to the callers. Calls for which there is no slot wait here, and
not in the queue of an upstream, so that each can go to whichever upstream is
free first. Texts of the group that is closest to being complete go first,
since a trainer cannot use a part of a group.
"""

from __future__ import annotations

import datetime as dt
import enum
import math
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.jobs.messages import (
    ItemResult,
    ItemSpec,
    ItemState,
    ScoreCall,
)
from bergamotdoor.jobs.transcript import SavedTranscript

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from bergamotdoor.fleet.loads import Loads
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.types import GroupId, ItemId

#: Share of an upstream's slots that score calls leave to callers.
_CALLERS_SHARE: Final = 0.25
#: Score calls that are sent even if all upstreams are full, or in backoff after
#: a failure: their answers show when a service accepts calls again.
_PROBE_CALLS: Final = 1
#: Pauses before a score call is sent again, by the number of calls of the
#: text that gave no score. The first equals the tick at which an owner checks
#: its waiting items: what broke one call, such as the replacement of an
#: upstream, usually does not affect the next upstream.
_RETRY_PAUSES_S: Final = (0.1, 0.2, 0.4, 0.8)


class ScoreEnd(enum.Enum):
    """Outcome of a score call."""

    SCORED = 'scored'
    #: No upstream gave a valid answer. The call is sent again.
    UNANSWERED = 'unanswered'
    #: The service answered with a failure as often as its route allows.
    HOPELESS = 'hopeless'


class UnscoredText(msgspec.Struct):
    """Complete text that has no score yet."""

    spec: ItemSpec
    call: ScoreCall
    result: ItemResult
    #: How many times the service answered with a failure.
    failures: int = 0
    #: How many calls gave no score.
    tries: int = 0
    #: Monotonic time from which the next call may be sent.
    ready_at: dt.timedelta = dt.timedelta()
    #: Whether a call is in progress.
    is_running: bool = False

    def to_saved(self) -> SavedTranscript:
        """Return the stored form, from which another owner can continue."""
        return saved_from_result(self.result, self.failures)


class ScoreQueue:
    """Complete texts of one job that have no score yet."""

    def __init__(self) -> None:
        self._texts: dict[ItemId, UnscoredText] = {}

    def __len__(self) -> int:
        """Return how many texts have no score."""
        return len(self._texts)

    def __iter__(self) -> Iterator[UnscoredText]:
        """Return an iterator over the texts that have no score."""
        return iter(self._texts.values())

    def add(
        self, spec: ItemSpec, result: ItemResult, failures: int = 0
    ) -> None:
        """Add a complete text; ignore it if its item is in the queue.

        Parameters
        ----------
        spec
            The item, which must have a score call.
        result
            The item's result without a score.
        failures
            How many times the service answered an earlier owner's call for
            this text with a failure.
        """
        assert spec.score_call is not None, spec.item
        self._texts.setdefault(
            spec.item, UnscoredText(spec, spec.score_call, result, failures)
        )

    def drop(self, item: ItemId) -> None:
        """Remove an item that has its final result, if it is in the queue."""
        self._texts.pop(item, None)

    def ready_texts(
        self, open_in_group: Callable[[GroupId], int], now: dt.timedelta
    ) -> list[UnscoredText]:
        """Return the texts whose call may be sent now, in order of urgency.

        Parameters
        ----------
        open_in_group
            Returns how many items of a group have no result yet.
        now
            The monotonic time.
        """
        ready = [
            one
            for one in self._texts.values()
            if not one.is_running and one.ready_at <= now
        ]
        return sorted(ready, key=lambda one: open_in_group(one.spec.group))

    def record_failed_call(
        self,
        text: UnscoredText,
        failures: int,
        max_failures: int,
        now: dt.timedelta,
    ) -> ScoreEnd:
        """Record that a call gave no score, and schedule the next one.

        Failure: the service is unavailable for seconds, and each call fails
        within milliseconds. Symptom: hundreds of calls a second that reach no
        upstream. The pause between two calls for a text therefore doubles,
        from 0.1 up to 0.8 s.

        Parameters
        ----------
        text
            The text without a score.
        failures
            How many upstreams answered this call with a failure.
        max_failures
            Number of failures of a text after which no call is sent again.
        now
            The monotonic time.

        Returns
        -------
        ScoreEnd
            ``HOPELESS`` if no call is sent again, otherwise ``UNANSWERED``.
        """
        text.is_running = False
        text.failures += failures
        if text.failures >= max_failures:
            return ScoreEnd.HOPELESS
        pause_s = _RETRY_PAUSES_S[min(text.tries, len(_RETRY_PAUSES_S) - 1)]
        text.tries += 1
        text.ready_at = now + dt.timedelta(seconds=pause_s)
        return ScoreEnd.UNANSWERED


def saved_from_result(
    result: ItemResult, score_failures: int = 0
) -> SavedTranscript:
    """Return a result as it is stored for the next owner.

    Parameters
    ----------
    result
        The result of the item, with or without a score.
    score_failures
        How many times the score call was answered with a failure.
    """
    if result.state is ItemState.LOST:
        return SavedTranscript((), (), 0, lost=True)
    texts = tuple(result.text.split('\n'))
    return SavedTranscript(
        texts,
        result.versions,
        len(texts),
        whole=True,
        score=result.score,
        score_failures=score_failures,
    )


def result_from_saved(item: ItemId, saved: SavedTranscript) -> ItemResult:
    """Return the result of a complete text that an earlier owner stored."""
    text = '\n'.join(saved.texts)
    return ItemResult(
        item, ItemState.COMPLETED, text, saved.versions, saved.score
    )


def free_score_slots(
    upstreams: Iterable[Upstream],
    loads: Loads,
    own_calls: int,
    now: dt.timedelta,
) -> int:
    """Return how many more score calls may be sent to a service now.

    The result is not positive if no call may be sent.

    Parameters
    ----------
    upstreams
        Upstreams of the service that accept new requests.
    loads
        Load and health of the upstreams.
    own_calls
        Number of score calls of this process to the service in progress.
    now
        The monotonic time.
    """
    slots = sum(_slots_for_scoring(one, loads, now) for one in upstreams)
    return max(slots, _PROBE_CALLS) - own_calls


def _slots_for_scoring(
    upstream: Upstream, loads: Loads, now: dt.timedelta
) -> int:
    load = loads.of(upstream.upstream)
    if load.is_in_backoff(now):
        return 0
    for_callers = math.ceil(upstream.slots * _CALLERS_SHARE)
    return max(
        upstream.slots - for_callers - load.estimated_other_requests(now), 0
    )
