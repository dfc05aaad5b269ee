"""Open steps, with their owners and their results in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lab.store import Store

_RESULT_PREFIX: Final = 'result-'


class OpenSteps:
    """The steps that entries have accepted, as the store has them.

    Parameters
    ----------
    store
        The store model with the product's jobs.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        #: The number of items of each accepted step.
        self.sizes: dict[str, int] = {}

    def listed(self, job: str) -> list[str]:
        """Return the ids of the items that have a position."""
        return [
            result['item']
            for name, spec in self._store.table.specs(f'job-{job}').items()
            if name.startswith(_RESULT_PREFIX)
            for result in spec['results']
        ]

    def open_jobs(self) -> list[str]:
        """Return the steps of which not all items are listed."""
        return [
            job
            for job, size in self.sizes.items()
            if len(self.listed(job)) < size
        ]

    def grown_job(self, before: Mapping[str, int]) -> str:
        """Return an open step with more listed items than before.

        Parameters
        ----------
        before
            The numbers of listed items at an earlier time; 0 for steps that
            are missing in it.

        Returns
        -------
        str
            The job's id, empty if there is no such step.
        """
        grown = (
            job
            for job in self.open_jobs()
            if len(self.listed(job)) > before.get(job, 0)
        )
        return next(grown, '')

    def owner(self, job: str) -> str:
        """Return the name of the entry that owns a step."""
        return str(self._store.table.specs('jobs')[job]['owner'])
