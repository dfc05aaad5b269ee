"""Steps for the command line and its daemons."""

from __future__ import annotations

import asyncio
import contextlib
import datetime as dt
import io
import json
import os
import signal
import subprocess
import sys
import tempfile
from typing import TYPE_CHECKING, Any

from behave import then, when

from bergamotdoor.cli.ctl import Seen, status_lines
from bergamotdoor.cli.main import main
from bergamotdoor.cli.reloading import ReloadingDaemon
from bergamotdoor.cli.serving import StopSignals, serve
from bergamotdoor.platform.settings import SETTINGS_VARIABLE
from bergamotdoor.settings.document import Address
from lab.virtual import run_virtual

if TYPE_CHECKING:
    from bergamotdoor.settings.node import NodeSettings

STOP_TIMEOUT = dt.timedelta(seconds=10)
COMMANDS = ('gateway', 'agent', 'ctl')


def run_words(words: list[str]) -> tuple[int, str]:
    """The exit code, and standard output and error together."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        with contextlib.redirect_stderr(output):
            code = main(words)
    return int(code), output.getvalue()


@then('the command line ends')
def check_ends(context: Any) -> None:
    for row in context.table:
        code, told = run_words(row['words'].split())
        assert code == int(row['code']), (row, told)
        assert row['says'] in told, (row, told)


@then('no help of the command line shows a flag of the library')
def check_help(context: Any) -> None:
    for name in COMMANDS:
        told = run_words([name, '--help'])[1]
        assert 'flagfile' not in told
        assert 'undefok' not in told
        assert max(map(len, told.splitlines())) < 80, told


@then('the command line ends with settings')
def check_settings(context: Any) -> None:
    for row in context.table:
        with tempfile.NamedTemporaryFile() as file:
            file.write(row['settings'].encode())
            file.flush()
            missing = row['settings'] == 'none'
            os.environ[SETTINGS_VARIABLE] = 'none' if missing else file.name
            code, told = run_words([row['words']])
        assert code == int(row['code']), (row, told)
        assert row['says'] in told, (row, told)


def state(generation: int, resting: bool, jobs: list[Any]) -> bytes:
    upstream = {
        'upstream': 'i-1',
        'service': 'lm',
        'draining': not resting,
        'in_flight': 2 if resting else 3,
        'busy': 3,
        'resting': resting,
        'event_interval_s': 0.04,
        'versions': {'m': 4},
    }
    duty = {
        'holder': 'entry-1',
        'token': 4,
        'decided_below': 90,
        'own': resting,
        'open_reports': 1,
    }
    entry = {
        'generation': generation,
        'upstreams': [upstream],
        'jobs': jobs,
        'manifest_proof_s': generation + 0.5 if resting else 1,
        'duty': duty,
    }
    return json.dumps({'gateway': entry}).encode()


def job_state(job: str, listed: int) -> dict[str, Any]:
    return {
        'job': job,
        'term': 1,
        'ended': listed == 8,
        'items': 8,
        'listed': listed,
        'running': 0,
    }


@then('the status of the entries is')
def check_status(context: Any) -> None:
    jobs = [
        job_state('j-1', listed=3),
        job_state('j-2', listed=8),
    ]
    bodies = (state(7, True, []), state(9, False, jobs), None)
    seen = tuple(
        Seen(Address(ip='127.0.0.1', port=port), body)
        for port, body in enumerate(bodies, start=1)
    )
    found = '\n'.join(status_lines(seen))
    assert found == context.text, found


class FakeDaemon:
    """Starts and stops as a test wants."""

    def __init__(self, start_seconds: float, stop_seconds: float) -> None:
        self.started = False
        self.stopped = False
        self.start_error: OSError | None = None
        self._start_seconds = start_seconds
        self._stop_seconds = stop_seconds

    async def start(self) -> None:
        if self.start_error is not None:
            raise self.start_error
        await asyncio.sleep(self._start_seconds)
        self.started = True

    async def stop(self) -> None:
        await asyncio.sleep(self._stop_seconds)
        self.stopped = True


def run_daemon(
    context: Any, daemon: FakeDaemon, sent: dict[int, signal.Signals]
) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[int] = loop.create_future()
        signals = StopSignals(ended.set_result)
        for seconds, number in sent.items():
            loop.call_later(seconds, signals.receive, number)
        serving = asyncio.create_task(serve(daemon, signals, STOP_TIMEOUT))
        await asyncio.wait(
            (serving, ended), return_when=asyncio.FIRST_COMPLETED
        )
        context.ended_now = ended.done()
        context.code = ended.result() if ended.done() else await serving
        context.seconds = loop.time()
        serving.cancel()
        await asyncio.wait((serving,))
        left = asyncio.all_tasks() - {asyncio.current_task()}
        assert not left, left

    context.daemon = daemon
    run_virtual(run())


@when('a daemon of the command line gets SIGTERM after 5 seconds')
def one_signal(context: Any) -> None:
    run_daemon(context, FakeDaemon(1, 3), {5: signal.SIGTERM})


@when(
    'a daemon of the command line gets SIGTERM after 5 '
    'and SIGINT after 6 seconds'
)
def two_signals(context: Any) -> None:
    sent = {5: signal.SIGTERM, 6: signal.SIGINT}
    run_daemon(context, FakeDaemon(1, 9), sent)


@when(
    'a daemon of the command line whose start hangs '
    'gets SIGTERM after 5 seconds'
)
def hanging_start(context: Any) -> None:
    run_daemon(context, FakeDaemon(9999, 1), {5: signal.SIGTERM})


@when(
    'a daemon of the command line whose stop hangs gets SIGTERM after 5 seconds'
)
def hanging_stop(context: Any) -> None:
    run_daemon(context, FakeDaemon(1, 9999), {5: signal.SIGTERM})


@when('a daemon of the command line finds its port taken')
def port_taken(context: Any) -> None:
    daemon = FakeDaemon(1, 1)
    daemon.start_error = OSError('address already in use')
    run_daemon(context, daemon, {})


@then('the daemon of the command line was started and stopped, with code 0')
def check_stopped(context: Any) -> None:
    assert context.daemon.started
    assert context.daemon.stopped
    assert (context.code, context.seconds) == (0, 8)


@then('the daemon of the command line was ended at 6 seconds with code 130')
def check_ended(context: Any) -> None:
    assert context.ended_now
    assert not context.daemon.stopped
    assert (context.code, context.seconds) == (130, 6)


@then(
    'the daemon of the command line was stopped but not started, '
    'with code {code:d}'
)
def check_not_started(context: Any, code: int) -> None:
    assert not context.daemon.started
    assert context.daemon.stopped
    assert context.code == code


@then('the daemon of the command line ended after 15 seconds with code 1')
def check_cut(context: Any) -> None:
    assert not context.daemon.stopped
    assert (context.code, context.seconds) == (1, 15)


#: Runs a gateway up to the loading of its modules, and connects.
_EARLY = """
import socket, sys
from bergamotdoor.cli import main, node

def run(command, settings, listening, path, body):
    with socket.create_connection(listening.getsockname(), timeout=5):
        pass
    heavy = ('asyncio', 'h11', 'bergamotdoor.gateway')
    print('loaded:', [name for name in heavy if name in sys.modules])
    return 0

node.NodeCommand._run = run
sys.exit(main.main(['gateway']))
"""


#: Runs a gateway that gets a signal as soon as its first module is loaded.
_SIGNALLED = """
import os, runpy, signal, sys
from bergamotdoor.cli import early

take = early.take_signals

def take_and_send():
    take()
    os.kill(os.getpid(), signal.Signals[name])

early.take_signals = take_and_send
name = sys.argv[1]
sys.argv = ['bergamotdoor', 'gateway', '--help']
runpy.run_module('bergamotdoor', run_name='__main__')
"""


@then('a process that gets {name} before its modules are loaded {outcome}')
def signalled_early(_: Any, name: str, outcome: str) -> None:
    done = subprocess.run(
        (sys.executable, '-c', _SIGNALLED, name),
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, (done.returncode, done.stderr)
    goes_on = 'SIGHUP has it read the file' in done.stdout
    assert goes_on == (outcome == 'goes on'), done.stdout


@then('a changed file is noticed though it changed during the start')
def changed_at_start(context: Any) -> None:
    assert context.used == [1], context.used


class NotingDaemon(FakeDaemon):
    """Notes which stores it is told to use, by their ports."""

    def __init__(self, start_seconds: float, stop_seconds: float) -> None:
        super().__init__(start_seconds, stop_seconds)
        self.used: list[int] = []

    def use_settings(self, settings: NodeSettings) -> None:
        self.used.append(settings.store.port)


@when('the settings file changes between its reading and the start')
def changes_early(context: Any) -> None:
    settings = {
        'node': 'agent',
        'zone': 'z',
        'ip': '127.0.0.1',
        'platform': {'address': '127.0.0.1:1'},
    }
    with tempfile.NamedTemporaryFile('w') as file:
        json.dump(settings, file)
        file.flush()
        noting = NotingDaemon(0, 0)
        ReloadingDaemon(noting, file.name, b'older').reload()
        context.used = noting.used


@then('a gateway listens for callers before asyncio and its own modules load')
def listens_early(_: Any) -> None:
    settings = {
        'node': 'entry',
        'zone': 'z',
        'ip': '127.0.0.1',
        'platform': {'address': '127.0.0.1:1'},
        'listen': {'front': '127.0.0.1:0', 'ready': '127.0.0.1:0'},
    }
    with tempfile.NamedTemporaryFile('w') as file:
        json.dump(settings, file)
        file.flush()
        done = subprocess.run(
            (sys.executable, '-c', _EARLY),
            env={**os.environ, SETTINGS_VARIABLE: file.name},
            capture_output=True,
            text=True,
            check=False,
        )
    assert done.stdout == 'loaded: []\n', (done.stdout, done.stderr)
