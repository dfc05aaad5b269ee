"""Bounds and logging of a process."""

from __future__ import annotations

from bergamotdoor.settings.document import Strict


class LogSettings(Strict, frozen=True):
    """Where and how much is logged."""

    level: str = 'info'
    #: Empty logs to standard output.
    file: str = ''


class HttpLimits(Strict, frozen=True):
    """Bounds on what HTTP clients may do."""

    max_header_bytes: int = 32_768
    header_timeout_ms: int = 10_000
    #: The longest pause between two pieces of a body.
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 75_000
    max_connections: int = 2_000
