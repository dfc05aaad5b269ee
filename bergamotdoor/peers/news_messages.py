"""Messages by which an entry tells others of changes in the store."""

from __future__ import annotations

import msgspec

from bergamotdoor.stored import Change
from bergamotdoor.types import Revision


class WatchKind(msgspec.Struct, frozen=True, tag=True):
    """Ask for changes of a kind since a revision; waits until there is one."""

    kind: str
    since: Revision
    gather_ms: int
    #: How often the asker wants to be told that nothing has changed; 0 is
    #: never.
    proof_ms: int = 0


class KindChanges(msgspec.Struct, frozen=True, tag=True):
    """What happened to a kind since the revision that was asked for."""

    changes: tuple[Change, ...]
    revision: Revision
    #: When nothing else had changed, from the receipt of the question on;
    #: None is not known. Counted so, it means the same to the asker, whose
    #: question was sent no later than it was received.
    proven_ms: int | None = None


class HistoryGone(msgspec.Struct, frozen=True, tag=True):
    """Changes since that revision are not known: the kind is to be listed."""
