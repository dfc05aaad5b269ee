"""Runs the command line as ``python3 -m bergamotdoor``."""

from __future__ import annotations

from bergamotdoor.cli.main import run

run()
