"""Recent changes of an object kind, kept for the processes that follow it."""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec

from bergamotdoor.stored import Change, Changes
from bergamotdoor.types import Revision

#: Number of batches that a log keeps. A follower asks again within one or
#: two seconds, and a kind gets only a few batches in that time.
_MAX_BATCHES: Final = 64


class _Batch(msgspec.Struct, frozen=True):
    """Changes that one watch returned."""

    #: The revision up to which the batch is complete.
    until: Revision
    changes: tuple[Change, ...]


class ChangeLog:
    """Gapless changes of a kind, from one revision on.

    Parameters
    ----------
    since
        The revision after which no change is missing.
    """

    def __init__(self, since: Revision) -> None:
        self._since = since
        self._batches: deque[_Batch] = deque()
        #: The revision up to which the changes are known.
        self.until = since

    def append(self, found: Changes) -> None:
        """Add the changes that a watch from ``until`` on returned."""
        self._batches.append(_Batch(found.revision, found.changes))
        self.until = max(self.until, found.revision)
        if len(self._batches) > _MAX_BATCHES:
            self._since = self._batches.popleft().until

    def behind(self, since: Revision) -> Changes | None:
        """Return the changes after a revision.

        Parameters
        ----------
        since
            The revision up to which the follower knows the kind.

        Returns
        -------
        Changes or None
            ``None`` if the log no longer has all of these changes. Whole
            batches are returned, so that some changes may be older than
            `since`; applied in order, they still give the state of the kind
            at ``until``. Single changes can't be left out by their revision:
            the store does not report the revision of a removal, and an
            object whose removal was left out by mistake would stay in the
            follower's view for good.
        """
        if since < self._since:
            return None
        later = [batch for batch in self._batches if batch.until > since]
        changes = tuple(change for batch in later for change in batch.changes)
        return Changes(changes, max(self.until, since))
