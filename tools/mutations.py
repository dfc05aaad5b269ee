"""Switch off one safeguard at a time, and check that a test fails.

Each mutation is one replacement of text in a copy of the code; the named
feature must then fail. ``python -m tools.mutations`` prints a table and exits
non-zero if a feature passes in spite of its mutation, or if the text that a
mutation replaces is no longer in the code.
"""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import msgspec

_COPIED_FOLDERS: Final = ('bergamotdoor', 'features', 'lab', 'tools')
_PACKAGE: Final = pathlib.Path('bergamotdoor')
_PARALLEL_RUNS: Final = 4
_FEATURE_TIMEOUT_S: Final = 300
_SCORING: Final = 'gateway_scoring'
_INCARNATIONS: Final = 'fleet_incarnations'
_MODEL: Final = 'lab_model'
_ACCOUNTS: Final = 'gateway_accounts'
_REVOCATION: Final = 'gateway_revocation'
_USAGE: Final = 'reporting_usage'
_NEWS: Final = 'peers_news'
_WATCHER: Final = 'objects_watcher'
_ITEM_CRASHES: Final = 'steps_crashes'
_STRIKES: Final = 'peers_strikes'
_QUARANTINE: Final = 'fleet/quarantine.py'
_CRASHES: Final = 'gateway_crashes'
_PLACEMENT: Final = 'jobs_placement'
_LOADS: Final = 'steps_engine_loads'
_FORECAST: Final = 'jobs_forecast'
_PLAN: Final = 'fleet_capacity_plan'
_PLAN_CODE: Final = 'fleet/capacity_plan.py'
_PLANNER: Final = 'steps_capacity_planner'
_QUEUEING: Final = 'queueing_service_calls'
_WAITING: Final = 'forwarding_waiting'
_SERVICE_CALLS: Final = 'queueing/service_calls.py'
_UPSTREAM_LOADS: Final = 'fleet_loads'
_LOAD_SHARING: Final = 'peers_load_sharing'
_RELAY: Final = 'peers_relay'
_PAGED_LISTING: Final = 'objects_paged_listing'
_SILENT_RELAY: Final = 'peers_silent_relay'
_LOST_WRITES: Final = 'lab_lost_writes'
_STORE_REPEATED: Final = (
    'a store call that was sent twice is not refused by its second rejection',
    'objects/client.py',
    'if response.sent_before and answer.is_rejection:',
    'if not response:',
)
_RELAY_REPEATED: Final = (
    'a relayed call that was sent twice is not refused by its second rejection',
    'peers/relay.py',
    'if exchange.sent_before and has_no_effect',
    'if not exchange',
)


class Mutation(msgspec.Struct, frozen=True):
    """Change to the code that switches off one safeguard."""

    #: Sentence that states what the safeguard ensures.
    safeguard: str
    #: Path of the changed file, relative to the package.
    path: str
    #: Code of the safeguard; it must occur once in the file.
    text: str
    #: Code that replaces it.
    replacement: str
    #: Name of the feature that must fail, without suffix; empty if there is
    #: none.
    feature: str


MUTATIONS: Final = (
    Mutation(
        'an entry does not refuse a job that it knows',
        'steps/job_submission.py',
        'record = self._finder.recent_record(spec.job)',
        'record = None',
        _MODEL,
    ),
    Mutation(
        'a rejected second attempt does not hide that the first took effect',
        'objects/client.py',
        'if response.sent_before and answer.is_rejection:',
        'if response.sent_before and not answer.status:',
        _MODEL,
    ),
    Mutation(
        'a rejected second relay does not hide that the first took effect',
        'peers/relay.py',
        'if exchange.sent_before and has_no_effect',
        'if exchange.sent_before and exchange.reply is None',
        _MODEL,
    ),
    Mutation(
        'an unclear attempt to create a job is not forgotten',
        'objects/job_store.py',
        'unclear = unclear or outcome is Outcome.UNCLEAR',
        'unclear = outcome is Outcome.UNCLEAR',
        _MODEL,
    ),
    Mutation(
        'a call that is unclear on one path is not rejected by another one',
        'peers/paths.py',
        'if Outcome.UNCLEAR in results:',
        'if Outcome.ABSENT in results:',
        _MODEL,
    ),
    Mutation(
        'a second attempt that was not sent does not hide the first one',
        'http/sending.py',
        'last, other = (second, first) if second.sent else (first, second)',
        'last, other = second, first',
        _MODEL,
    ),
    Mutation(
        'a duty holder acts soon after its write, or not at all',
        'duties/lease.py',
        'return now - written_at < self.acting_time',
        'return now >= written_at',
        _USAGE,
    ),
    Mutation(
        'a successor waits until the previous duty holder may no longer act',
        'duties/lease.py',
        'return now - known.unchanged_since >= self.takeover_delay',
        'return now >= known.unchanged_since',
        _USAGE,
    ),
    Mutation(
        'a report is decided by a write of the duty record before it is sent',
        'reporting/reporter.py',
        'decided_below=UsageWindow(below + len(decided)),',
        'decided_below=below,',
        _USAGE,
    ),
    Mutation(
        'a takeover raises the fencing token',
        'duties/lease.py',
        'token=FencingToken(known.token + 1)',
        'token=known.token',
        _USAGE,
    ),
    Mutation(
        'requests with a key wait until the manifest is proven current',
        'calls/accounts.py',
        'return now - proven_at < self.revocation - _PROOF_MARGIN',
        'return now >= proven_at',
        _REVOCATION,
    ),
    Mutation(
        'headers in which a client states its account are removed',
        'gateway/credentials.py',
        'return (ACCOUNT, _AUTHORIZATION) if accounts_in_force else (ACCOUNT,)',
        'return ()',
        _ACCOUNTS,
    ),
    Mutation(
        'client accounts stay in force when all their keys are removed',
        'calls/accounts.py',
        'self._in_force = bool(known)',
        'self._in_force = any(one.keys for one in known)',
        _ACCOUNTS,
    ),
    Mutation(
        'a job is not shown to another client account',
        'calls/accounts.py',
        'return not self._in_force or owner in {account, NO_ACCOUNT}',
        'return True',
        _ACCOUNTS,
    ),
    Mutation(
        'objects are listed again after an interrupted watch',
        'objects/watcher.py',
        '        await self._back_off(found)\n        return found',
        '        await self._back_off(found)\n        return None',
        _WATCHER,
    ),
    Mutation(
        'a watch is trusted for a bounded time',
        'objects/news.py',
        'WatchCall(watch.kind, since, watch.patience, watch.gather)',
        'WatchCall(watch.kind, since, LONG_WAIT, watch.gather)',
        _WATCHER,
    ),
    Mutation(
        'results that are listed already are left out of each record',
        'steps/ledger_sync.py',
        'unlisted = tuple(self._ledger.unlisted(batch))',
        'unlisted = batch',
        'jobs_positions',
    ),
    Mutation(
        'a record is retried under the same number until its write is settled',
        'steps/ledger_sync.py',
        'number = self._ledger.next_number\n            found = await '
        'self._store.append',
        'number = self._ledger.next_number + tries\n            found = await '
        'self._store.append',
        'jobs_positions',
    ),
    Mutation(
        'a writer whose record number is in use reads the record under it',
        'objects/job_store.py',
        'return _decode_record(outcome.current)',
        'return record',
        _MODEL,
    ),
    Mutation(
        'a job that is stopped at this entry has not ended',
        'steps/job_run.py',
        'self.state = RunState.STOPPED',
        'self.state = RunState.ENDED',
        _MODEL,
    ),
    Mutation(
        'only a ledger proven complete says that there are no more results',
        'steps/job_reads.py',
        '    waiting = run.wait_for_result('
        'after, final_wait.total_seconds())\n',
        '    return True\n',
        _MODEL,
    ),
    Mutation(
        'results that have a position are not listed again',
        'jobs/ledger.py',
        'if result.item not in self._items)',
        'if True)',
        _MODEL,
    ),
    Mutation(
        'a ledger that was not read from the store is not proven complete',
        'steps/ledger_sync.py',
        'self._proven_at = proven_at',
        'self._proven_at = clock.elapsed()',
        _MODEL,
    ),
    Mutation(
        'a ledger is proven complete if no record has the next number',
        'steps/job_reads.py',
        'is_proven = await _check_store(run, after, final_wait)',
        'is_proven = True',
        'gateway_jobs',
    ),
    Mutation(
        'items generated with older weights are not accepted',
        'steps/item_run.py',
        'if version < run.job.min_version:',
        'if False and version < run.job.min_version:',
        'gateway_jobs',
    ),
    Mutation(
        'items are not moved to stalled engines',
        'jobs/moves.py',
        'if name not in stalled\n',
        'if name is not stalled\n',
        'jobs_progress',
    ),
    Mutation(
        "a stall does not count towards an engine's pace",
        'jobs/progress.py',
        'or now - before > STALL_TIMEOUT\n',
        'or False\n',
        'jobs_progress',
    ),
    Mutation(
        'requests that fail together count as one failure of an upstream',
        'fleet/loads.py',
        '        if self.is_in_backoff(now):\n            return\n',
        '',
        'jobs_progress',
    ),
    Mutation(
        'an order states the number of accepted orders',
        'agent/weights.py',
        'accepted_orders=report.accepted_orders',
        'accepted_orders=report.accepted_orders + 1',
        'agent_weights',
    ),
    Mutation(
        'a request that may run only once is not retried if it may have run',
        'calls/attempts.py',
        'if not rules.repeatable and (self.possible_runs or self.in_flight):',
        'if False and not rules.repeatable:',
        'gateway_calls',
    ),
    Mutation(
        'a manifest is never replaced by an older one',
        'entry/views.py',
        'if current is not None and manifest.generation <= current.generation:',
        'if current is not None and manifest.generation == current.generation:',
        'platform_adapter',
    ),
    Mutation(
        'other entries are not asked while the store is down for all',
        'peers/relay.py',
        'if self.directory is None or self._is_relay_paused():',
        'if self.directory is None:',
        _RELAY,
    ),
    Mutation(
        'a page is no larger than the link carries in time',
        'jobs/ledger.py',
        (
            'return min(max(carried_bytes, _SMALLEST_PAGE_BYTES), '
            'LARGEST_PAGE_BYTES)'
        ),
        'return LARGEST_PAGE_BYTES',
        'jobs_pages',
    ),
    Mutation(
        'an unreadable object does not affect the others of its page',
        'platform/store_wire.py',
        'tuple(_decode_readable(decoded.items, parse_object))',
        'tuple(parse_object(bytes(item)) for item in decoded.items)',
        'objects_foreign',
    ),
    Mutation(
        'an upstream whose registration cannot be read is removed',
        'entry/views.py',
        'self._fleet.remove(RegistrationId(stored.name))\n            return',
        'return',
        'objects_foreign',
    ),
    Mutation(
        'a registration of an earlier incarnation is ignored',
        'fleet/fleet.py',
        'if upstream.started < self._last_starts.get(name, upstream.started):',
        'if False:',
        _INCARNATIONS,
    ),
    Mutation(
        'the state of an upstream is kept for one incarnation only',
        'fleet/upstreams.py',
        '    if not started:\n',
        '    if True:\n',
        _INCARNATIONS,
    ),
    Mutation(
        'an engine is polled even if no version is new',
        'agent/weights.py',
        '_CHECK_INTERVAL_S: Final = 1\n',
        '_CHECK_INTERVAL_S: Final = 1000\n',
        _INCARNATIONS,
    ),
    Mutation(
        "the owner of a model's jobs is notified of an engine's weights",
        'steps/engine_loads.py',
        'self._notifier.forward_engine_loaded(message)',
        'return',
        'peers_directory',
    ),
    Mutation(
        'a text that needs a score is not listed without it',
        'jobs/open_items.py',
        'if spec.score_call is None or result.score:',
        'if True:',
        _SCORING,
    ),
    Mutation(
        'texts without a score are saved for the next owner',
        'jobs/open_items.py',
        '        saved.update(\n'
        '            (one.spec.item, one.to_saved()) '
        'for one in self.score_queue\n'
        '        )\n',
        '',
        _SCORING,
    ),
    Mutation(
        'a text that an earlier owner completed is not generated again',
        'jobs/open_items.py',
        '            self.item_queue.mark_generated(result.item)\n',
        '',
        _SCORING,
    ),
    Mutation(
        'score calls leave slots free for callers',
        'jobs/scoring.py',
        '    return max(\n'
        '        upstream.slots - for_callers - '
        'load.estimated_other_requests(now), 0\n'
        '    )\n',
        '    return upstream.slots * 10\n',
        _SCORING,
    ),
    Mutation(
        'only responses with status 500 count as failures of a score call',
        'forwarding/answers.py',
        'failures=int(response.status == HTTPStatus.INTERNAL_SERVER_ERROR),',
        'failures=1,',
        _SCORING,
    ),
    Mutation(
        'score calls end with their job',
        'steps/job_run.py',
        '        for task in self._score_tasks:\n            task.cancel()\n',
        '',
        _SCORING,
    ),
    Mutation(
        'a job that is handed off has not ended',
        'steps/job_run.py',
        'self.state = RunState.STOPPED',
        'self.state = RunState.ENDED',
        'planned_stops',
    ),
    Mutation(
        'a job that is submitted again is not restarted',
        'steps/job_submission.py',
        'if not submitted.created:',
        'if False:',
        'planned_stops',
    ),
    Mutation(
        'a handoff of a job includes what its items have so far',
        'steps/job_handoff.py',
        'partial=run.items.saved_transcripts(1),',
        'partial={},',
        'planned_stops',
    ),
    Mutation(
        'a watch, its time limit and the listing after it fit into the bound',
        'gateway/platform_watchers.py',
        'context.settings.contact - WATCH_MARGIN - _LISTING_RESERVE',
        'context.settings.contact - _LISTING_RESERVE',
        _WATCHER,
    ),
    Mutation(
        'a listing of several pages has the revision of the first one',
        'objects/client.py',
        'return Listing(tuple(objects), min(revisions))',
        'return Listing(tuple(objects), revisions[-1])',
        _PAGED_LISTING,
    ),
    Mutation(
        'changes that a listing has already do not turn a view back',
        'objects/listed_ahead.py',
        'if change.stored.name not in self._revisions',
        'if change.stored.name',
        _PAGED_LISTING,
    ),
    Mutation(
        'a lapsed registration is kept from the call that failed on',
        'entry/views.py',
        'failed_at if known is None else max(known, failed_at)',
        'self._clock.elapsed()',
        _WATCHER,
    ),
    Mutation(
        'a lapsed registration is removed as soon as its time is over',
        'entry/views.py',
        '            self._lapsed.set()',
        '            self._lapsed.clear()',
        _WATCHER,
    ),
    Mutation(
        'a watch through another entry is short',
        'peers/relay.py',
        'wait = min(watch.wait, self._bounds.relayed_wait(watch.gather))',
        'wait = watch.wait',
        _SILENT_RELAY,
    ),
    Mutation(
        'both attempts at a relayed call share one time limit',
        'peers/relay.py',
        'address, call, timeout, one_limit=True',
        'address, call, timeout',
        _SILENT_RELAY,
    ),
    Mutation(
        'a relay that does not answer is not waited for alone',
        'peers/paths.py',
        'longest = delay * len(attempts.tasks) if remaining else None',
        'longest = None',
        _SILENT_RELAY,
    ),
    Mutation(
        'the first response of the store is used, by whichever route',
        'peers/paths.py',
        'return_when=asyncio.FIRST_COMPLETED',
        'return_when=asyncio.ALL_COMPLETED',
        _RELAY,
    ),
    Mutation(
        'score calls that gave no score are retried with a backoff',
        'jobs/scoring.py',
        'text.ready_at = now + dt.timedelta(seconds=pause_s)',
        'text.ready_at = now',
        _SCORING,
    ),
    Mutation(
        'the last groups of a job are listed together',
        'jobs/listing.py',
        '_LAST_GROUPS_SHARE: Final = 0.25',
        '_LAST_GROUPS_SHARE: Final = 0.0',
        'jobs_listing',
    ),
    Mutation(
        'readers are notified once all records of a batch are stored',
        'steps/result_writer.py',
        '            run.apply_listed_results(listed.results)',
        '            run.apply_listed_results(listed.results)\n'
        '            run.notify_readers()',
        'jobs_listing',
    ),
    Mutation(
        "a caller's page holds up to the largest page size",
        'steps/job_reads.py',
        'return await wait_for_page(run, after, wait, LARGEST_PAGE_BYTES)',
        'return await wait_for_page(run, after, wait, LARGEST_PAGE_BYTES // 4)',
        'jobs_pages',
    ),
    Mutation(
        'a free slot is reserved for an item that is moved',
        'steps/dispatcher.py',
        'self._reservations.reserve_slot(move.item, move.destination, now)',
        'assert now',
        'jobs_progress',
    ),
    Mutation(
        'an item that is being cancelled is not moved again',
        'steps/dispatcher.py',
        'if not item.task.cancelling()',
        'if item.task is not None',
        'cli_anatomy',
    ),
    Mutation(
        'a listing that gets no response is hedged',
        'objects/patient_listing.py',
        'if len(pending) < _MAX_IN_FLIGHT:',
        'if not pending:',
        _WATCHER,
    ),
    Mutation(
        'an engine that no job can use loads new weights at once',
        'agent/weights.py',
        'while now < until and not self._has_unusable_weights(report, model):',
        'while now < until:',
        'agent_weights',
    ),
    Mutation(
        'a change source reports nothing once its own watch is overdue',
        'peers/news_source.py',
        'async with asyncio.timeout(self._answer_timeout.total_seconds()):',
        'async with asyncio.timeout(60):',
        _NEWS,
    ),
    Mutation(
        'a change source that does not respond is given up within the bound',
        'peers/shared_news.py',
        'address, message, self._bounds.answer_wait, one_limit=True',
        'address, message, self._bounds.answer_wait * 4, one_limit=True',
        _NEWS,
    ),
    Mutation(
        'a process whose change source does not respond lists the objects',
        'peers/shared_news.py',
        '            self._suspend_source(source, silent=reply is None)\n'
        '        return Outcome.HISTORY_GONE',
        '            self._suspend_source(source, silent=reply is None)\n'
        '        return Changes((), since)',
        _NEWS,
    ),
    Mutation(
        'a change log returns whole batches, also of changes known before',
        'objects/change_log.py',
        'for change in batch.changes)',
        'for change in batch.changes if change.removed'
        ' or change.stored.revision > since)',
        _NEWS,
    ),
    Mutation(
        "a job's record is replaced only by one of a later term",
        'steps/job_run.py',
        'if found.record.term > self.stored_job.record.term:',
        'if found.record.term:',
        'gateway_again',
    ),
    Mutation(
        'a request under which upstreams ended is quarantined',
        _QUARANTINE,
        '        excess = strikes - min_strikes\n',
        '        excess = -1\n',
        _CRASHES,
    ),
    Mutation(
        'upstreams that end at once under a request count as one strike',
        _QUARANTINE,
        'max(strike.before + 1, strike.number)',
        'len(of_request)',
        _CRASHES,
    ),
    Mutation(
        'upstreams that end in turn under one request count one strike each',
        _QUARANTINE,
        'number = max(strikes, 1) if has_common_cause else strikes + 1',
        'number = int(not has_common_cause)',
        'fleet_quarantine',
    ),
    Mutation(
        'a request that ran beside one with more strikes gets no strike',
        _QUARANTINE,
        'strike.before >= other.before\n',
        'True\n',
        'fleet_quarantine',
    ),
    Mutation(
        'upstreams that ended at once count after a further one',
        _QUARANTINE,
        'return max(strikes, min(explained, _CONFIRMED_STRIKES))',
        'return strikes',
        'fleet_quarantine',
    ),
    Mutation(
        'the strikes of a request that was held back do not fall',
        _QUARANTINE,
        'return max(held, self.count_strikes(fingerprint))',
        'return self.count_strikes(fingerprint)',
        'fleet_quarantine',
    ),
    Mutation(
        'an item that was refused a connection gets no strike',
        'steps/item_run.py',
        'return RunEnd.BROKEN if response.sent else RunEnd.UNREACHED',
        'return RunEnd.BROKEN',
        _ITEM_CRASHES,
    ),
    Mutation(
        'copies of a suspected call run one after the other',
        'forwarding/forwarded_call.py',
        'and runs.is_running(self._fingerprint)\n',
        'and False\n',
        _CRASHES,
    ),
    Mutation(
        'failed runs of an item count for its next owner, too',
        'jobs/open_items.py',
        'ItemQueue(spec, ledger, failures)',
        'ItemQueue(spec, ledger)',
        _ITEM_CRASHES,
    ),
    Mutation(
        'failed runs of an item are saved at intervals',
        'steps/item_saving.py',
        'or _count_failures(saved) > _count_failures(last_saved)\n',
        'or False\n',
        _ITEM_CRASHES,
    ),
    Mutation(
        'a new process learns the strikes before it sends anything',
        'gateway/background_tasks.py',
        '            await learning.learned.wait()\n',
        '            pass\n',
        _STRIKES,
    ),
    Mutation(
        'an entry that joins makes itself known to all others',
        'peers/strike_learning.py',
        'if not await directory.register(self._request.entry):',
        'if await directory.register(self._request.entry):',
        _STRIKES,
    ),
    Mutation(
        'an entry that asks for strikes is known from then on',
        'peers/strike_sharing.py',
        '        self._directory.add(message.node, message.entry)\n',
        '',
        _STRIKES,
    ),
    Mutation(
        'entries that were not known are sent what was observed before',
        'peers/strike_sharing.py',
        '        if self._observed:\n',
        '        if False:\n',
        _STRIKES,
    ),
    Mutation(
        'a new process asks other entries for what is not stored',
        'peers/strike_learning.py',
        'known, min(_MAX_ASKED_FIRST, len(known))',
        'known, 0',
        _STRIKES,
    ),
    Mutation(
        'other entries are notified of new strikes',
        'peers/strike_sharing.py',
        '            self._send_needed.set()\n',
        '',
        _CRASHES,
    ),
    Mutation(
        'a new process reads the strikes that are stored',
        'peers/strike_sharing.py',
        '        self._directory.on_status = self.take_kept\n',
        '',
        _CRASHES,
    ),
    Mutation(
        'a request counts as sent even if only its first send went out',
        'http/sending.py',
        'last, other = (second, first) if second.sent else (first, second)',
        'last, other = second, first',
        _CRASHES,
    ),
    Mutation(
        'a refusal of the second send is no proof that the first did not run',
        'http/sending.py',
        '        second.sent_before = first.sent\n',
        '',
        _CRASHES,
    ),
    Mutation(
        'short items leave the fast engines to long ones',
        'jobs/placement.py',
        '_SHORT_SHARE: Final = 0.5',
        '_SHORT_SHARE: Final = 0',
        _PLACEMENT,
    ),
    Mutation(
        'a busy fast engine is preferred for long items',
        'jobs/placement.py',
        '        _fastest(free, speeds),',
        '        free,',
        _PLACEMENT,
    ),
    Mutation(
        'engines of equal speed are chosen by load',
        'jobs/placement.py',
        'if free and placed.by_length and has_faster(intervals_s):',
        'if free:',
        _PLACEMENT,
    ),
    Mutation(
        'no event interval is slower than itself',
        'jobs/progress.py',
        'interval_s > other_s and ',
        '',
        _MODEL,
    ),
    Mutation(
        'lengths are converted by the tokens that the manifest states',
        'platform/manifest.py',
        '_stride_of(service.engine)',
        '_stride_of(None)',
        'platform_adapter',
    ),
    Mutation(
        'an engine that announced a load gets no items',
        'fleet/loads.py',
        'max(self._backoff_until, self._closed_until)',
        'self._backoff_until',
        _LOADS,
    ),
    Mutation(
        'an announcement without an end expires',
        'steps/engine_loads.py',
        '_CLOSED_TIME_MS: Final = 1500',
        '_CLOSED_TIME_MS: Final = 4500',
        _LOADS,
    ),
    Mutation(
        'a late announcement is ignored',
        'steps/engine_loads.py',
        'if known < message.version:',
        'if message.version:',
        _LOADS,
    ),
    Mutation(
        'an earlier load does not open an engine',
        'steps/engine_loads.py',
        'and announced.message.version <= message.version',
        'and announced.message.version',
        _LOADS,
    ),
    Mutation(
        'an item accepted before the load does not open an engine',
        'fleet/loads.py',
        'if now - self._closed_at > LOAD_BEGIN_TIME:',
        'if now >= self._closed_at:',
        _LOADS,
    ),
    Mutation(
        'a load does not wait for an entry that does not answer',
        'agent/notifier.py',
        'asyncio.timeout(_ANNOUNCE_TIMEOUT_S)',
        'asyncio.timeout(None)',
        _LOADS,
    ),
    Mutation(
        'an item that stayed during a load is not stalled after it',
        'fleet/loads.py',
        'return _ZERO <= now - self._closed_until < RESUME_TIME',
        'return now < _ZERO',
        _LOADS,
    ),
    Mutation(
        'an item stays if it loses more at a slower engine',
        'jobs/moves.py',
        'if reason is MoveReason.LOAD or is_slower(own_s, interval_s):\n'
        '        return gained',
        'if reason is MoveReason.LOAD:\n        return _ZERO',
        _LOADS,
    ),
    Mutation(
        'items leave an engine before it loads weights',
        'jobs/moves.py',
        'if progress.upstream in loads.time_left:',
        'if progress.upstream is loads.time_left:',
        _LOADS,
    ),
    Mutation(
        'a service of one model announces no loads',
        'agent/weights.py',
        'if self._assignment.current.is_shared:',
        'if self._assignment is not None:',
        _LOADS,
    ),
    Mutation(
        'a moved item starts first, whatever the order of the items',
        'jobs/item_queue.py',
        '_MOVED_ITEM_ORDER if name in moved else queued.order',
        'queued.order',
        _FORECAST,
    ),
    Mutation(
        'groups that do not fit are deferred',
        'jobs/kept_groups.py',
        'while self._ahead[engines] > job.due_in * self._slots[engines]:',
        'while not self._slots[engines]:',
        _FORECAST,
    ),
    Mutation(
        'groups beyond the target are deferred before others',
        'jobs/kept_groups.py',
        '        possible[beyond_job].pop(beyond_group)\n',
        '        break\n',
        _FORECAST,
    ),
    Mutation(
        'a resubmitted group does not count as beyond the target',
        'jobs/open_work.py',
        'group in job.resubmitted_groups',
        'False',
        _FORECAST,
    ),
    Mutation(
        'a group whose longest item cannot end on time is deferred',
        'jobs/kept_groups.py',
        'one.longest <= job.due_in',
        'one.work',
        _FORECAST,
    ),
    Mutation(
        'work counts only against engines that can run it',
        'jobs/kept_groups.py',
        'apart = [one for one in unions if not one & job.engines]',
        'apart = list(unions[:0])',
        _FORECAST,
    ),
    Mutation(
        'deferred groups are served whole, those with the least work first',
        'jobs/forecast.py',
        'one.group: (1, not one.is_needed, one.work, job.job, one.group)',
        'one.group: (1,)',
        _FORECAST,
    ),
    Mutation(
        'engines that are about to load the weights of a job count for it',
        'steps/step_planner.py',
        'max(run.spec.min_version - 1, 1)',
        'run.spec.min_version',
        _FORECAST,
    ),
    Mutation(
        'a job without a due time keeps its order',
        'steps/step_planner.py',
        'if route.due_after and self._serves_several_models(route)',
        'if self._serves_several_models(route)',
        _FORECAST,
    ),
    Mutation(
        'items of all jobs start in one order',
        'steps/step_planner.py',
        'return queued.order if run.spec.job in self._plan.ranks else -1',
        'return -1',
        _FORECAST,
    ),
    Mutation(
        'an event interval of zero has a lower bound',
        'jobs/open_work.py',
        'slots / max(interval_s, _LEAST_INTERVAL_S)',
        'slots / (interval_s or 1e-9)',
        _FORECAST,
    ),
    Mutation(
        'an item beyond its length hint is expected to go on',
        'jobs/open_work.py',
        'missing = events * _OVERRUN_SHARE',
        'missing = 0',
        _FORECAST,
    ),
    Mutation(
        'a deferred group and a late step are counted once',
        'steps/forecast_report.py',
        'job: self._reported.get(job, _Reported()) for job in forecasts',
        'job: _Reported() for job in forecasts',
        _FORECAST,
    ),
    Mutation(
        'a plan is written only over the one from which it was computed',
        'objects/plan_store.py',
        '        return Outcome.NOT_DONE if isinstance(written, Conflict) else '
        'written\n',
        '        if isinstance(written, Conflict):\n'
        '            found = await self.read(service)\n'
        '            return await self.write(service, plan, found.revision)\n'
        '        return written\n',
        _PLANNER,
    ),
    Mutation(
        'a demand is told to the next entry if the planner does not answer',
        'steps/demand_reports.py',
        '_MAX_ATTEMPTS: Final = 3',
        '_MAX_ATTEMPTS: Final = 1',
        _PLANNER,
    ),
    Mutation(
        'entries that do not answer are asked last',
        'steps/demand_reports.py',
        'return sorted(order, key=self._silent_at.__contains__)',
        'return order',
        _PLANNER,
    ),
    Mutation(
        'the store is not read for the plan of a single model',
        'steps/capacity_planner.py',
        'if is_due and len(models) > 1:',
        'if is_due:',
        _PLANNER,
    ),
    Mutation(
        'an interval near zero is ignored',
        'fleet/demand.py',
        'if one >= least_ms]',
        'if one]',
        _PLAN,
    ),
    Mutation(
        'a fallback planner leaves engines of unknown models alone',
        'steps/planned_service.py',
        'if not is_first:',
        'if False:',
        _PLANNER,
    ),
    Mutation(
        'a model whose version rises counts as unknown',
        'fleet/demand.py',
        'undue | (trained - self._told.keys())',
        'undue',
        _PLAN,
    ),
    Mutation(
        'a model whose steps have no due time counts as unknown',
        'fleet/demand.py',
        'undue | (trained - self._told.keys())',
        'trained - self._told.keys()',
        _PLAN,
    ),
    Mutation(
        'an engine that restarts keeps its place in the plan',
        'steps/planned_service.py',
        'if now - self._seen_at[address] <= ABSENCE',
        'if now < self._seen_at[address]',
        _PLANNER,
    ),
    Mutation(
        'an engine that drains counts for nothing',
        'steps/planned_service.py',
        '0 if engine.draining else capacity',
        'capacity',
        _PLAN,
    ),
    Mutation(
        'demands that are too old are not shown',
        'steps/planned_service.py',
        '        self.demand.remove_expired(now)\n        plan = None',
        '        plan = None',
        _PLAN,
    ),
    Mutation(
        'plans that move engines are some seconds apart',
        'steps/planned_service.py',
        'now - changed_at < MOVE_INTERVAL',
        'now < changed_at',
        _PLAN,
    ),
    Mutation(
        'no engine moves before enough was heard of all models',
        'fleet/demand.py',
        'heard_for >= SETTLING_TIME',
        'heard_for is not None',
        _PLAN,
    ),
    Mutation(
        'a model without an engine gets one at once',
        _PLAN_CODE,
        'else _missing_engines(assignment)',
        'else ()',
        _PLAN,
    ),
    Mutation(
        'engines of a model of unknown demand keep their model',
        _PLAN_CODE,
        'self._best_of(worst, planned.unknown_models, planned.held)',
        'self._best_of(worst, frozenset(), planned.held)',
        _PLAN,
    ),
    Mutation(
        'a model without an engine gets one although the others are unknown',
        _PLAN_CODE,
        'if not best and not self._sums[worst]:',
        'if not best and self._sums[worst] < 0:',
        _PLAN,
    ),
    Mutation(
        'an engine that moved a short time ago keeps its model',
        _PLAN_CODE,
        'if one[1] not in held]',
        'if one[1]]',
        _PLAN,
    ),
    Mutation(
        'the rest of a change must gain more than the noise',
        _PLAN_CODE,
        '_LEAST_SHARE: Final = 0.95',
        '_LEAST_SHARE: Final = 0.98',
        _PLAN,
    ),
    Mutation(
        'an engine for a model without one starts no other moves',
        _PLAN_CODE,
        'improve(while_missing=True)',
        'improve()',
        _PLAN,
    ),
    Mutation(
        'there is no search where no assignment can gain enough',
        _PLAN_CODE,
        'if limit < assignment.mean_ratio:',
        'if limit < 0:',
        _PLAN,
    ),
    Mutation(
        'a change must lower the largest ratio clearly',
        _PLAN_CODE,
        'largest_ratio * share',
        'largest_ratio',
        _PLAN,
    ),
    Mutation(
        'few engines change their model in one write',
        _PLAN_CODE,
        '> max_moved',
        '> len(assignment.models)',
        _PLAN,
    ),
    Mutation(
        'a plan is ignored while there are fewer engines than models',
        'fleet/model_assignment.py',
        'plan is None or len(self._addresses) < len(self._models)',
        'plan is None',
        _PLAN,
    ),
    Mutation(
        'an agent keeps its plans while they cannot be listed',
        'agent/assignment.py',
        '            self._plans = plans\n',
        '            self._plans = plans\n'
        '        else:\n'
        '            self._plans = {}\n',
        _PLAN,
    ),
    Mutation(
        'an agent that starts waits for the first listing of plans',
        'agent/assignment.py',
        'return now - self._without_plans_since < _MAX_PLAN_WAIT',
        'return False',
        _PLAN,
    ),
    Mutation(
        'an agent does not wait for ever for the first listing of plans',
        'agent/assignment.py',
        'return now - self._without_plans_since < _MAX_PLAN_WAIT',
        'return True',
        _PLAN,
    ),
    Mutation(
        'an account is charged for each call that it sends',
        'queueing/priority_class.py',
        'ticket.finish = start + 1',
        'ticket.finish = start',
        _QUEUEING,
    ),
    Mutation(
        'an account cannot keep others out of a full queue',
        _SERVICE_CALLS,
        'self._refuse(last, RefusalReason.FULL, ahead, now)',
        'self._refuse(ticket, RefusalReason.FULL, ahead, now)',
        _QUEUEING,
    ),
    Mutation(
        'a lower priority gets one in eight of the calls that leave',
        'queueing/call_queue.py',
        '    if overdue:\n',
        '    if False:\n',
        _QUEUEING,
    ),
    Mutation(
        'a call that an upstream refused has its former place',
        'queueing/priority_class.py',
        'if ticket.finish is None:',
        'if ticket.number:',
        _QUEUEING,
    ),
    Mutation(
        'a full upstream still gets one call',
        'queueing/limits.py',
        'return max(min(upstream.slots - others, learned), 1)',
        'return min(upstream.slots - others, learned)',
        _QUEUEING,
    ),
    Mutation(
        'refusals of one moment reduce a limit once',
        'queueing/limits.py',
        'if not (self.has_refused(now) or has_report):',
        'if not has_report:',
        _QUEUEING,
    ),
    Mutation(
        'a call whose time is over is not sent',
        _SERVICE_CALLS,
        'if self.time_to_send(ticket.send_by, now) < _NO_TIME:',
        'if not ticket.number:',
        _QUEUEING,
    ),
    Mutation(
        'calls do not wait for a service without upstreams',
        _SERVICE_CALLS,
        '        if not capacity.slots:\n',
        '        if not ticket.number:\n',
        _QUEUEING,
    ),
    Mutation(
        'the delays of callers that are refused together differ',
        'queueing/forecast.py',
        '(1 + _RETRY_SPREAD * draw)',
        '(1 + _RETRY_SPREAD)',
        _QUEUEING,
    ),
    Mutation(
        'no call is hedged while others wait',
        _SERVICE_CALLS,
        '        if len(self.queue):\n',
        '        if not self.service:\n',
        _QUEUEING,
    ),
    Mutation(
        'hedges of a busy service have a budget',
        _SERVICE_CALLS,
        'if is_busy and not self.hedges.has_left(now):',
        'if slots < 0:',
        _QUEUEING,
    ),
    Mutation(
        'a call without enough time is refused at once',
        _SERVICE_CALLS,
        'capacity.wait(ahead) > self.time_to_send(ticket.send_by, now)',
        'capacity.slots < 0',
        _WAITING,
    ),
    Mutation(
        'the call of a caller that has left is not sent',
        'forwarding/waiting.py',
        '            self._service_calls.queue.remove(self._ticket)\n',
        '            self._left.set()\n',
        _WAITING,
    ),
    Mutation(
        'a call that waited is admitted again before it is sent',
        'forwarding/waiting.py',
        '        if response is not None:\n',
        '        if not self._ticket.number:\n',
        _WAITING,
    ),
    Mutation(
        'a call that may have run is never refused as not run',
        'forwarding/forwarded_call.py',
        'if refusal is not None and self._attempts.verdict is Verdict.NOT_RUN:',
        'if refusal is not None:',
        _WAITING,
    ),
    Mutation(
        'the priority of an account takes precedence over its route',
        'calls/manifest.py',
        'return route.priority if priority is None else priority',
        'return route.priority',
        _WAITING,
    ),
    Mutation(
        'an upstream that refused a call may get it again',
        'calls/attempts.py',
        '            self._tried.discard(refused_by)\n',
        '            self._tried.add(refused_by)\n',
        _WAITING,
    ),
    Mutation(
        'a stream counts as in flight until it ends',
        'forwarding/relayed_stream.py',
        '    counted = CountedStream(context, upstream)\n    if',
        '    counted = CountedStream(context, upstream)\n'
        '    counted.close()\n    if',
        _WAITING,
    ),
    Mutation(
        'an entry that stops refuses what it cannot send in time',
        'gateway/planned_stop.py',
        '        self._context.queueing.closes_at = stop_by - _REFUSAL_TIME\n',
        '',
        _WAITING,
    ),
    Mutation(
        'upstreams that failed get calls if there are no others',
        'queueing/limits.py',
        '        return known\n',
        '        return available\n',
        _CRASHES,
    ),
    Mutation(
        'a load header may state the pace',
        'platform/headers.py',
        '_LOAD_FIELD_COUNTS: Final = (3, 4)',
        '_LOAD_FIELD_COUNTS: Final = (3,)',
        _UPSTREAM_LOADS,
    ),
    Mutation(
        'one sample of the pace does not count for the time before it',
        'fleet/pace.py',
        'agreed = sorted((self.newest, bounded, self._slow))[1]',
        'agreed = bounded',
        _UPSTREAM_LOADS,
    ),
    Mutation(
        'a moment of another pace does not change the choice',
        'fleet/pace.py',
        '_LEAST_FACTOR: Final = 1.2',
        '_LEAST_FACTOR: Final = 1.01',
        _UPSTREAM_LOADS,
    ),
    Mutation(
        'a latency is converted to the usual pace',
        'fleet/loads.py',
        'latency.total_seconds() / self.known.pace.newest',
        'latency.total_seconds()',
        _UPSTREAM_LOADS,
    ),
    Mutation(
        'a pace of which nothing was heard for long counts as usual',
        'fleet/pace.py',
        'kept = 1 - _weight(silent, _SLOW_S)',
        'kept = 1',
        _UPSTREAM_LOADS,
    ),
    Mutation(
        'a call is not sent to an upstream that is known to be full',
        'fleet/choice.py',
        'iter(with_room or available or',
        'iter(available or',
        _UPSTREAM_LOADS,
    ),
    Mutation(
        'figures about a load expire',
        'fleet/known_load.py',
        'return now - known_at < MAX_FIGURE_AGE',
        'return now >= known_at',
        _LOAD_SHARING,
    ),
    Mutation(
        'figures of an earlier start of an upstream are dropped',
        'peers/load_sharing.py',
        'if told.upstream not in registered:',
        'if not registered:',
        _LOAD_SHARING,
    ),
    Mutation(
        'a message replaces the earlier figures of its sender',
        'peers/load_sharing.py',
        '        self._loads.forget_sender(message.sender)\n',
        '',
        _LOAD_SHARING,
    ),
    Mutation(
        'a told report does not replace a newer one',
        'fleet/known_load.py',
        'reported_at > self.reported_at',
        'reported_at < now',
        _LOAD_SHARING,
    ),
    Mutation(
        'told figures are never negative',
        'fleet/known_load.py',
        '_ToldCount(max(in_flight, 0), now)',
        '_ToldCount(in_flight, now)',
        _LOAD_SHARING,
    ),
    Mutation(
        'the first message about a burst has all of its requests',
        'peers/load_sharing.py',
        '            await self._clock.sleep(_BATCH_DELAY)\n',
        '',
        _LOAD_SHARING,
    ),
    Mutation(
        'loads are told at most once in 100 ms',
        'fleet/load_telling.py',
        '        if self._is_within(TELL_INTERVAL, now):\n'
        '            return None\n',
        '',
        _LOAD_SHARING,
    ),
    Mutation(
        'loads are told of busy upstreams only',
        'fleet/load_telling.py',
        'return requests * _LEAST_FULL >= upstream.slots',
        'return requests > 0',
        _LOAD_SHARING,
    ),
    Mutation(
        'the end of requests that were told is told',
        'fleet/load_telling.py',
        'if known.get(one.upstream) or _is_busy(one, loads, now)',
        'if _is_busy(one, loads, now)',
        _LOAD_SHARING,
    ),
    Mutation(
        'loads are told to a bounded number of entries',
        'peers/load_receivers.py',
        'order[:MAX_RECEIVERS]',
        'order',
        _LOAD_SHARING,
    ),
    Mutation(
        'loads are not told again and again to an entry that rejects them',
        'peers/load_receivers.py',
        'return pause is not None and now < pause.until',
        'return False',
        _LOAD_SHARING,
    ),
    Mutation(*_STORE_REPEATED, 'gateway_jobs'),
    Mutation(*_STORE_REPEATED, _LOST_WRITES),
    Mutation(*_RELAY_REPEATED, _RELAY),
    Mutation(*_RELAY_REPEATED, _LOST_WRITES),
)


def noticed(mutation: Mutation) -> bool:
    """Return whether the feature fails while the safeguard is off."""
    with tempfile.TemporaryDirectory(prefix='mutation-') as folder:
        root = pathlib.Path(folder)
        write_mutated(mutation, root)
        return _feature_fails(root, mutation.feature)


def write_mutated(mutation: Mutation, root: pathlib.Path) -> None:
    """Copy the code into a folder, and switch off the safeguard there.

    Parameters
    ----------
    mutation
        The change to make.
    root
        Folder that receives the copy.

    Raises
    ------
    ValueError
        If the text to replace does not occur exactly once.
    """
    for name in _COPIED_FOLDERS:
        shutil.copytree(name, root / name)
    path = root / _PACKAGE / mutation.path
    code = path.read_text()
    if code.count(mutation.text) != 1:
        raise ValueError(
            f'{mutation.path}: {mutation.text!r} found '
            f'{code.count(mutation.text)} times, expected once'
        )
    path.write_text(code.replace(mutation.text, mutation.replacement))


def _feature_fails(root: pathlib.Path, feature: str) -> bool:
    command = (
        sys.executable,
        '-m',
        'behave',
        '--stop',
        f'features/{feature}.feature',
    )
    try:
        completed = subprocess.run(
            command,
            cwd=root,
            env={**os.environ, 'PYTHONPATH': str(root)},
            capture_output=True,
            timeout=_FEATURE_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        # A feature that does not end counts as failed.
        return True
    return completed.returncode != 0 and b'ASSERT' in completed.stdout


def main() -> int:
    """Run all mutations; print for each whether its feature failed."""
    with ThreadPoolExecutor(_PARALLEL_RUNS) as pool:
        results = list(pool.map(noticed, MUTATIONS))
    for mutation, found in zip(MUTATIONS, results, strict=True):
        word = 'noticed' if found else 'NOT NOTICED'
        print(f'{word}: {mutation.safeguard} ({mutation.feature})')
    print(f'{sum(results)} of {len(results)} noticed')
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main())
