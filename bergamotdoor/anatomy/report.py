"""Formats the anatomy of steps as text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Iterable, Iterator

    from bergamotdoor.anatomy.steps import ItemRun, StepAnatomy

#: The width of a timeline, which represents the whole time of a step.
_TIMELINE_CHARS: Final = 60
#: How many characters of an id are shown; fewer already distinguish ids.
_ID_CHARS: Final = 12
_COUNT_COLUMNS: Final = ('items', 'owners', 'refused', 'moved')
_TIME_COLUMNS: Final = ('first_item', 'last_text', 'listed', 'shown', 'ended')


def table(steps: Iterable[StepAnatomy], pace_s: float | None) -> Iterator[str]:
    """Format a line per step; times are seconds from the step's submission.

    Parameters
    ----------
    steps
        The anatomy of each step.
    pace_s
        The time per event of a usual engine, in seconds; ``None`` if
        unknown.
    """
    headings = ('step', *_COUNT_COLUMNS, *_TIME_COLUMNS, 'floor')
    found = [headings, *(_format_row(step, pace_s) for step in steps)]
    widths = [max(map(len, column)) for column in zip(*found, strict=True)]
    for row in found:
        cells = zip(row, widths, strict=True)
        yield '  '.join(cell.rjust(width) for cell, width in cells)


def _format_row(
    step: StepAnatomy, event_interval_s: float | None
) -> tuple[str, ...]:
    counts = (str(getattr(step, name)) for name in _COUNT_COLUMNS)
    times = (_format_seconds(getattr(step, name)) for name in _TIME_COLUMNS)
    floor = None if event_interval_s is None else step.floor(event_interval_s)
    return (step.job[:_ID_CHARS], *counts, *times, _format_seconds(floor))


def timeline(step: StepAnatomy) -> Iterator[str]:
    """Draw the runs of the item that the step waited for longest."""
    whole = step.ended or step.shown or step.last_text
    if not whole:
        return
    for run in step.slowest:
        begin = int(run.began / whole * _TIMELINE_CHARS)
        end = max(int(run.ended / whole * _TIMELINE_CHARS), begin + 1)
        drawn = '=' * (end - begin)
        line = drawn.rjust(end).ljust(_TIMELINE_CHARS)[:_TIMELINE_CHARS]
        yield f'|{line}| {_describe_run(run)}'


def _describe_run(run: ItemRun) -> str:
    began = _format_seconds(run.began)
    ended = _format_seconds(run.ended)
    where = run.upstream[:_ID_CHARS]
    return f'{began} to {ended} s at {where}: {run.end}, {run.events} events'


def _format_seconds(time: dt.timedelta | None) -> str:
    if time is None:
        return '-'
    seconds = time.total_seconds()
    return f'{seconds:.2f}'
