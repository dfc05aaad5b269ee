"""The processes on the platform's machines: ``gateway`` and ``agent``."""

from __future__ import annotations

import os
import signal
import sys
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.cli.codes import ExitCode
from bergamotdoor.cli.serving import run_daemon
from bergamotdoor.platform.settings import (
    SETTINGS_VARIABLE,
    load_node_settings,
)
from bergamotdoor.settings.problems import SettingsError
from bergamotdoor.settings.process import LogSettings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bergamotdoor.cli.serving import Daemon
    from bergamotdoor.platform.settings import NodeSettings

_DEFAULT_PATH: Final = '/etc/bergamotdoor/settings.json'


class NodeCommand(msgspec.Struct, frozen=True):
    """A process that takes its settings from the platform's file."""

    name: str

    def main(self, words: Sequence[str]) -> int:
        """Run until a signal asks to stop."""
        path = os.environ.get(SETTINGS_VARIABLE, _DEFAULT_PATH)
        try:
            settings = load_node_settings(path)
        except SettingsError as error:
            sys.stderr.write(f'{error}\n')
            return ExitCode.REFUSED
        # The settings say nothing that a running process could take over.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        return run_daemon(
            lambda: self._build(settings),
            LogSettings(),
            settings.node,
            settings.grace,
        )

    def _build(self, settings: NodeSettings) -> Daemon:
        # Imported late: an agent must not pay memory for the gateway.
        if self.name == 'gateway':
            from bergamotdoor.gateway.daemon import GatewayDaemon

            return GatewayDaemon(settings)
        from bergamotdoor.agent.daemon import AgentDaemon

        return AgentDaemon(settings)


GATEWAY: Final = NodeCommand('gateway')
AGENT: Final = NodeCommand('agent')
