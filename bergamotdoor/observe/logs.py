"""Writes logs as JSON lines without holding up the event loop."""

from __future__ import annotations

import datetime as dt
import logging
import queue
import sys
from logging.handlers import (
    QueueHandler,
    QueueListener,
    WatchedFileHandler,
)
from typing import Final, Protocol, TypeAlias

ROOT_NAME: Final = 'bergamotdoor'
#: Records that wait for a slow disk or pipe; more are dropped.
QUEUE_SIZE: Final = 4096
#: How long a stop waits for a slow destination, twice at most.
STOP_TIMEOUT: Final = dt.timedelta(seconds=2)
_LEVELS: Final = ('debug', 'info', 'warning', 'error')
#: Attributes of a record that are written, and under which name.
_FORMAT: Final = '%(levelname)s %(name)s %(message)s'
_NAMES: Final = (
    ('levelname', 'level'),
    ('name', 'logger'),
)


#: None is the end mark.
_Records: TypeAlias = 'queue.Queue[logging.LogRecord | None]'


class LogDestination(Protocol):
    """The log settings of a process, as far as they are read here."""

    @property
    def level(self) -> str:
        """The lowest level written: debug, info, warning or error."""

    @property
    def file(self) -> str:
        """The file to append to; empty for standard output."""


class LogOutput:
    """Carries records from the program to their destination.

    Failure: a full disk or a reader that stalls makes a write block for
    seconds. Symptom: the event loop stands still and every link of the
    process counts as silent. A thread does the writing, and what its
    bounded queue can't take is dropped and counted, so a log line never
    holds up a request.
    """

    def __init__(
        self, handler: logging.Handler, queue_size: int = QUEUE_SIZE
    ) -> None:
        records: _Records = queue.Queue(queue_size)
        self._handler = handler
        self._intake = _Intake(records)
        self._writer = _Writer(records, handler)

    @property
    def dropped(self) -> int:
        """How many records found the queue full."""
        return self._intake.dropped

    def start(self, level: str) -> None:
        """Take the records of the whole program at `level` and above."""
        root = logging.getLogger(ROOT_NAME)
        root.setLevel(level.upper())
        root.addHandler(self._intake)
        root.propagate = False
        self._writer.start()

    def stop(self) -> None:
        """Write what is queued; give up on a destination that stalls."""
        logging.getLogger(ROOT_NAME).removeHandler(self._intake)
        if self._writer.finish():
            self._handler.close()


def configure(settings: LogDestination, process_name: str) -> LogOutput:
    """Send the program's logs where `settings` say.

    Parameters
    ----------
    settings
        Level and file; ``settings.process.LogSettings`` fits.
    process_name
        Written as ``process`` in each line.

    Returns
    -------
    LogOutput
        To be stopped when the process ends.

    Raises
    ------
    ValueError
        If the level is not one of debug, info, warning and error.
    """
    if settings.level not in _LEVELS:
        expected = ', '.join(_LEVELS)
        raise ValueError(
            f'log.level: {settings.level!r} is not one of {expected}'
        )
    handler: logging.Handler = logging.StreamHandler(sys.stdout)
    if settings.file:
        # Reopens the file after a log rotation has moved it away.
        handler = WatchedFileHandler(settings.file)
    handler.setFormatter(_json_formatter(process_name))
    output = LogOutput(handler)
    output.start(settings.level)
    return output


def _json_formatter(process_name: str) -> logging.Formatter:
    # Imported late: programs that only use the library don't pay for it.
    from pythonjsonlogger.msgspec import MsgspecFormatter

    return MsgspecFormatter(
        _FORMAT,
        rename_fields=dict(_NAMES),
        timestamp='time',
        static_fields={'process': process_name},
    )


class _Intake(QueueHandler):
    """Queues records; counts those that don't fit."""

    def __init__(self, records: _Records) -> None:
        super().__init__(records)
        self.dropped = 0
        self._records = records

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue `record`, or drop it if the queue is full."""
        try:
            self._records.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _Writer(QueueListener):
    """Writes queued records on a thread that ends in bounded time."""

    def __init__(self, records: _Records, handler: logging.Handler) -> None:
        super().__init__(records, handler)
        self._records = records

    def enqueue_sentinel(self) -> None:
        """Queue the end mark; wait for room, unlike the inherited one."""
        self._records.put(None, timeout=STOP_TIMEOUT.total_seconds())

    def finish(self) -> bool:
        """Ask the thread to end; return whether it did in time.

        The inherited ``stop`` waits for good when the destination stalls,
        so the process would never end.
        """
        thread = self._thread
        try:
            self.enqueue_sentinel()
        except queue.Full:
            return False
        if thread is not None:
            thread.join(STOP_TIMEOUT.total_seconds())
        return thread is None or not thread.is_alive()
