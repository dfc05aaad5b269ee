"""The processes on the platform's machines: ``gateway`` and ``agent``."""

from __future__ import annotations

import asyncio
import logging
import os
import pathlib
import signal
import sys
from typing import TYPE_CHECKING, Final, Protocol

import msgspec

from bergamotdoor.cli.codes import ExitCode
from bergamotdoor.cli.serving import run_daemon
from bergamotdoor.platform.settings import (
    SETTINGS_VARIABLE,
    parse_node_settings,
)
from bergamotdoor.settings.problems import Problem, SettingsError
from bergamotdoor.settings.process import LogSettings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bergamotdoor.settings.node import NodeSettings

_DEFAULT_PATH: Final = '/etc/bergamotdoor/settings.json'
#: The file may change without a signal; looking costs a read.
_LOOK_EVERY_S: Final = 5
_HELP: Final = frozenset(('--help', '-help', '-h', 'help'))

_log = logging.getLogger('bergamotdoor.cli')


class NodeDaemon(Protocol):
    """A process that can take other settings while it runs."""

    async def start(self) -> object:
        """Return once it serves."""

    async def stop(self) -> None:
        """Finish what is in progress."""

    def use_settings(self, settings: NodeSettings) -> None:
        """Take changed settings, as far as a running process can."""


class ReloadingDaemon:
    """Runs a daemon and hands it the settings file whenever it changes.

    Parameters
    ----------
    daemon
        What runs.
    path
        The settings file.
    """

    def __init__(self, daemon: NodeDaemon, path: str) -> None:
        self._daemon = daemon
        self._path = pathlib.Path(path)
        self._known = b''
        self._asked = asyncio.Event()
        self._watch: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the daemon and follow the file."""
        self._known = self._path.read_bytes()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._asked.set)
        self._watch = asyncio.create_task(self._follow())
        await self._daemon.start()

    async def stop(self) -> None:
        """Stop the daemon."""
        if self._watch is not None:
            self._watch.cancel()
        await self._daemon.stop()

    def reload(self) -> None:
        """Take the file if it has changed; a bad one changes nothing."""
        try:
            body = self._path.read_bytes()
        except OSError as error:
            _log.error('cli: settings not read: %s', error)
            return
        if body == self._known:
            return
        try:
            settings = parse_node_settings(body, str(self._path))
        except SettingsError as error:
            _log.error('cli: changed settings refused: %s', error)
            return
        self._known = body
        _log.info('cli: settings changed, taken over')
        self._daemon.use_settings(settings)

    async def _follow(self) -> None:
        while True:
            try:
                async with asyncio.timeout(_LOOK_EVERY_S):
                    await self._asked.wait()
            except TimeoutError:
                self.reload()
            else:
                self._asked.clear()
                _log.info('cli: SIGHUP received')
                self.reload()


class NodeCommand(msgspec.Struct, frozen=True):
    """A process that takes its settings from the platform's file."""

    name: str
    text: str

    def main(self, words: Sequence[str]) -> int:
        """Run until a signal asks to stop."""
        if words:
            return self._usage(asked=words[0] in _HELP)
        path = os.environ.get(SETTINGS_VARIABLE, _DEFAULT_PATH)
        try:
            settings = _load(path)
        except SettingsError as error:
            sys.stderr.write(f'{error}\n')
            return ExitCode.REFUSED
        return run_daemon(
            lambda: ReloadingDaemon(self._build(settings), path),
            LogSettings(),
            settings.node,
            settings.grace,
        )

    def _usage(self, asked: bool) -> int:
        text = (
            f'bergamotdoor {self.name}: {self.text}\n\n'
            'It takes no arguments. The platform writes its settings to the\n'
            f'file that {SETTINGS_VARIABLE} names ({_DEFAULT_PATH} if unset).\n'
            'SIGTERM stops it gracefully, SIGHUP has it read the file again.\n'
        )
        (sys.stdout if asked else sys.stderr).write(text)
        return ExitCode.OK if asked else ExitCode.USAGE

    def _build(self, settings: NodeSettings) -> NodeDaemon:
        # Imported late: an agent must not pay memory for the gateway.
        if self.name == 'gateway':
            from bergamotdoor.gateway.daemon import GatewayDaemon

            return GatewayDaemon(settings)
        from bergamotdoor.agent.daemon import AgentDaemon

        return AgentDaemon(settings)


GATEWAY: Final = NodeCommand(
    'gateway', "run an entry on the platform's machines"
)
AGENT: Final = NodeCommand(
    'agent', 'run beside an engine, or on a VM with a disk'
)


def _load(path: str) -> NodeSettings:
    """Read the settings file.

    Raises
    ------
    SettingsError
        The file can't be read, or a field is missing or of another type.
    """
    try:
        body = pathlib.Path(path).read_bytes()
    except OSError as error:
        problem = Problem('', str(error.strerror), 'a readable JSON file')
        raise SettingsError(path, (problem,)) from error
    return parse_node_settings(body, path)
