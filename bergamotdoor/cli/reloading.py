"""Hands a running daemon the settings file whenever it changes."""

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

#: The file may change without a signal; looking costs a read.
_LOOK_EVERY_S: Final = 5

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
    body
        What it held when the daemon was built.
    """

    def __init__(self, daemon: NodeDaemon, path: str, body: bytes) -> None:
        self._daemon = daemon
        self._path = pathlib.Path(path)
        self._known = body
        self._asked = asyncio.Event()
        self._watch: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the daemon and follow the file."""
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
