"""Which score calls are sent, when, and how many at once.

Load pattern: the items of a step end together, so dozens of texts want a
score within a tenth of a second, from a service that answers callers beside
it: people who wait for a few hundred milliseconds, while a step has seconds.
So score calls take no more of a service than its free slots and leave some
of these to the callers. What waits, waits here, where it can go on at
whichever upstream is free first, and not in an upstream's queue. The calls
of the group that is nearest to being whole go first: a trainer has no use
for a part of a group.
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

#: The share of an upstream's slots that score calls leave to callers.
_CALLERS_SHARE: Final = 0.25
#: Sent although all upstreams are full or rest: it tells when that ends.
_PROBES: Final = 1
#: Pauses before a call is sent again after one that gave no score. The
#: first is that of a tick: what broke one call, such as an upstream that is
#: replaced, is mostly over for the next upstream.
_PAUSES_S: Final = (0.1, 0.2, 0.4, 0.8)


class ScoreEnd(enum.Enum):
    """What became of a score call."""

    SCORED = 'scored'
    #: No upstream gave an answer that counts.
    UNANSWERED = 'unanswered'
    #: The service failed on it, as often as its route allows.
    HOPELESS = 'hopeless'


class Unscored(msgspec.Struct):
    """A whole text that has no score yet."""

    spec: ItemSpec
    call: ScoreCall
    result: ItemResult
    #: How often the service has answered that it failed.
    failures: int = 0
    #: Calls that gave no score since the last that was answered.
    tries: int = 0
    ready_at: dt.timedelta = dt.timedelta()
    running: bool = False

    def saved(self) -> SavedTranscript:
        """Return what another owner needs to go on."""
        return saved_text(self.result, self.failures)


class ScoreQueue:
    """The texts of one job that have no score yet."""

    def __init__(self) -> None:
        self._waiting: dict[ItemId, Unscored] = {}

    def __len__(self) -> int:
        """Return how many texts have no score."""
        return len(self._waiting)

    def __iter__(self) -> Iterator[Unscored]:
        """Return the texts that have no score."""
        return iter(self._waiting.values())

    def add(
        self, spec: ItemSpec, result: ItemResult, failures: int = 0
    ) -> None:
        """Take a text that is whole; a second one of an item is dropped."""
        assert spec.score_call is not None, spec.item
        self._waiting.setdefault(
            spec.item, Unscored(spec, spec.score_call, result, failures)
        )

    def drop(self, item: ItemId) -> None:
        """Forget an item that has its result."""
        self._waiting.pop(item, None)

    def ready(
        self, open_in_group: Callable[[GroupId], int], now: dt.timedelta
    ) -> list[Unscored]:
        """Return those whose call may be sent now, the first one first.

        Parameters
        ----------
        open_in_group
            How many items of a group have no result yet.
        now
            The monotonic time.
        """
        ready = [
            one
            for one in self._waiting.values()
            if not one.running and one.ready_at <= now
        ]
        return sorted(ready, key=lambda one: open_in_group(one.spec.group))

    def give_back(
        self, text: Unscored, failures: int, most: int, now: dt.timedelta
    ) -> ScoreEnd:
        """Take a call that gave no score.

        Failure: the service is away for seconds and each call fails in
        milliseconds. Symptom: hundreds of calls a second that find nobody.
        The pause between two calls of a text doubles.

        Parameters
        ----------
        text
            The text that was to be scored.
        failures
            How many upstreams answered that they failed.
        most
            How many such answers make it hopeless.
        now
            The monotonic time.
        """
        text.running = False
        text.failures += failures
        if text.failures >= most:
            return ScoreEnd.HOPELESS
        pause_s = _PAUSES_S[min(text.tries, len(_PAUSES_S) - 1)]
        text.tries += 1
        text.ready_at = now + dt.timedelta(seconds=pause_s)
        return ScoreEnd.UNANSWERED


def saved_text(result: ItemResult, score_failures: int = 0) -> SavedTranscript:
    """Return a whole text as it is kept for the next owner."""
    texts = tuple(result.text.split('\n'))
    return SavedTranscript(
        texts,
        result.versions,
        len(texts),
        whole=True,
        score=result.score,
        score_failures=score_failures,
    )


def restored_text(item: ItemId, saved: SavedTranscript) -> ItemResult:
    """Return a whole text that an earlier owner kept."""
    text = '\n'.join(saved.texts)
    return ItemResult(
        item, ItemState.COMPLETED, text, saved.versions, saved.score
    )


def score_room(
    upstreams: Iterable[Upstream], loads: Loads, own: int, now: dt.timedelta
) -> int:
    """Return how many more score calls a service takes now.

    Parameters
    ----------
    upstreams
        Those of the service that take new work.
    loads
        How full and how well they are.
    own
        Score calls that this process has under way there.
    now
        The monotonic time.
    """
    capacity = sum(_capacity(one, loads, now) for one in upstreams)
    return max(capacity, _PROBES) - own


def _capacity(upstream: Upstream, loads: Loads, now: dt.timedelta) -> int:
    load = loads.of(upstream.upstream)
    if load.resting(now):
        return 0
    kept = math.ceil(upstream.slots * _CALLERS_SHARE)
    return max(upstream.slots - kept - load.others(now), 0)
