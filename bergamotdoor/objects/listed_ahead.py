"""Objects of a listing that are newer than the revision of the listing."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bergamotdoor.stored import Change, Changes, Listing
    from bergamotdoor.types import Revision


class ListedAhead:
    """Filter for changes that are older than what a listing showed.

    Changes may come from a process that has not seen as much of the store as
    the listing has. An object is left as listed until the changes reach its
    listed revision. Single changes can't be compared, since the store does not
    report the revision of a removal.
    """

    def __init__(self) -> None:
        #: Revisions of the objects, by name.
        self._revisions: dict[str, Revision] = {}

    @classmethod
    def from_listing(cls, listing: Listing) -> ListedAhead:
        """Return the filter for the changes after a listing."""
        ahead = cls()
        ahead._revisions = {
            stored.name: stored.revision
            for stored in listing.objects
            if stored.revision > listing.revision
        }
        return ahead

    def without_older(self, found: Changes) -> tuple[Change, ...]:
        """Return the changes of objects that `found` has caught up with.

        Parameters
        ----------
        found
            The next changes after the listing, in order.
        """
        self._revisions = {
            name: revision
            for name, revision in self._revisions.items()
            if revision > found.revision
        }
        return tuple(
            change
            for change in found.changes
            if change.stored.name not in self._revisions
        )
