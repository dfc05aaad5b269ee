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


def run_command_line(arguments: list[str]) -> tuple[int, str]:
    """Return the exit code, and standard output and error in one text."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        with contextlib.redirect_stderr(output):
            code = main(arguments)
    return int(code), output.getvalue()


@then('the command line ends')
def check_ends(context: Any) -> None:
    for row in context.table:
        code, output = run_command_line(row['words'].split())
        assert code == int(row['code']), (row, output)
        assert row['says'] in output, (row, output)


@then('no help of the command line shows a flag of absl')
def check_help(context: Any) -> None:
    for name in COMMANDS:
        output = run_command_line([name, '--help'])[1]
        assert 'flagfile' not in output
        assert 'undefok' not in output
        assert max(map(len, output.splitlines())) < 80, output


@then('the command line ends with settings')
def check_settings(context: Any) -> None:
    for row in context.table:
        with tempfile.NamedTemporaryFile() as file:
            file.write(row['settings'].encode())
            file.flush()
            missing = row['settings'] == 'none'
            os.environ[SETTINGS_VARIABLE] = 'none' if missing else file.name
            code, output = run_command_line([row['words']])
        assert code == int(row['code']), (row, output)
        assert row['says'] in output, (row, output)


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
        'steady_pace_percent': 150 if resting else 100,
        'told': 4 if resting else 0,
        'figure_age_s': 0.5 if resting else None,
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
    """Daemon whose start and stop take given times.

    Parameters
    ----------
    start_seconds
        The duration of the start.
    stop_seconds
        The duration of the stop.
    """

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
    context: Any, daemon: FakeDaemon, signals_by_s: dict[int, signal.Signals]
) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[int] = loop.create_future()
        signals = StopSignals(ended.set_result)
        for seconds, number in signals_by_s.items():
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
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        assert not remaining, remaining

    context.daemon = daemon
    run_virtual(run())


@when('a daemon of the command line gets SIGTERM after 5 seconds')
def send_one_signal(context: Any) -> None:
    run_daemon(context, FakeDaemon(1, 3), {5: signal.SIGTERM})


@when(
    'a daemon of the command line gets SIGTERM after 5 '
    'and SIGINT after 6 seconds'
)
def send_two_signals(context: Any) -> None:
    signals_by_s = {5: signal.SIGTERM, 6: signal.SIGINT}
    run_daemon(context, FakeDaemon(1, 9), signals_by_s)


@when(
    'a daemon of the command line gets SIGTERM after 5 '
    'and SIGTERM after 6 seconds'
)
def repeat_signal(context: Any) -> None:
    signals_by_s = {5: signal.SIGTERM, 6: signal.SIGTERM}
    run_daemon(context, FakeDaemon(1, 3), signals_by_s)


@when(
    'a daemon of the command line whose start hangs '
    'gets SIGTERM after 5 seconds'
)
def send_signal_in_start(context: Any) -> None:
    run_daemon(context, FakeDaemon(9999, 1), {5: signal.SIGTERM})


@when(
    'a daemon of the command line whose stop hangs gets SIGTERM after 5 seconds'
)
def send_signal_before_stop(context: Any) -> None:
    run_daemon(context, FakeDaemon(1, 9999), {5: signal.SIGTERM})


@when('the port of a daemon of the command line is already in use')
def port_in_use(context: Any) -> None:
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
def check_stop_timeout(context: Any) -> None:
    assert not context.daemon.stopped
    assert (context.code, context.seconds) == (1, 15)


#: Connects to a gateway before its modules are loaded, and prints the names
#: of those that are.
_CONNECT_EARLY = """
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


#: Sends a gateway a signal as soon as its first module is loaded.
_SIGNAL_EARLY = """
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
def check_early_signal(_: Any, name: str, outcome: str) -> None:
    done = subprocess.run(
        (sys.executable, '-c', _SIGNAL_EARLY, name),
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, (done.returncode, done.stderr)
    goes_on = 'SIGHUP has it read the file' in done.stdout
    assert goes_on == (outcome == 'goes on'), done.stdout


@then('the settings of the changed file are applied')
def check_applied(context: Any) -> None:
    assert context.store_ports == [1], context.store_ports


class RecordingDaemon(FakeDaemon):
    """Daemon that records the port of the store in each settings applied."""

    def __init__(self, start_seconds: float, stop_seconds: float) -> None:
        super().__init__(start_seconds, stop_seconds)
        self.store_ports: list[int] = []

    def use_settings(self, settings: NodeSettings) -> None:
        self.store_ports.append(settings.store.port)


@when('the settings file changes between its reading and the start')
def change_settings_early(context: Any) -> None:
    settings = {
        'node': 'agent',
        'zone': 'z',
        'ip': '127.0.0.1',
        'platform': {'address': '127.0.0.1:1'},
    }
    with tempfile.NamedTemporaryFile('w') as file:
        json.dump(settings, file)
        file.flush()
        daemon = RecordingDaemon(0, 0)
        ReloadingDaemon(daemon, file.name, b'older').reload()
        context.store_ports = daemon.store_ports


@then('a gateway listens for callers before asyncio and its own modules load')
def check_listens_early(_: Any) -> None:
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
            (sys.executable, '-c', _CONNECT_EARLY),
            env={**os.environ, SETTINGS_VARIABLE: file.name},
            capture_output=True,
            text=True,
            check=False,
        )
    assert done.stdout == 'loaded: []\n', (done.stdout, done.stderr)
