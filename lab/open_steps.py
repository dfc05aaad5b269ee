"""Which steps are open, who runs them, and what the store has of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lab.store import Store

_RECORD: Final = 'result-'


class OpenSteps:
    """Steps that were taken in, as the store knows them.

    Parameters
    ----------
    store
        Where the product keeps its jobs.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        #: How many items each step has.
        self.sizes: dict[str, int] = {}

    def listed(self, job: str) -> list[str]:
        """Return the items that have a position."""
        return [
            result['item']
            for name, spec in self._store.table.specs(f'job-{job}').items()
            if name.startswith(_RECORD)
            for result in spec['results']
        ]

    def open_jobs(self) -> list[str]:
        """Return the steps that are not listed to their end."""
        return [
            job
            for job, size in self.sizes.items()
            if len(self.listed(job)) < size
        ]

    def grown_job(self, before: Mapping[str, int]) -> str:
        """Return an open step with more listed than before, or nothing."""
        grown = (
            job
            for job in self.open_jobs()
            if len(self.listed(job)) > before.get(job, 0)
        )
        return next(grown, '')

    def owner(self, job: str) -> str:
        """Return the entry that the store names as a step's owner."""
        return str(self._store.table.specs('jobs')[job]['owner'])
