"""Messages with which processes watch the store through an entry."""

from __future__ import annotations

import msgspec

from bergamotdoor.stored import Change
from bergamotdoor.types import Revision


class WatchKind(msgspec.Struct, frozen=True, tag=True):
    """Request for the changes of a kind since a revision.

    The receiver replies once there is a change, or when its wait is over.
    """

    kind: str
    since: Revision
    #: How long changes are collected before the store is watched again.
    gather_ms: int
    #: How often the sender needs a reply that confirms that nothing has
    #: changed; 0 if it needs none.
    proof_ms: int = 0


class KindChanges(msgspec.Struct, frozen=True, tag=True):
    """The changes of a kind since the requested revision."""

    changes: tuple[Change, ...]
    revision: Revision
    #: Time at which the store had no other change, relative to the receipt of
    #: the request; ``None`` if it is not known. The sender counts it from the
    #: time at which it sent the request. Since a request is sent no later than
    #: it is received, the sender's result is never too late.
    proven_ms: int | None = None


class HistoryGone(msgspec.Struct, frozen=True, tag=True):
    """Some changes since the requested revision are no longer known.

    The sender of the request has to list the kind.
    """
