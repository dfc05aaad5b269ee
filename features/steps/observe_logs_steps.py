"""Steps for bergamotdoor.observe.logs."""

from __future__ import annotations

import datetime as dt
import json
import logging
import pathlib
import tempfile
import threading
from typing import Any

from behave import given, then, when

from bergamotdoor.objects.client import ObjectClient
from bergamotdoor.observe import logs, subjects
from bergamotdoor.peers.news_messages import WatchKind
from bergamotdoor.peers.news_source import NewsSource
from bergamotdoor.peers.sharing import SharingBounds
from bergamotdoor.settings.process import LogSettings
from bergamotdoor.stored import Outcome
from bergamotdoor.tasks import Tasks
from bergamotdoor.types import Revision
from features.job_scenes import JOB, lose_record_write, owner_of
from lab.site import Site, play
from lab.store import StoreMode
from lab.virtual import run_virtual, virtual_clock

LOGGER = logging.getLogger('bergamotdoor.part')
MESSAGE = 'part: something happened'


class StalledHandler(logging.Handler):
    """Handler that blocks until it is released, as with a stalled disk."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()
        self.written = 0

    def emit(self, record: logging.LogRecord) -> None:
        self.released.wait()
        self.written += 1


@given('the logs of "{process}" go to a file at level "{level}"')
def log_to_file(context: Any, process: str, level: str) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log_file = pathlib.Path(folder.name, 'log')
    settings = LogSettings(level=level, file=str(context.log_file))
    context.log_output = logs.configure(settings, process)


@when('a record at level "info" and one at level "debug" are logged')
def log_two(context: Any) -> None:
    LOGGER.info(MESSAGE, extra={'attempt': 3})
    LOGGER.debug('not written')
    context.log_output.stop()


@then('the log file holds one JSON line with the text and "{process}"')
def check_line(context: Any, process: str) -> None:
    lines = context.log_file.read_text().splitlines()
    assert len(lines) == 1, lines
    written = json.loads(lines[0])
    logged_at = dt.datetime.fromisoformat(written.pop('time'))
    assert logged_at.utcoffset() == dt.timedelta()
    assert written == {
        'level': 'INFO',
        'logger': LOGGER.name,
        'message': MESSAGE,
        'process': process,
        'attempt': 3,
    }


@given('a log destination that stalls, with a queue of {size:d}')
def stall_destination(context: Any, size: int) -> None:
    context.stalled = StalledHandler()
    context.queue_size = size
    context.log_output = logs.LogOutput(context.stalled, queue_size=size)
    context.log_output.start('info')


@when('{count:d} records are logged')
def log_many(context: Any, count: int) -> None:
    context.logged = count
    for number in range(count):
        LOGGER.info('part: record %d', number)


@then('logging returned each time and the dropped records were counted')
def check_dropped(context: Any) -> None:
    output = context.log_output
    # The writer has one record, and the queue has the others.
    kept = context.logged - output.dropped
    assert context.queue_size <= kept <= context.queue_size + 1, kept
    context.stalled.released.set()
    output.stop()
    assert context.stalled.written == kept


@when('the logs are configured at level "{level}"')
def configure_unknown_level(context: Any, level: str) -> None:
    context.log_error = None
    try:
        logs.configure(LogSettings(level=level), 'entry-1')
    except ValueError as error:
        context.log_error = str(error)


@then('the error contains "{level}" and the valid levels')
def check_level(context: Any, level: str) -> None:
    assert level in context.log_error
    assert 'debug, info, warning, error' in context.log_error


@when('a job is submitted to a site whose store {fault}')
def submit_to_failing_store(context: Any, fault: str) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        if fault == 'rejects all calls':
            site.store.mode = StoreMode.BUSY
        else:
            lose_record_write(site)
        context.reply = await site.submit('entry-0', JOB, [[2, 2]])

    # Other features silence this logger.
    logging.getLogger('bergamotdoor.http').propagate = True
    try:
        play(scene)
    finally:
        logging.getLogger('bergamotdoor.http').propagate = False
    context.log_output.stop()


@then('it is answered {status:d}, and lines of the job contain "{told}"')
def check_write_line(context: Any, status: int, told: str) -> None:
    assert context.reply.status == status, context.reply.status
    lines = lines_of_job(context)
    assert any(told in line['message'] for line in lines), lines


@then('no line about another object names the job')
def check_other_lines(context: Any) -> None:
    others = [
        line['message']
        for line in lines_of_job(context)
        if '/-/objects/' in line['message']
        and '/-/objects/job' not in line['message']
    ]
    assert not others, others


@when('an entry that runs a job is restarted')
def restart_owner(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await site.submit('entry-0', JOB, [[60, 2]])
        owner = owner_of(site)
        await site.kill(owner)
        await site.add_entry(owner)
        await site.all_results(owner, JOB)

    play(scene)
    context.log_output.stop()


@then('lines of the job contain "{first}" and "{second}"')
def check_adoption_lines(context: Any, first: str, second: str) -> None:
    messages = [line['message'] for line in lines_of_job(context)]
    for told in (first, second):
        assert any(told in message for message in messages), messages


class SubjectRecorder:
    """Caller of a store that never answers; records whom calls are for."""

    def __init__(self) -> None:
        self.peers: list[str] = []

    async def call(self, *_: Any) -> Outcome:
        self.peers.append(subjects.current().peer)
        return Outcome.UNCLEAR

    async def watch(self, *_: Any) -> Outcome:
        return await self.call()


@when('the message of a peer starts a watch that serves all processes')
def start_watch(context: Any) -> None:
    context.recorder = SubjectRecorder()

    async def scene() -> None:
        tasks = Tasks()
        source = NewsSource(
            ObjectClient(context.recorder),
            virtual_clock(),
            tasks,
            SharingBounds(dt.timedelta(seconds=3)),
        )
        with subjects.about(peer='entry-1'):
            await source.answer(WatchKind('servers', Revision(1), 0))
        await tasks.stop()

    run_virtual(scene())


@then('the calls of the watch are about no peer')
def check_watch_subject(context: Any) -> None:
    assert context.recorder.peers
    assert not any(context.recorder.peers), context.recorder.peers


def lines_of_job(context: Any) -> list[Any]:
    """Return the lines that carry the id of the job as a field."""
    lines = map(json.loads, context.log_file.read_text().splitlines())
    return [line for line in lines if line.get('job') == JOB]
