"""Settings of logging and HTTP limits of a process."""

from __future__ import annotations

from bergamotdoor.settings.document import Strict


class LogSettings(Strict, frozen=True):
    """Level and destination of the log."""

    level: str = 'info'
    #: The file to append to; if empty, standard output is used.
    file: str = ''


class HttpLimits(Strict, frozen=True):
    """Limits on the requests and connections of HTTP clients."""

    max_header_bytes: int = 32_768
    header_timeout_ms: int = 10_000
    #: The longest wait for the next part of a body.
    body_timeout_ms: int = 30_000
    idle_timeout_ms: int = 75_000
    max_connections: int = 2_000
