"""Writes logs as JSON lines without blocking the event loop."""

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
from typing import Any, Final, Protocol, TypeAlias

from bergamotdoor.observe import subjects

ROOT_NAME: Final = 'bergamotdoor'
#: The maximum number of records queued for a slow disk or pipe. Further
#: records are dropped.
QUEUE_SIZE: Final = 4096
#: The timeout of each of at most two waits for a slow destination at a stop.
STOP_TIMEOUT: Final = dt.timedelta(seconds=2)
_LEVELS: Final = ('debug', 'info', 'warning', 'error')
#: The attributes of a record that are written.
_RECORD_FORMAT: Final = '%(levelname)s %(name)s %(message)s'
#: The JSON names of attributes that are not written under their own.
_RENAMED_ATTRIBUTES: Final = (
    ('levelname', 'level'),
    ('name', 'logger'),
)


#: ``None`` marks the end of the records.
_RecordQueue: TypeAlias = 'queue.Queue[logging.LogRecord | None]'


class LogDestination(Protocol):
    """The log settings of a process that are used here."""

    @property
    def level(self) -> str:
        """The lowest level written: debug, info, warning or error."""

    @property
    def file(self) -> str:
        """The file to append to; if empty, standard output is used."""


class LogOutput:
    """Writes the records of the program to their destination.

    Failure: a full disk or a stalled reader blocks a write for seconds.
    Symptom: the event loop is blocked, and all peers find the process
    unresponsive. The records are therefore written by a thread. Those that
    don't fit into its bounded queue are dropped and counted, so a log line
    never delays a request.
    """

    def __init__(
        self, handler: logging.Handler, queue_size: int = QUEUE_SIZE
    ) -> None:
        records: _RecordQueue = queue.Queue(queue_size)
        self._handler = handler
        self._queue_handler = _DroppingQueueHandler(records)
        self._writer = _QueueWriter(records, handler)

    @property
    def dropped(self) -> int:
        """The number of records dropped because the queue was full."""
        return self._queue_handler.dropped

    def start(self, level: str) -> None:
        """Start to write the program's records of `level` and above."""
        root = logging.getLogger(ROOT_NAME)
        root.setLevel(level.upper())
        root.addHandler(self._queue_handler)
        root.propagate = False
        self._writer.start()

    def stop(self) -> None:
        """Write the queued records, unless the destination stalls too long."""
        logging.getLogger(ROOT_NAME).removeHandler(self._queue_handler)
        if self._writer.finish():
            self._handler.close()


def configure(settings: LogDestination, process_name: str) -> LogOutput:
    """Start to write the program's logs as JSON lines.

    Parameters
    ----------
    settings
        The level and file, such as ``settings.process.LogSettings``.
    process_name
        The name written as ``process`` in each line.

    Returns
    -------
    LogOutput
        The running output, to be stopped before the process ends.

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
        # This handler reopens the file after a log rotation has renamed it.
        handler = WatchedFileHandler(settings.file)
    handler.setFormatter(_json_formatter(process_name))
    output = LogOutput(handler)
    output.start(settings.level)
    return output


def _json_formatter(process_name: str) -> logging.Formatter:
    # Imported here: programs that only use the library don't load it.
    from pythonjsonlogger.msgspec import MsgspecFormatter

    return MsgspecFormatter(
        _RECORD_FORMAT,
        rename_fields=dict(_RENAMED_ATTRIBUTES),
        timestamp='time',
        static_fields={'process': process_name},
    )


class _DroppingQueueHandler(QueueHandler):
    """Handler that queues records, and counts those that it drops."""

    def __init__(self, records: _RecordQueue) -> None:
        super().__init__(records)
        self.dropped = 0
        self._records = records

    def prepare(self, record: logging.LogRecord) -> Any:
        """Add the subject to `record` before another thread formats it."""
        prepared = super().prepare(record)
        for name, field in subjects.current().fields():
            prepared.__dict__.setdefault(name, field)
        return prepared

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue `record`; drop it if the queue is full."""
        try:
            self._records.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _QueueWriter(QueueListener):
    """Thread that writes queued records and ends within bounded time."""

    def __init__(self, records: _RecordQueue, handler: logging.Handler) -> None:
        super().__init__(records, handler)
        self._records = records

    def enqueue_sentinel(self) -> None:
        """Queue the end mark; unlike the inherited method, wait for space."""
        self._records.put(None, timeout=STOP_TIMEOUT.total_seconds())

    def finish(self) -> bool:
        """Stop the thread; return whether it ended in time.

        The inherited ``stop`` waits without a timeout. While the destination
        stalls, the process would never end.
        """
        thread = self._thread
        try:
            self.enqueue_sentinel()
        except queue.Full:
            return False
        if thread is not None:
            thread.join(STOP_TIMEOUT.total_seconds())
        return thread is None or not thread.is_alive()
