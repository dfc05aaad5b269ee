"""Listed results of one job, in the order in which they were stored.

A result is listed, and has a position, once its record is in the store under
the next record number. Only one record can have a number, so two processes
that both run the job cannot give the same position to different results.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from bergamotdoor.jobs.messages import ItemResult, ResultRecord
    from bergamotdoor.types import ItemId


#: Limit for the text of a page. A reader accepts at most a megabyte, which
#: also has to hold escape characters and field names.
LARGEST_PAGE_BYTES: Final = 900_000
#: Limit for the slowest links, which have 30 Mbit/s, and for links of unknown
#: bandwidth.
_SMALLEST_PAGE_BYTES: Final = 250_000
#: Limit per Mbit/s of bandwidth: what a link carries within about 70 ms.
#: Several entries read at once, and a reader's entry takes an owner for lost
#: if it sends nothing for 400 ms.
_PAGE_BYTES_PER_MBPS: Final = 8500


def page_limit_bytes(link_mbps: float) -> int:
    """Return how much text an owner sends to another entry in one page.

    Failure: pages that are large for the link queue behind each other.
    Symptom: another entry takes the job over although its owner is alive.
    On a fast link, small pages are harmful too: if the last groups of a step
    need two pages, the trainer has them half a second later.

    Parameters
    ----------
    link_mbps
        Bandwidth of the owner's link, in Mbit/s; 0 if it is not known.
    """
    carried_bytes = int(link_mbps * _PAGE_BYTES_PER_MBPS)
    return min(max(carried_bytes, _SMALLEST_PAGE_BYTES), LARGEST_PAGE_BYTES)


class Ledger:
    """Append-only list of results; the index of a result is its position.

    Parameters
    ----------
    records
        Records that the store holds, in the order of their numbers from the
        first on.
    """

    def __init__(self, records: Iterable[ResultRecord] = ()) -> None:
        self._results: list[ItemResult] = []
        self._items: set[ItemId] = set()
        #: The number that the next record gets.
        self.next_number = 0
        for record in records:
            self.append(record)

    @classmethod
    def from_results(
        cls, results: Iterable[ItemResult], next_number: int
    ) -> Ledger:
        """Return a ledger with the content of another process's ledger.

        Parameters
        ----------
        results
            All results of the other ledger, in the order of their positions.
        next_number
            The number of the first record that the other ledger lacks.
        """
        ledger = cls()
        ledger._results = list(results)
        ledger._items = {result.item for result in ledger._results}
        ledger.next_number = next_number
        return ledger

    def __len__(self) -> int:
        """Return how many results have a position."""
        return len(self._results)

    def __contains__(self, item: ItemId) -> bool:
        """Return whether an item has a position."""
        return item in self._items

    def append(self, record: ResultRecord) -> None:
        """Add the record that the store holds under the next number.

        A second result of an item is ignored, as in every other process. If
        a record ever repeated an item, readers would still receive the item
        once, at the same position from every process.
        """
        self.next_number += 1
        for result in record.results:
            if result.item in self._items:
                continue
            self._items.add(result.item)
            self._results.append(result)

    def unlisted(self, results: Iterable[ItemResult]) -> Iterator[ItemResult]:
        """Return those of the results whose items have no position yet."""
        return (result for result in results if result.item not in self._items)

    def results_from(self, position: int) -> tuple[ItemResult, ...]:
        """Return all results from a position on."""
        return tuple(self._results[position:])

    def page(self, after: int, limit_bytes: int) -> tuple[ItemResult, ...]:
        """Return consecutive results, as many as fit into a page.

        Parameters
        ----------
        after
            Position of the first result, counted from zero.
        limit_bytes
            How much text the page may hold. The first result is returned
            whatever its size.
        """
        return tuple(fitting_results(self._results[after:], limit_bytes))


def fitting_results(
    results: Iterable[ItemResult], limit_bytes: int
) -> Iterator[ItemResult]:
    """Yield results until their text exceeds a size limit.

    Parameters
    ----------
    results
        The results, in the order in which they are returned.
    limit_bytes
        How much text the results may have together. The first result is
        returned whatever its size.
    """
    size_bytes = 0
    for number, result in enumerate(results):
        size_bytes += len(result.text.encode())
        if number and size_bytes > limit_bytes:
            return
        yield result
