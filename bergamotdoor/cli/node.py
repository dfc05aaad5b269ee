"""The commands ``gateway`` and ``agent``, which run on the platform's VMs."""

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
_HELP_WORDS: Final = frozenset(('--help', '-help', '-h', 'help'))


class NodeCommand(msgspec.Struct, frozen=True):
    """Command that runs a process with the settings file of the platform."""

    name: str
    text: str

    def main(self, words: Sequence[str]) -> int:
        """Run the process until a signal stops it; return the exit code."""
        if words:
            return self._print_usage(requested=words[0] in _HELP_WORDS)
        path = os.environ.get(SETTINGS_VARIABLE, _DEFAULT_PATH)
        try:
            body = _read_file(path)
            settings = parse_node_settings(body, path)
            listening = _open_listener(settings.callers)
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
        # Imported after the socket is opened, see ``_open_listener``.
        from bergamotdoor.cli.reloading import ReloadingDaemon
        from bergamotdoor.cli.serving import run_daemon

        return run_daemon(
            lambda: ReloadingDaemon(
                self._build_daemon(settings, listening), path, body
            ),
            LogSettings(),
            settings.node,
            settings.grace,
        )

    def _print_usage(self, requested: bool) -> int:
        text = (
            f'bergamotdoor {self.name}: {self.text}\n\n'
            'It takes no arguments. The platform writes its settings to the\n'
            f'file that {SETTINGS_VARIABLE} names ({_DEFAULT_PATH} if unset).\n'
            'SIGTERM stops it gracefully, SIGHUP has it read the file again.\n'
        )
        (sys.stdout if requested else sys.stderr).write(text)
        return ExitCode.OK if requested else ExitCode.USAGE

    def _build_daemon(
        self, settings: NodeSettings, listening: socket.socket | None
    ) -> NodeDaemon:
        # Imported here: an agent must not use memory for the gateway's code.
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


def _open_listener(address: Address | None) -> socket.socket | None:
    """Open the socket for callers before other modules are loaded.

    Failure: a VM restarts, and callers connect while its process loads its
    modules. Symptom: their connections are refused; if all VMs lost power
    together, so is the single retry of each caller. With an open socket,
    connections wait in its queue for the tenth of a second that loading
    takes: on 21 days that ended with such a power loss, 38 calls were late
    instead of 43.
    """
    if address is None:
        return None
    return socket.create_server((address.ip, address.port))


def _read_file(path: str) -> bytes:
    """Return the contents of the settings file.

    Raises
    ------
    SettingsError
        If the file can't be read.
    """
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        problem = Problem('', str(error.strerror), 'a readable JSON file')
        raise SettingsError(path, (problem,)) from error
