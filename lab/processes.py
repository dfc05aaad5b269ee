"""Processes of the product, started and signalled from outside."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from typing import TYPE_CHECKING, Any, Final

from bergamotdoor.platform.settings import INSPECTION_PORT, SETTINGS_VARIABLE
from bergamotdoor.settings.document import Address
from lab.vm import WAYS_VARIABLE

if TYPE_CHECKING:
    import pathlib

_FRONT_PORT: Final = 8263
_READY_PORT: Final = 8268
_CONTACT_MS: Final = 3000
_GRACE_S: Final = 8


class ProductProcess:
    """One gateway or agent.

    Parameters
    ----------
    name
        The VM's name.
    command
        ``gateway`` or ``agent``.
    ip
        A loopback address of its own, so that all use the same ports.
    store
        Where it reaches the store.
    folder
        Takes its settings and log.
    engine
        The engine beside an agent.
    """

    def __init__(
        self,
        name: str,
        command: str,
        ip: str,
        store: Address,
        folder: pathlib.Path,
        engine: Address | None = None,
    ) -> None:
        self.name = name
        self.command = command
        self.ip = ip
        #: From where other processes listen to the proxies before them.
        self.ways: dict[str, str] = {}
        self._store = store
        self._folder = folder
        self._engine = engine
        self._process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> Address:
        """Where callers reach it."""
        return Address(ip=self.ip, port=_FRONT_PORT)

    @property
    def inspection(self) -> Address:
        """Where its metrics and state are."""
        return Address(ip=self.ip, port=INSPECTION_PORT)

    @property
    def running(self) -> bool:
        """Whether the process is there."""
        process = self._process
        return process is not None and process.returncode is None

    @property
    def ended_by(self) -> signal.Signals | None:
        """The signal whose default ended the process, if one did."""
        code = None if self._process is None else self._process.returncode
        return signal.Signals(-code) if code is not None and code < 0 else None

    async def start(self) -> None:
        """Write the settings and start the process."""
        path = self._folder / f'{self.name}.json'
        path.write_text(json.dumps(self._settings()))
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'lab.vm' if self.ways else 'bergamotdoor',
                self.command,
                env={
                    **os.environ,
                    SETTINGS_VARIABLE: str(path),
                    WAYS_VARIABLE: json.dumps(self.ways),
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it is there."""
        if self._process is not None and self.running:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Return the exit code once it has ended."""
        if self._process is None:
            return 0
        return await self._process.wait()

    async def kill(self) -> None:
        """End the process at once."""
        self.send(signal.SIGKILL)
        await self.wait()

    def _settings(self) -> dict[str, Any]:
        listen = {}
        if self.command == 'gateway':
            listen = {
                'front': _written(self.front),
                'ready': f'{self.ip}:{_READY_PORT}',
            }
        return {
            'node': self.name,
            'zone': 'here',
            'ip': self.ip,
            'platform': {'address': _written(self._store)},
            'listen': listen,
            'app': '' if self._engine is None else _written(self._engine),
            'bounds': {'contact_ms': _CONTACT_MS, 'grace_s': _GRACE_S},
        }


def _written(address: Address) -> str:
    return f'{address.ip}:{address.port}'
