"""Processes of the product, which the lab starts and signals."""

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

    from lab.contact import Begin, Span

_FRONT_PORT: Final = 8263
_READY_PORT: Final = 8268
_CONTACT_MS: Final = 3000
_GRACE_S: Final = 8
#: Signals that impair a process until it goes on or is started again.
_IMPAIRING: Final = frozenset((signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP))


class ProductProcess:
    """A gateway or agent process.

    Parameters
    ----------
    name
        The VM's name.
    command
        ``gateway`` or ``agent``.
    ip
        A loopback address of its own, so that all processes can use the same
        ports.
    store
        The address at which the process reaches the store.
    folder
        The folder for settings and log.
    engine
        The address of the engine beside an agent, ``None`` if there is none.
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
        #: Addresses of the proxies that this process connects to, by the
        #: addresses that they stand for.
        self.ways: dict[str, str] = {}
        #: Whether trainers that give up submit jobs to it.
        self.in_rotation = True
        self._store = store
        self._folder = folder
        self._engine = engine
        self._process: asyncio.subprocess.Process | None = None
        #: Records that the process is impaired.
        self.on_signal: Begin | None = None
        #: Impairments by signals that are in force.
        self._impairments: dict[signal.Signals, Span] = {}

    @property
    def front(self) -> Address:
        """The address for callers."""
        return Address(ip=self.ip, port=_FRONT_PORT)

    @property
    def inspection(self) -> Address:
        """The address that serves metrics and state."""
        return Address(ip=self.ip, port=INSPECTION_PORT)

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        process = self._process
        return process is not None and process.returncode is None

    @property
    def ended_by(self) -> signal.Signals | None:
        """The signal whose default action ended the process, if any."""
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
        self._record_start()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.running:
            self._process.send_signal(number)
            self._record(number)

    async def wait(self) -> int:
        """Wait until the process has ended; return its exit code."""
        if self._process is None:
            return 0
        return await self._process.wait()

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.send(signal.SIGKILL)
        await self.wait()

    def _record_start(self) -> None:
        for number in tuple(self._impairments):
            self._end_impairment(number)
        if self.on_signal is not None:
            self.on_signal().end()

    def _record(self, number: signal.Signals) -> None:
        """Record the impairment that a signal begins or ends."""
        if number is signal.SIGCONT:
            self._end_impairment(signal.SIGSTOP)
        elif number in _IMPAIRING and number not in self._impairments:
            if self.on_signal is not None:
                self._impairments[number] = self.on_signal()

    def _end_impairment(self, number: signal.Signals) -> None:
        span = self._impairments.pop(number, None)
        if span is not None:
            span.end()

    def _settings(self) -> dict[str, Any]:
        listen = {}
        if self.command == 'gateway':
            listen = {
                'front': _format_address(self.front),
                'ready': f'{self.ip}:{_READY_PORT}',
            }
        return {
            'node': self.name,
            'zone': 'here',
            'ip': self.ip,
            'platform': {'address': _format_address(self._store)},
            'listen': listen,
            'app': ''
            if self._engine is None
            else _format_address(self._engine),
            'bounds': {'contact_ms': _CONTACT_MS, 'grace_s': _GRACE_S},
        }


def _format_address(address: Address) -> str:
    return f'{address.ip}:{address.port}'
