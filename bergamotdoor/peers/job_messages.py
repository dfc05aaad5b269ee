"""Messages about submitted jobs that no process runs yet."""

from __future__ import annotations

import msgspec

from bergamotdoor.types import JobId


class JobUnclear(msgspec.Struct, frozen=True, tag=True):
    """Notification that a job may be in the store, or may still get there.

    The receivers don't promise a client that nothing of the job runs.
    """

    job: JobId
