"""What the processes on the platform's machines count."""

from __future__ import annotations

import enum


class Counted(enum.Enum):
    """Events that explain a failure afterwards."""

    CALL_ANSWERED = 'calls_answered'
    CALL_REFUSED = 'calls_refused'
    CALL_UNCLEAR = 'calls_unclear'
    CALL_WITHOUT_ROUTE = 'calls_without_route'
    #: Requests whose key is none, or was taken away.
    REQUEST_DENIED = 'requests_denied'
    #: Requests that came while revoked keys could not be known.
    REQUEST_UNPROVEN = 'requests_unproven'
    #: Attempts that gave no whole answer.
    ATTEMPT_FAILED = 'call_attempts_failed'
    #: Upstreams that ended while they ran a request, a request each.
    UPSTREAM_ENDED = 'upstreams_ended_under_requests'
    CALL_QUARANTINED = 'calls_quarantined'
    ITEM_QUARANTINED = 'items_quarantined'
    ITEM_COMPLETED = 'items_completed'
    ITEM_LOST = 'items_lost'
    ITEM_REFUSED = 'items_refused'
    ITEM_BROKEN = 'items_broken'
    ITEM_MOVED = 'items_moved'
    ITEM_STALE = 'items_of_old_weights'
    JOB_OWNED = 'jobs_owned'
    JOB_TAKEN_OVER = 'jobs_taken_over'
    JOB_ENDED = 'jobs_ended'
    RESULTS_LISTED = 'results_listed'
