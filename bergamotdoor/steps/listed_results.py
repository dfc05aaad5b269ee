"""Results of other entries' jobs that this entry has shown already."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.jobs.ledger import that_fit
from bergamotdoor.jobs.messages import ItemResult

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bergamotdoor.peers.messages import ResultPage
    from bergamotdoor.types import JobId

#: How much text is kept: a few steps of a hundred items, beside which the
#: process itself takes 25 MB.
_MOST_BYTES: Final = 6_291_456


class _Job(msgspec.Struct):
    """What is known of one job's results."""

    total: int
    by_position: dict[int, ItemResult] = {}
    size_bytes: int = 0


class Shown(msgspec.Struct, frozen=True):
    """Results from a position on, as far as they are known here."""

    #: How many items the job has; 0 is not known.
    total: int = 0
    results: tuple[ItemResult, ...] = ()
    #: Whether they are all that a page can hold.
    enough: bool = False


class ListedResults:
    """Keeps results by their positions, which never change.

    Load pattern: clients read steps again and again, from any position, at
    any entry. Each page would come from the owner, mostly across the border
    of a zone: such reads are two thirds of all bytes between zones. A result
    that was seen here once is the same for good, so only what is new has to
    be asked for.
    """

    def __init__(self, most_bytes: int = _MOST_BYTES) -> None:
        self._most_bytes = most_bytes
        #: The one that was read last stands last.
        self._jobs: dict[JobId, _Job] = {}
        self._size_bytes = 0

    def take(self, job: JobId, after: int, page: ResultPage) -> None:
        """Keep a page that the owner has shown."""
        known = self._jobs.pop(job, None) or _Job(page.total)
        self._jobs[job] = known
        for position, result in enumerate(page.results, start=after):
            if position not in known.by_position:
                known.by_position[position] = result
                self._grow(known, len(result.text.encode()))
        while self._size_bytes > self._most_bytes and len(self._jobs) > 1:
            self._forget(next(iter(self._jobs)))

    def shown(self, job: JobId, after: int, limit_bytes: int) -> Shown:
        """Return results that stand behind each other from a position on.

        Parameters
        ----------
        job
            Whose results.
        after
            The first position, from zero.
        limit_bytes
            How much text they may have, if it is more than one result.
        """
        known = self._jobs.get(job)
        if known is None:
            return Shown()
        run = tuple(_run(known, after))
        fits = tuple(that_fit(run, limit_bytes))
        ends = after + len(fits) >= known.total
        return Shown(known.total, fits, ends or len(fits) < len(run))

    def _grow(self, job: _Job, size_bytes: int) -> None:
        job.size_bytes += size_bytes
        self._size_bytes += size_bytes

    def _forget(self, job: JobId) -> None:
        self._size_bytes -= self._jobs.pop(job).size_bytes


def _run(job: _Job, after: int) -> Iterator[ItemResult]:
    for position in itertools.count(after):
        result = job.by_position.get(position)
        if result is None:
            return
        yield result
