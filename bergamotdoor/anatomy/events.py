"""Parses log lines about steps.

The lines may be from any number of processes, in any order, and may have any
prefix that a log collector adds before the JSON. The clocks of the processes
are assumed to agree. The owner of a step logs all lines about it but the
first and the last.
"""

from __future__ import annotations

import datetime as dt
import re
from types import MappingProxyType
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.types import ItemId, JobId, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_JOB: Final = r'gateway: job (?P<job>\S+?):? '
_ITEM: Final = r'gateway: item (?P<item>\S+) of job (?P<job>\S+) '


class StepEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Event of a step."""

    at: dt.datetime
    process: str
    job: JobId


class Submitted(StepEvent, frozen=True):
    """The step was submitted."""

    items: int


class Owned(StepEvent, frozen=True):
    """A process became the owner of the step."""

    term: int


class RunEnded(StepEvent, frozen=True):
    """A run of an item ended."""

    item: ItemId
    upstream: UpstreamId
    end: str
    took_ms: int
    events: int


class Moved(StepEvent, frozen=True):
    """An item was moved away from an engine."""

    item: ItemId
    upstream: UpstreamId
    events: int
    why: str


class Listed(StepEvent, frozen=True):
    """Results were listed, that is, got their positions."""

    #: The number of results listed so far.
    results: int
    took_ms: int
    target: str


class Shown(StepEvent, frozen=True):
    """Results were returned to a reader."""

    #: The position after the last returned result.
    until: int


class Ended(StepEvent, frozen=True):
    """The trainer ended the step."""

    listed: int


class _Line(msgspec.Struct, frozen=True):
    time: dt.datetime
    message: str
    process: str = ''


#: The pattern of each event's log line; its groups are the event's fields.
_PATTERNS: Final = MappingProxyType(
    {
        RunEnded: re.compile(
            rf'{_ITEM}at (?P<upstream>\S+): (?P<end>\S+) '
            r'after (?P<took_ms>\d+) ms, (?P<events>\d+) events'
        ),
        Moved: re.compile(
            rf'{_ITEM}leaves (?P<upstream>\S+) '
            r'after (?P<events>\d+) events: (?P<why>\w+)'
        ),
        Submitted: re.compile(
            rf'{_JOB}submitted, (?P<items>\d+) items.*: kept'
        ),
        Owned: re.compile(rf'{_JOB}owned, term (?P<term>\d+)'),
        Listed: re.compile(
            rf'{_JOB}(?P<results>\d+) results listed in (?P<took_ms>\d+) ms, '
            r'target (?P<target>reached|not reached)'
        ),
        Shown: re.compile(rf'{_JOB}shown to position (?P<until>\d+)'),
        Ended: re.compile(rf'{_JOB}ended, (?P<listed>\d+) of'),
    }
)


def read_events(lines: Iterable[str]) -> Iterator[StepEvent]:
    """Return the events of steps in lines of logs; skip other lines."""
    for line in lines:
        parsed = _parse_line(line)
        event = None if parsed is None else _parse_event(parsed)
        if event is not None:
            yield event


def _parse_line(text: str) -> _Line | None:
    start = text.find('{')
    if start < 0 or 'gateway: ' not in text:
        return None
    try:
        return msgspec.json.decode(text[start:], type=_Line)
    except msgspec.MsgspecError:
        # The line is truncated, or from another program.
        return None


def _parse_event(line: _Line) -> StepEvent | None:
    for kind, pattern in _PATTERNS.items():
        found = pattern.match(line.message)
        if found is not None:
            fields = {
                **found.groupdict(),
                'at': line.time,
                'process': line.process,
            }
            # Not strict, since the groups of numbers are text as well.
            event: StepEvent = msgspec.convert(fields, kind, strict=False)
            return event
    return None
