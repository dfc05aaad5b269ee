"""Applies changes of the settings file to a running daemon."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import signal
from typing import TYPE_CHECKING, Final, Protocol

from bergamotdoor.platform.settings import parse_node_settings
from bergamotdoor.settings.problems import SettingsError

if TYPE_CHECKING:
    from bergamotdoor.settings.node import NodeSettings

#: How often the file is read, since it may change without a signal.
_CHECK_INTERVAL_S: Final = 5

_log = logging.getLogger('bergamotdoor.cli')


class NodeDaemon(Protocol):
    """Daemon whose settings can change while it runs."""

    async def start(self) -> object:
        """Start the daemon; return when it is ready."""

    async def stop(self) -> None:
        """Finish the work in progress and stop."""

    def use_settings(self, settings: NodeSettings) -> None:
        """Apply changed settings, if they can change without a restart."""


class ReloadingDaemon:
    """Runs a daemon and applies changes of its settings file.

    Parameters
    ----------
    daemon
        The daemon.
    path
        The path of the settings file.
    body
        The contents of the file from which the daemon was created.
    """

    def __init__(self, daemon: NodeDaemon, path: str, body: bytes) -> None:
        self._daemon = daemon
        self._path = pathlib.Path(path)
        self._applied_body = body
        self._reload_requested = asyncio.Event()
        self._check_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the daemon and the checks of the file."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        self._check_task = asyncio.create_task(self._check_file())
        await self._daemon.start()

    async def stop(self) -> None:
        """Stop the daemon."""
        if self._check_task is not None:
            self._check_task.cancel()
        await self._daemon.stop()

    def reload(self) -> None:
        """Apply the file if it has changed and is valid."""
        try:
            body = self._path.read_bytes()
        except OSError as error:
            _log.error('cli: the settings file cannot be read: %s', error)
            return
        if body == self._applied_body:
            return
        try:
            settings = parse_node_settings(body, str(self._path))
        except SettingsError as error:
            _log.error('cli: changed settings rejected: %s', error)
            return
        self._applied_body = body
        _log.info('cli: changed settings applied')
        self._daemon.use_settings(settings)

    async def _check_file(self) -> None:
        while True:
            try:
                async with asyncio.timeout(_CHECK_INTERVAL_S):
                    await self._reload_requested.wait()
            except TimeoutError:
                self.reload()
            else:
                self._reload_requested.clear()
                _log.info('cli: SIGHUP received')
                self.reload()
