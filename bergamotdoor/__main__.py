"""Runs the command line as ``python3 -m bergamotdoor``."""

from __future__ import annotations

from bergamotdoor.cli.early import take_signals

take_signals()

from bergamotdoor.cli.main import run  # noqa: E402 -- after the signal handlers

run()
