"""Cache of listed results of jobs that other entries own."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.jobs.ledger import fitting_results
from bergamotdoor.jobs.messages import ItemResult

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bergamotdoor.peers.messages import ResultPage
    from bergamotdoor.types import JobId

#: The most text that is cached: a few jobs of a hundred items. The process
#: takes 25 MB without it.
_MAX_BYTES: Final = 6_291_456


class _CachedJob(msgspec.Struct):
    """The results of one job that are cached."""

    total: int
    by_position: dict[int, ItemResult] = {}
    size_bytes: int = 0


class CachedPage(msgspec.Struct, frozen=True):
    """Consecutive results from a position on, as far as they are cached."""

    #: How many items the job has; 0 if that is unknown.
    total: int = 0
    results: tuple[ItemResult, ...] = ()
    #: Whether no more results fit into the page, or the job has no more.
    is_complete: bool = False


class ResultCache:
    """Cache of results by position; a listed result never changes.

    Load pattern: clients read jobs again and again, from any position, at any
    entry. Without a cache each page would come from the owner, mostly across
    the border of an availability zone: such reads are two thirds of all bytes
    between zones. A result that was read once is valid for good, so only new
    results are requested from the owner. The job whose latest page was
    added first is evicted first.

    Parameters
    ----------
    max_bytes
        Upper bound of the cached text, in bytes. The most recent job may
        exceed it alone.
    """

    def __init__(self, max_bytes: int = _MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        #: In the order of their latest pages, the most recent one last.
        self._jobs: dict[JobId, _CachedJob] = {}
        self._size_bytes = 0

    def add_page(self, job: JobId, after: int, page: ResultPage) -> None:
        """Add a page of results that a job's owner has sent."""
        known = self._jobs.pop(job, None) or _CachedJob(page.total)
        self._jobs[job] = known
        for position, result in enumerate(page.results, start=after):
            if position not in known.by_position:
                known.by_position[position] = result
                self._add_size(known, len(result.text.encode()))
        while self._size_bytes > self._max_bytes and len(self._jobs) > 1:
            self._evict(next(iter(self._jobs)))

    def cached_page(
        self, job: JobId, after: int, limit_bytes: int
    ) -> CachedPage:
        """Return consecutive results from a position on.

        Parameters
        ----------
        job
            The job.
        after
            The first position, from zero.
        limit_bytes
            The most text of the page, unless it has a single result.
        """
        known = self._jobs.get(job)
        if known is None:
            return CachedPage()
        consecutive = tuple(_consecutive_results(known, after))
        fitting = tuple(fitting_results(consecutive, limit_bytes))
        reaches_end = after + len(fitting) >= known.total
        return CachedPage(
            known.total, fitting, reaches_end or len(fitting) < len(consecutive)
        )

    def _add_size(self, job: _CachedJob, size_bytes: int) -> None:
        job.size_bytes += size_bytes
        self._size_bytes += size_bytes

    def _evict(self, job: JobId) -> None:
        self._size_bytes -= self._jobs.pop(job).size_bytes


def _consecutive_results(job: _CachedJob, after: int) -> Iterator[ItemResult]:
    for position in itertools.count(after):
        result = job.by_position.get(position)
        if result is None:
            return
        yield result
