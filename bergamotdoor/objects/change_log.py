"""What happened to a kind of objects lately, for those that follow it."""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec

from bergamotdoor.stored import Change, Changes
from bergamotdoor.types import Revision

#: Batches that are kept. Whoever follows asks again within a second or two,
#: in which a kind has a few.
_MOST_BATCHES: Final = 64


class _Batch(msgspec.Struct, frozen=True):
    """What one watch was told."""

    until: Revision
    changes: tuple[Change, ...]


class ChangeLog:
    """Changes of a kind without a gap from one revision on.

    Parameters
    ----------
    since
        The revision from which on nothing is missing.
    """

    def __init__(self, since: Revision) -> None:
        self._since = since
        self._batches: deque[_Batch] = deque()
        #: Up to where changes are known.
        self.until = since

    def append(self, found: Changes) -> None:
        """Take what a watch from ``until`` on was told."""
        self._batches.append(_Batch(found.revision, found.changes))
        self.until = max(self.until, found.revision)
        if len(self._batches) > _MOST_BATCHES:
            self._since = self._batches.popleft().until

    def behind(self, since: Revision) -> Changes | None:
        """Return the changes behind a revision; None if some are missing.

        Whole batches are returned, so that a change may come twice. Taken
        in order they end where the kind was: the revision of a removal is
        not told, and one left out by a guess would stay there for good.
        """
        if since < self._since:
            return None
        later = [batch for batch in self._batches if batch.until > since]
        changes = tuple(change for batch in later for change in batch.changes)
        return Changes(changes, max(self.until, since))
