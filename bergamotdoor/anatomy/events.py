"""Reads the log lines that tell of steps.

Lines may come from any number of processes, in any order, with whatever a
collector puts before the JSON. The clocks of the processes are taken to
agree; all but the first and the last line of a step are its owner's.
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
    """Something that happened to a step."""

    at: dt.datetime
    process: str
    job: JobId


class Submitted(StepEvent, frozen=True):
    """It was taken in."""

    items: int


class Owned(StepEvent, frozen=True):
    """A process began to run it."""

    term: int


class RunEnded(StepEvent, frozen=True):
    """A run of an item ended."""

    item: ItemId
    upstream: UpstreamId
    end: str
    took_ms: int
    events: int


class Moved(StepEvent, frozen=True):
    """An item was told to leave an engine."""

    item: ItemId
    upstream: UpstreamId
    events: int
    why: str


class Listed(StepEvent, frozen=True):
    """Results got their positions."""

    #: How many have one now.
    results: int
    took_ms: int
    target: str


class Shown(StepEvent, frozen=True):
    """A reader was shown results."""

    until: int


class Ended(StepEvent, frozen=True):
    """Its trainer ended it."""

    listed: int


class _Line(msgspec.Struct, frozen=True):
    time: dt.datetime
    message: str
    process: str = ''


#: How each line is written; its groups are the fields of what it tells.
_LINES: Final = MappingProxyType(
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
    """Return what lines of a log tell of steps; others are passed over."""
    for line in lines:
        written = _line(line)
        event = None if written is None else _event(written)
        if event is not None:
            yield event


def _line(text: str) -> _Line | None:
    start = text.find('{')
    if start < 0 or 'gateway: ' not in text:
        return None
    try:
        return msgspec.json.decode(text[start:], type=_Line)
    except msgspec.MsgspecError:
        # Cut off, or another program's.
        return None


def _event(line: _Line) -> StepEvent | None:
    for kind, pattern in _LINES.items():
        found = pattern.match(line.message)
        if found is not None:
            fields = {
                **found.groupdict(),
                'at': line.time,
                'process': line.process,
            }
            # Not strict: the groups are text, numbers as well.
            event: StepEvent = msgspec.convert(fields, kind, strict=False)
            return event
    return None
