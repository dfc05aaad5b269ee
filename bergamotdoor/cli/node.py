"""The processes on the platform's machines: ``gateway`` and ``agent``."""

from __future__ import annotations

import os
import pathlib
import socket
import sys
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.cli.codes import ExitCode
from bergamotdoor.platform.settings import (
    SETTINGS_VARIABLE,
    parse_node_settings,
)
from bergamotdoor.settings.problems import Problem, SettingsError
from bergamotdoor.settings.process import LogSettings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bergamotdoor.cli.reloading import NodeDaemon
    from bergamotdoor.settings.document import Address
    from bergamotdoor.settings.node import NodeSettings

_DEFAULT_PATH: Final = '/etc/bergamotdoor/settings.json'
_HELP: Final = frozenset(('--help', '-help', '-h', 'help'))


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
            body = _read(path)
            settings = parse_node_settings(body, path)
            listening = _listening(settings.callers)
        except (SettingsError, OSError) as error:
            sys.stderr.write(f'{error}\n')
            return ExitCode.REFUSED
        return self._run(settings, listening, path, body)

    def _run(
        self,
        settings: NodeSettings,
        listening: socket.socket | None,
        path: str,
        body: bytes,
    ) -> int:
        # Imported behind the socket, see ``_listening``.
        from bergamotdoor.cli.reloading import ReloadingDaemon
        from bergamotdoor.cli.serving import run_daemon

        return run_daemon(
            lambda: ReloadingDaemon(
                self._build(settings, listening), path, body
            ),
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

    def _build(
        self, settings: NodeSettings, listening: socket.socket | None
    ) -> NodeDaemon:
        # Imported late: an agent must not pay memory for the gateway.
        if listening is not None:
            from bergamotdoor.gateway.daemon import GatewayDaemon

            return GatewayDaemon(settings, listening=listening)
        from bergamotdoor.agent.daemon import AgentDaemon

        return AgentDaemon(settings)


GATEWAY: Final = NodeCommand(
    'gateway', "run an entry on the platform's machines"
)
AGENT: Final = NodeCommand(
    'agent', 'run beside an engine, or on a VM with a disk'
)


def _listening(address: Address | None) -> socket.socket | None:
    """Listen for callers, before anything else is loaded.

    Failure: a VM starts again, and callers come while its process loads its
    modules. Symptom: their connections are refused, and where all VMs lost
    power together, so is the one retry that each of them has. Connections
    wait in this socket's queue instead for the tenth of a second that is
    left: 43 calls that were late on 21 days with such an end became 38.
    """
    if address is None:
        return None
    return socket.create_server((address.ip, address.port))


def _read(path: str) -> bytes:
    """Return the settings file.

    Raises
    ------
    SettingsError
        The file can't be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        problem = Problem('', str(error.strerror), 'a readable JSON file')
        raise SettingsError(path, (problem,)) from error
