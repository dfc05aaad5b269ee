"""The results of one job, in the order in which they were stored.

A result has a position once its record is in the store under the next
number. Only one record can have a number, so two processes that both run
the job cannot give one position to different results.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from bergamotdoor.jobs.messages import ItemResult, ResultRecord
    from bergamotdoor.types import ItemId


#: What a page may hold: a reader takes a megabyte at most, escapes and
#: names included.
LARGEST_PAGE_BYTES: Final = 900_000
#: The smallest links are 30 Mbit/s; used where the link is not told.
_SMALLEST_BYTES: Final = 250_000
#: What a link carries within some 70 ms. A reader's entry takes an owner
#: that shows nothing for 400 ms for lost, and several read at once.
_BYTES_PER_MBPS: Final = 8500


def page_limit_bytes(link_mbps: float) -> int:
    """Return how much text an owner shows another entry at once.

    Failure: pages that are large for a link queue behind each other.
    Symptom: a job is taken over though its owner lives. Where the link is
    fast a small page costs as much: a step whose last groups need two of
    them is read half a second later.

    Parameters
    ----------
    link_mbps
        The bandwidth of the owner's link, in Mbit/s; 0 is not known.
    """
    carried = int(link_mbps * _BYTES_PER_MBPS)
    return min(max(carried, _SMALLEST_BYTES), LARGEST_PAGE_BYTES)


class Ledger:
    """Positions of results; grows and never changes."""

    def __init__(self, records: Iterable[ResultRecord] = ()) -> None:
        self._results: list[ItemResult] = []
        self._items: set[ItemId] = set()
        #: The number that the next record gets.
        self.next_number = 0
        for record in records:
            self.append(record)

    @classmethod
    def restored(
        cls, results: Iterable[ItemResult], next_number: int
    ) -> Ledger:
        """Go on with the ledger of another process.

        Parameters
        ----------
        results
            All results that have a position there, in their order.
        next_number
            The number of the first record that is not known there.
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
        """Take the record that the store holds under the next number.

        A second result of an item is passed over, here as in every other
        process: were a record ever written that repeats one, readers
        would still see each item once, at the same position everywhere.
        """
        self.next_number += 1
        for result in record.results:
            if result.item in self._items:
                continue
            self._items.add(result.item)
            self._results.append(result)

    def unlisted(self, results: Iterable[ItemResult]) -> Iterator[ItemResult]:
        """Drop results of items that have a position already."""
        return (result for result in results if result.item not in self._items)

    def behind(self, position: int) -> tuple[ItemResult, ...]:
        """Return all results from a position on."""
        return tuple(self._results[position:])

    def page(self, after: int, limit_bytes: int) -> tuple[ItemResult, ...]:
        """Return results from a position on, at least one if there is one.

        Parameters
        ----------
        after
            The first position, from zero.
        limit_bytes
            How much text the page may hold, if it is more than one result.
        """
        return tuple(that_fit(self._results[after:], limit_bytes))


def that_fit(
    results: Iterable[ItemResult], limit_bytes: int
) -> Iterator[ItemResult]:
    """Return results up to so much text, at least one if there is one."""
    size_bytes = 0
    for number, result in enumerate(results):
        size_bytes += len(result.text.encode())
        if number and size_bytes > limit_bytes:
            return
        yield result
