# flake8: noqa
"""The record of a run: what was sent, answered and run."""

from __future__ import annotations

import pathlib
import time


class Record:
    """Lines with the time since the start of the run, kept in a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began_s = time.monotonic()
        self._file = path.open('w', buffering=1)

    def add(self, text: str) -> None:
        self._file.write(f'{self.at(time.monotonic()):8.3f} s  {text}\n')

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.add(text)
        print(text, flush=True)

    def at(self, moment_s: float) -> float:
        return moment_s - self._began_s
