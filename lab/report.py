"""Reports of experiments: a table, JSON, HTML, and a plot if wanted."""

from __future__ import annotations

import html
import statistics
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable, Iterator

    from lab.experiment import Measured

_PAGE: Final = """<!doctype html>
<title>bergamotdoor experiment</title>
<h1>Experiment</h1>
<table border="1">{rows}</table>
{plot}
"""
_PLOT: Final = 'steps.png'
_NINTH: Final = 9
_TENTHS: Final = 10


class Row(NamedTuple):
    """What a scenario gave over its seeds."""

    scenario: str
    seeds: int
    step_mean_s: float
    step_p90_s: float
    step_worst_s: float
    call_mean_ms: float
    failed_calls: int
    store_calls: float


def summarize(measured: Iterable[Measured]) -> Iterator[Row]:
    """Return one row for each scenario, in the order they come."""
    by_name: dict[str, list[Measured]] = {}
    for one in measured:
        by_name.setdefault(one.scenario, []).append(one)
    for name, runs in by_name.items():
        steps_s = sorted(took for run in runs for took in run.steps_s)
        calls_ms = [took for run in runs for took in run.calls_ms]
        yield Row(
            scenario=name,
            seeds=len(runs),
            step_mean_s=round(statistics.fmean(steps_s), 3),
            step_p90_s=steps_s[len(steps_s) * _NINTH // _TENTHS],
            step_worst_s=steps_s[-1],
            call_mean_ms=round(statistics.fmean(calls_ms), 1),
            failed_calls=sum(run.failed_calls for run in runs),
            store_calls=statistics.fmean(run.store_calls for run in runs),
        )


def table(rows: list[Row]) -> str:
    """Return the rows as aligned text."""
    written = [Row._fields, *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*written, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.rjust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in written
    )


def write_report(folder: pathlib.Path, measured: list[Measured]) -> None:
    """Write ``measured.json``, ``report.html`` and a plot into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    body = msgspec.json.format(msgspec.json.encode(measured))
    (folder / 'measured.json').write_bytes(body)
    plotted = draw(folder / _PLOT, measured)
    page = _PAGE.format(
        rows=''.join(_html_rows(list(summarize(measured)))),
        plot=f'<img src="{_PLOT}">' if plotted else '',
    )
    (folder / 'report.html').write_text(page)


def draw(path: pathlib.Path, measured: list[Measured]) -> bool:
    """Draw the share of steps over their time; False without matplotlib.

    The library comes with the extra ``plots`` only.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError:
        return False
    figure = Figure()
    axes = figure.subplots()
    by_name: dict[str, list[float]] = {}
    for one in measured:
        by_name.setdefault(one.scenario, []).extend(one.steps_s)
    for name, steps_s in by_name.items():
        shares = [number / len(steps_s) for number in range(len(steps_s))]
        axes.step(sorted(steps_s), shares, label=name)
    axes.set_xlabel('seconds from asking a step until it was read')
    axes.set_ylabel('share of steps')
    axes.legend()
    figure.savefig(path)
    return True


def _html_rows(rows: list[Row]) -> Iterator[str]:
    for line in (Row._fields, *rows):
        cells = ''.join(f'<td>{html.escape(str(cell))}</td>' for cell in line)
        yield f'<tr>{cells}</tr>'
