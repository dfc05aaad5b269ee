"""Switches safeguards off, one at a time, and shows that a test fails.

Each mutation is one replacement of text in a copy of the code; the named
feature must then fail. ``python -m tools.mutations`` prints a table and exits
non-zero if a mutation is not noticed, or no longer fits the code.
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

_COPIED: Final = ('bergamotdoor', 'features', 'lab', 'tools')
_PACKAGE: Final = pathlib.Path('bergamotdoor')
_JOBS: Final = 4
_TIMEOUT_S: Final = 300
_SCORING: Final = 'gateway_scoring'
_INCARNATIONS: Final = 'fleet_incarnations'
_MODEL: Final = 'lab_model'
_ACCOUNTS: Final = 'gateway_accounts'
_REVOCATION: Final = 'gateway_revocation'
_USAGE: Final = 'reporting_usage'
_NEWS: Final = 'peers_news'
_CRASHES: Final = 'gateway_crashes'


class Mutation(msgspec.Struct, frozen=True):
    """A safeguard that is switched off."""

    safeguard: str
    #: Below the package.
    path: str
    text: str
    replacement: str
    #: The feature that must fail.
    feature: str


MUTATIONS: Final = (
    Mutation(
        'a holder acts soon after its write, or not at all',
        'duties/tenure.py',
        'return now - written_at < self.acting',
        'return now >= written_at',
        _USAGE,
    ),
    Mutation(
        'a successor waits until the holder before is silent',
        'duties/tenure.py',
        'return now - known.seen_at >= self.quiet',
        'return now >= known.seen_at',
        _USAGE,
    ),
    Mutation(
        'what is sent is decided by the write before',
        'reporting/reporter.py',
        'decided_below=UsageWindow(below + len(decided)),',
        'decided_below=below,',
        _USAGE,
    ),
    Mutation(
        'a takeover raises the token',
        'duties/tenure.py',
        'token=FencingToken(known.token + 1)',
        'token=known.token',
        _USAGE,
    ),
    Mutation(
        'requests with a key wait for a proof that the key still counts',
        'calls/accounts.py',
        'return now - proven_at < self.revocation - _PROOF_MARGIN',
        'return now >= proven_at',
        _REVOCATION,
    ),
    Mutation(
        'what the client says of its account is dropped',
        'gateway/credentials.py',
        'return (ACCOUNT, _AUTHORIZATION) if keyed else (ACCOUNT,)',
        'return ()',
        _ACCOUNTS,
    ),
    Mutation(
        'an account that lost its keys is in force',
        'calls/accounts.py',
        'self._in_force = bool(known)',
        'self._in_force = any(one.keys for one in known)',
        _ACCOUNTS,
    ),
    Mutation(
        "another account's job is not shown",
        'calls/accounts.py',
        'return not self._in_force or owner in {account, NO_ACCOUNT}',
        'return True',
        _ACCOUNTS,
    ),
    Mutation(
        'a kind is listed again after an interrupted watch',
        'objects/watcher.py',
        '            await self._rest(found)\n        return found',
        '            await self._rest(found)\n        return None',
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
        'what is listed is left out of each record',
        'steps/ledger_sync.py',
        'left = tuple(self._ledger.unlisted(batch))',
        'left = batch',
        'jobs_positions',
    ),
    Mutation(
        'a record is tried unchanged under its number until it is settled',
        'steps/ledger_sync.py',
        'number = self._ledger.next_number\n            found = await '
        'self._store.append',
        'number = self._ledger.next_number + tries\n            found = await '
        'self._store.append',
        'jobs_positions',
    ),
    Mutation(
        'who finds a number taken reads the record that has it',
        'objects/job_store.py',
        'return _record(outcome.current)',
        'return record',
        _MODEL,
    ),
    Mutation(
        'a job that is stopped here is not ended',
        'steps/job_run.py',
        'self.state = RunState.STOPPED',
        'self.state = RunState.ENDED',
        _MODEL,
    ),
    Mutation(
        'a reader is told that there is nothing only by a proven ledger',
        'steps/jobs_desk.py',
        '    waiting = run.wait_beyond(after, last.total_seconds())\n',
        '    return True\n',
        _MODEL,
    ),
    Mutation(
        'results that have a position are left out',
        'jobs/ledger.py',
        'if result.item not in self._items)',
        'if True)',
        _MODEL,
    ),
    Mutation(
        'a ledger that was not read from the store proves nothing',
        'steps/ledger_sync.py',
        'self._proven_at = proven_at',
        'self._proven_at = clock.elapsed()',
        _MODEL,
    ),
    Mutation(
        'nothing under the next number proves a whole ledger',
        'steps/jobs_desk.py',
        'known = await _proven(run, after, last)',
        'known = True',
        'gateway_jobs',
    ),
    Mutation(
        'items made under an older version are not taken',
        'steps/item_run.py',
        'if version < run.job.min_version:',
        'if False and version < run.job.min_version:',
        'gateway_jobs',
    ),
    Mutation(
        'moves leave out engines that stand still',
        'jobs/progress.py',
        'if name not in halted',
        'if name is not halted',
        'jobs_progress',
    ),
    Mutation(
        "a standstill is not an engine's pace",
        'jobs/progress.py',
        'now - before > STALL or',
        'False or',
        'jobs_progress',
    ),
    Mutation(
        'requests that break together are one failure',
        'fleet/loads.py',
        '        if self.resting(now):\n            return\n',
        '',
        'jobs_progress',
    ),
    Mutation(
        'orders name the count of accepted orders',
        'agent/weights.py',
        'accepted_orders=report.accepted_orders',
        'accepted_orders=report.accepted_orders + 1',
        'agent_weights',
    ),
    Mutation(
        'what may run once is not sent again after a doubt',
        'calls/tries.py',
        'if not rules.repeatable and (self.ran or self.running):',
        'if False and not rules.repeatable:',
        'gateway_calls',
    ),
    Mutation(
        'a manifest never goes back',
        'entry/views.py',
        'if known is not None and found.generation <= known.generation:',
        'if known is not None and found.generation == known.generation:',
        'platform_adapter',
    ),
    Mutation(
        'a store that is down for all is not asked by every way',
        'peers/relay.py',
        'if self.directory is None or self._closed():',
        'if self.directory is None:',
        'peers_relay',
    ),
    Mutation(
        'pages are no larger than the link carries',
        'jobs/ledger.py',
        'return min(max(carried, _SMALLEST_BYTES), LARGEST_PAGE_BYTES)',
        'return LARGEST_PAGE_BYTES',
        'jobs_pages',
    ),
    Mutation(
        'each object of a page is read by itself',
        'platform/store_wire.py',
        'tuple(_decode_readable(decoded.items, parse_object))',
        'tuple(parse_object(bytes(item)) for item in decoded.items)',
        'objects_foreign',
    ),
    Mutation(
        'an upstream whose entry cannot be read is dropped',
        'entry/views.py',
        'self._fleet.remove(RegistrationId(stored.name))\n            return',
        'return',
        'objects_foreign',
    ),
    Mutation(
        'an entry of an earlier start changes nothing',
        'fleet/fleet.py',
        'if upstream.started < self._starts.get(name, upstream.started):',
        'if False:',
        _INCARNATIONS,
    ),
    Mutation(
        'what is known of an upstream is of one start',
        'fleet/upstreams.py',
        '    if not started:\n',
        '    if True:\n',
        _INCARNATIONS,
    ),
    Mutation(
        'an engine is looked at though no version is new',
        'agent/weights.py',
        '_CHECK_INTERVAL_S: Final = 1\n',
        '_CHECK_INTERVAL_S: Final = 1000\n',
        _INCARNATIONS,
    ),
    Mutation(
        "an engine's weights are told to the entry that runs its model",
        'steps/peer_service.py',
        'self._others.pass_on(message)',
        'return',
        'peers_directory',
    ),
    Mutation(
        'a text that wants a score is not listed without it',
        'jobs/open_items.py',
        'if spec.score_call is None or result.score:',
        'if True:',
        _SCORING,
    ),
    Mutation(
        'texts without a score are kept for the next owner',
        'jobs/open_items.py',
        'saved.update((one.spec.item, one.saved()) for one in self.scores)',
        '',
        _SCORING,
    ),
    Mutation(
        'a text that an owner before made whole does not run again',
        'jobs/open_items.py',
        '            self.board.generated(result.item)\n',
        '',
        _SCORING,
    ),
    Mutation(
        'score calls leave slots to callers',
        'jobs/scoring.py',
        'return max(upstream.slots - kept - load.others(now), 0)',
        'return upstream.slots * 10',
        _SCORING,
    ),
    Mutation(
        'only answers of 500 count against a score call',
        'forwarding/answers.py',
        'failures=int(response.status == HTTPStatus.INTERNAL_SERVER_ERROR),',
        'failures=1,',
        _SCORING,
    ),
    Mutation(
        'score calls end with their job',
        'steps/job_run.py',
        '        for task in self._scoring:\n            task.cancel()\n',
        '',
        _SCORING,
    ),
    Mutation(
        'a step that is handed over has not ended',
        'steps/job_run.py',
        'self.state = RunState.STOPPED',
        'self.state = RunState.ENDED',
        'planned_stops',
    ),
    Mutation(
        'a job that is handed in again is not begun anew',
        'steps/jobs_intake.py',
        'if not submitted.created:',
        'if False:',
        'planned_stops',
    ),
    Mutation(
        'a step is handed on with what its items have',
        'steps/hand_over.py',
        'partial=run.items.saved(1),',
        'partial={},',
        'planned_stops',
    ),
    Mutation(
        'the first answer of the store is taken, whatever its way',
        'peers/relay.py',
        'return_when=asyncio.FIRST_COMPLETED',
        'return_when=asyncio.ALL_COMPLETED',
        'peers_relay',
    ),
    Mutation(
        'score calls that gave none are sent again at a pace',
        'jobs/scoring.py',
        'text.ready_at = now + dt.timedelta(seconds=pause_s)',
        'text.ready_at = now',
        _SCORING,
    ),
    Mutation(
        'the last groups of a step are listed together',
        'jobs/listing.py',
        '_LAST_SHARE: Final = 0.25',
        '_LAST_SHARE: Final = 0.0',
        'jobs_listing',
    ),
    Mutation(
        'readers are told once all records of a batch are stored',
        'steps/result_writer.py',
        '            run.take_results(listed.results)',
        '            run.take_results(listed.results)\n'
        '            run.announce()',
        'jobs_listing',
    ),
    Mutation(
        'a caller is shown all that is listed',
        'steps/jobs_desk.py',
        'return await page_of(run, after, wait, LARGEST_PAGE_BYTES)',
        'return await page_of(run, after, wait, LARGEST_PAGE_BYTES // 4)',
        'jobs_pages',
    ),
    Mutation(
        'a free slot is kept for an item that moves',
        'steps/dispatcher.py',
        'self._reservations.keep(move.item, move.goal, now)',
        'assert now',
        'jobs_progress',
    ),
    Mutation(
        'an item that was told to leave is told once',
        'steps/dispatcher.py',
        'if not item.task.cancelling()',
        'if item.task is not None',
        'cli_anatomy',
    ),
    Mutation(
        'a listing that is not answered has others begun beside it',
        'objects/watcher.py',
        'await list_patiently(self._store, self._kind)',
        'await self._store.listing(self._kind)',
        'objects_watcher',
    ),
    Mutation(
        'an engine that no step can use loads at once',
        'agent/weights.py',
        'while now < until and not self._has_unusable_weights(report, model):',
        'while now < until:',
        'agent_weights',
    ),
    Mutation(
        'a source tells nothing once its watch is not answered in time',
        'peers/news_source.py',
        'async with asyncio.timeout(self._trusted.total_seconds()):',
        'async with asyncio.timeout(60):',
        _NEWS,
    ),
    Mutation(
        'a silent source is given up within the bound',
        'peers/shared_news.py',
        'wait = self._bounds.answer_wait',
        'wait = self._bounds.answer_wait * 4',
        _NEWS,
    ),
    Mutation(
        'whoever hears nothing from a source lists',
        'peers/shared_news.py',
        '            self._leave_alone(source, silent=reply is None)\n'
        '        return Outcome.HISTORY_GONE',
        '            self._leave_alone(source, silent=reply is None)\n'
        '        return Changes((), since)',
        _NEWS,
    ),
    Mutation(
        'a log of changes tells whole batches, also of what was listed',
        'objects/change_log.py',
        'for change in batch.changes)',
        'for change in batch.changes if change.removed'
        ' or change.stored.revision > since)',
        _NEWS,
    ),
    Mutation(
        "a job's record is taken in a later term only",
        'steps/job_run.py',
        'if found.record.term > self.found.record.term:',
        'if found.record.term:',
        'gateway_again',
    ),
    Mutation(
        'a request under which upstreams ended rests',
        'fleet/quarantine.py',
        '        beyond = self.strikes(fingerprint) - least\n',
        '        beyond = -1\n',
        _CRASHES,
    ),
    Mutation(
        'upstreams that end at once are one link of a chain',
        'fleet/quarantine.py',
        'max(strike.before + 1, strike.number)',
        'len(counting)',
        _CRASHES,
    ),
    Mutation(
        'ends in turn of a request that was at all upstreams are counted',
        'fleet/quarantine.py',
        'number = max(strikes, 1) if at_once else strikes + 1',
        'number = int(not at_once)',
        'fleet_quarantine',
    ),
    Mutation(
        'items that ask for the same are one request',
        'steps/item_request.py',
        'asked = prompt.encode() if prompt else spec.body',
        'asked = spec.body',
        'steps_crashes',
    ),
    Mutation(
        'what ran beside has the shorter chain',
        'fleet/quarantine.py',
        'return all(strike.before >= other.before for other in ran)',
        'return bool(ran)',
        'fleet_quarantine',
    ),
    Mutation(
        'other entries are told under which requests upstreams ended',
        'peers/strike_sharing.py',
        '            self._to_tell.set()\n',
        '',
        _CRASHES,
    ),
    Mutation(
        'a new process reads under which requests upstreams ended',
        'peers/strike_sharing.py',
        '        directory.on_status = self.take_kept\n',
        '',
        _CRASHES,
    ),
    Mutation(
        'a request that was sent twice may have run the first time',
        'http/sending.py',
        'return again if again.sent else first',
        'return again',
        _CRASHES,
    ),
    Mutation(
        'the next incarnation does not know what the one before ran',
        'http/sending.py',
        '        again.sent_before = first.sent\n',
        '',
        _CRASHES,
    ),
    Mutation(
        'an item under which engines ended rests',
        'steps/item_suspects.py',
        '        if rest:\n',
        '        if False:\n',
        'steps_crashes',
    ),
)


def noticed(mutation: Mutation) -> bool:
    """Return whether the feature fails with the safeguard off."""
    with tempfile.TemporaryDirectory(prefix='mutation-') as folder:
        root = pathlib.Path(folder)
        write_mutated(mutation, root)
        return _fails(root, mutation.feature)


def write_mutated(mutation: Mutation, root: pathlib.Path) -> None:
    """Copy the code into a folder, with the safeguard off.

    Raises
    ------
    ValueError
        The text to replace is not there, or more than once.
    """
    for name in _COPIED:
        shutil.copytree(name, root / name)
    path = root / _PACKAGE / mutation.path
    written = path.read_text()
    if written.count(mutation.text) != 1:
        raise ValueError(
            f'{mutation.path}: {mutation.text!r} found '
            f'{written.count(mutation.text)} times, expected once'
        )
    path.write_text(written.replace(mutation.text, mutation.replacement))


def _fails(root: pathlib.Path, feature: str) -> bool:
    command = (
        sys.executable,
        '-m',
        'behave',
        '--stop',
        f'features/{feature}.feature',
    )
    try:
        done = subprocess.run(
            command,
            cwd=root,
            env={**os.environ, 'PYTHONPATH': str(root)},
            capture_output=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        # A test that does not end is a failure, too.
        return True
    return done.returncode != 0 and b'ASSERT' in done.stdout


def main() -> int:
    """Try all mutations; print which were noticed."""
    with ThreadPoolExecutor(_JOBS) as pool:
        results = list(pool.map(noticed, MUTATIONS))
    for mutation, found in zip(MUTATIONS, results, strict=True):
        word = 'noticed' if found else 'NOT NOTICED'
        print(f'{word}: {mutation.safeguard} ({mutation.feature})')
    print(f'{sum(results)} of {len(results)} noticed')
    return 0 if all(results) else 1


if __name__ == '__main__':
    sys.exit(main())
