"""Events that processes count in their metrics."""

from __future__ import annotations

import enum


class Counted(enum.Enum):
    """Counted events, which help to explain a failure afterwards."""

    CALL_ANSWERED = 'calls_answered'
    CALL_REFUSED = 'calls_refused'
    CALL_UNCLEAR = 'calls_unclear'
    #: Calls that waited for room at an upstream.
    CALL_QUEUED = 'calls_queued'
    #: Calls refused since the queue was full, or since no room was expected
    #: in time.
    CALL_REFUSED_FULL = 'calls_refused_full'
    CALL_REFUSED_LATE = 'calls_refused_late'
    CALL_WITHOUT_ROUTE = 'calls_without_route'
    #: Requests whose key is unknown or revoked.
    REQUEST_DENIED = 'requests_denied'
    #: Requests received while the manifest, and so the set of revoked keys,
    #: was not proven current.
    REQUEST_UNPROVEN = 'requests_unproven'
    #: Attempts without a complete response.
    ATTEMPT_FAILED = 'call_attempts_failed'
    #: Ends of upstreams while they ran requests, counted once per request.
    UPSTREAM_ENDED = 'upstreams_ended_under_requests'
    #: Requests that broke off and gave no strike: the upstream was leaving, or
    #: it accepted connections, or did not reply to an attempt to open one.
    BROKE_AT_LEAVING = 'broke_at_leaving_upstreams'
    BROKE_AT_OPEN = 'broke_at_open_upstreams'
    BROKE_AT_SILENT = 'broke_at_silent_upstreams'
    #: New strikes from other entries, and from the store.
    STRIKE_HEARD = 'strikes_heard'
    STRIKE_READ = 'strikes_read'
    CALL_QUARANTINED = 'calls_quarantined'
    ITEM_COMPLETED = 'items_completed'
    ITEM_LOST = 'items_lost'
    ITEM_REFUSED = 'items_refused'
    ITEM_BROKEN = 'items_broken'
    ITEM_MOVED = 'items_moved'
    #: Items that left an engine which is about to load weights.
    ITEM_MOVED_FOR_LOAD = 'items_moved_for_load'
    #: Announcements of engines that are about to load weights.
    LOAD_ANNOUNCED = 'loads_announced'
    ITEM_STALE = 'items_of_old_weights'
    #: Submissions refused, by the reason: the store did nothing, it is not
    #: known what it did, or the job belongs to another account.
    JOB_REFUSED = 'jobs_refused'
    JOB_UNCLEAR = 'jobs_unclear'
    JOB_FOREIGN = 'jobs_of_another_account'
    JOB_OWNED = 'jobs_owned'
    JOB_TAKEN_OVER = 'jobs_taken_over'
    JOB_ENDED = 'jobs_ended'
    RESULTS_LISTED = 'results_listed'
    PLAN_WRITTEN = 'plans_written'
    #: Engines that a written plan gives another model.
    ENGINE_REASSIGNED = 'engines_reassigned'
    #: Groups whose items start only when no item of another group waits.
    GROUP_DEFERRED = 'groups_deferred'
    #: Jobs whose target was expected to be complete after the due time.
    STEP_FORECAST_LATE = 'steps_forecast_late'
    #: Messages to other entries about requests in flight, one per receiver.
    LOAD_TOLD = 'loads_told'
    #: Such messages from other entries.
    LOAD_HEARD = 'loads_heard'
