"""Shows what steps were made of, as text."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Iterable, Iterator

    from bergamotdoor.anatomy.steps import ItemRun, StepAnatomy

#: Columns of a timeline, the step's whole time.
_WIDTH: Final = 60
#: Of ids, which are told apart by less.
_ID_CHARS: Final = 12
_COUNTS: Final = ('items', 'owners', 'refused', 'moved')
_TIMES: Final = ('first_item', 'last_text', 'listed', 'shown', 'ended')


def table(steps: Iterable[StepAnatomy], pace_s: float | None) -> Iterator[str]:
    """Return a line for each step; times in seconds from its taking in.

    Parameters
    ----------
    steps
        What happened to each.
    pace_s
        Seconds an event takes at a usual engine; None is not known.
    """
    headings = ('step', *_COUNTS, *_TIMES, 'floor')
    found = [headings, *(_row(step, pace_s) for step in steps)]
    widths = [max(map(len, column)) for column in zip(*found, strict=True)]
    for row in found:
        cells = zip(row, widths, strict=True)
        yield '  '.join(cell.rjust(width) for cell, width in cells)


def _row(step: StepAnatomy, pace_s: float | None) -> tuple[str, ...]:
    counts = (str(getattr(step, name)) for name in _COUNTS)
    times = (_seconds(getattr(step, name)) for name in _TIMES)
    floor = None if pace_s is None else step.floor(pace_s)
    return (step.job[:_ID_CHARS], *counts, *times, _seconds(floor))


def timeline(step: StepAnatomy) -> Iterator[str]:
    """Draw the runs of the item that a step waited for longest."""
    whole = step.ended or step.shown or step.last_text
    if not whole:
        return
    for run in step.slowest:
        begin = int(run.began / whole * _WIDTH)
        end = max(int(run.ended / whole * _WIDTH), begin + 1)
        drawn = '=' * (end - begin)
        line = drawn.rjust(end).ljust(_WIDTH)[:_WIDTH]
        yield f'|{line}| {_told(run)}'


def _told(run: ItemRun) -> str:
    began = _seconds(run.began)
    ended = _seconds(run.ended)
    where = run.upstream[:_ID_CHARS]
    return f'{began} to {ended} s at {where}: {run.end}, {run.events} events'


def _seconds(time: dt.timedelta | None) -> str:
    if time is None:
        return '-'
    seconds = time.total_seconds()
    return f'{seconds:.2f}'
