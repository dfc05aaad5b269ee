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
_CRASHES: Final = 'gateway_crashes'
_LOADS: Final = 'fleet_loads'
_LOAD_SHARING: Final = 'peers_load_sharing'


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
        '            await self._back_off(found)\n        return found',
        '            await self._back_off(found)\n        return None',
        'objects_watcher',
    ),
    Mutation(
        'a watch is trusted for a bounded time',
        'objects/news.py',
        'self._store.changes(watch.kind, since, watch.patience)',
        'self._store.changes(watch.kind, since, LONG_WAIT)',
        'objects_watcher',
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
        'jobs/progress.py',
        'if name not in stalled_upstreams',
        'if name is not stalled_upstreams',
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
        'peers_relay',
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
        'steps/peer_service.py',
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
        'the first response of the store is used, by whichever route',
        'peers/relay.py',
        'return_when=asyncio.FIRST_COMPLETED',
        'return_when=asyncio.ALL_COMPLETED',
        'peers_relay',
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
        'objects/watcher.py',
        'await list_patiently(self._store, self._kind)',
        'await self._store.listing(self._kind)',
        'objects_watcher',
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
        'wait = self._bounds.answer_wait',
        'wait = self._bounds.answer_wait * 4',
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
        'fleet/quarantine.py',
        '        excess = self.count_strikes(fingerprint) - min_strikes\n',
        '        excess = -1\n',
        _CRASHES,
    ),
    Mutation(
        'upstreams that end at once under a request count as one strike',
        'fleet/quarantine.py',
        'max(strike.before + 1, strike.number)',
        'len(of_request)',
        _CRASHES,
    ),
    Mutation(
        'upstreams that end in turn under one request count one strike each',
        'fleet/quarantine.py',
        'number = max(strikes, 1) if has_common_cause else strikes + 1',
        'number = int(not has_common_cause)',
        'fleet_quarantine',
    ),
    Mutation(
        'items with the same prompt count as one request',
        'steps/item_request.py',
        'content = prompt.encode() if prompt else spec.body',
        'content = spec.body',
        'steps_crashes',
    ),
    Mutation(
        'a request that ran beside one with more strikes gets no strike',
        'fleet/quarantine.py',
        'return all(strike.before >= other.before for other in at_upstream)',
        'return bool(at_upstream)',
        'fleet_quarantine',
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
        '        directory.on_status = self.take_kept\n',
        '',
        _CRASHES,
    ),
    Mutation(
        'a request counts as sent even if only its first send went out',
        'http/sending.py',
        'return second if second.sent else first',
        'return second',
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
        'an item under which engines ended is quarantined',
        'steps/item_suspects.py',
        '        if remaining:\n',
        '        if False:\n',
        'steps_crashes',
    ),
    Mutation(
        'a load header may state the pace',
        'platform/headers.py',
        '_LOAD_FIELD_COUNTS: Final = (3, 4)',
        '_LOAD_FIELD_COUNTS: Final = (3,)',
        _LOADS,
    ),
    Mutation(
        'one sample of the pace does not count for the time before it',
        'fleet/pace.py',
        'agreed = sorted((self.newest, bounded, self._slow))[1]',
        'agreed = bounded',
        _LOADS,
    ),
    Mutation(
        'a moment of another pace does not change the choice',
        'fleet/pace.py',
        '_LEAST_FACTOR: Final = 1.2',
        '_LEAST_FACTOR: Final = 1.01',
        _LOADS,
    ),
    Mutation(
        'a latency is converted to the usual pace',
        'fleet/loads.py',
        'latency.total_seconds() / self.known.pace.newest',
        'latency.total_seconds()',
        _LOADS,
    ),
    Mutation(
        'a pace of which nothing was heard for long counts as usual',
        'fleet/pace.py',
        'kept = 1 - _weight(silent, _SLOW_S)',
        'kept = 1',
        _LOADS,
    ),
    Mutation(
        'a call is not sent to an upstream that is known to be full',
        'fleet/choice.py',
        'iter(with_room or available or',
        'iter(available or',
        _LOADS,
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
