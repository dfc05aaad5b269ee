"""Reports of experiments: a table, JSON, HTML and an optional plot."""

from __future__ import annotations

import html
import statistics
from typing import TYPE_CHECKING, Final, NamedTuple

import msgspec

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable, Iterator

    from lab.experiment import Measured

_PAGE_TEMPLATE: Final = """<!doctype html>
<title>bergamotdoor experiment</title>
<h1>Experiment</h1>
<table border="1">{rows}</table>
{plot}
"""
_PLOT_FILE: Final = 'steps.png'
_P90_NUMERATOR: Final = 9
_P90_DENOMINATOR: Final = 10


class Row(NamedTuple):
    """Measurements of a scenario over all its seeds."""

    scenario: str
    seeds: int
    step_mean_s: float
    step_p90_s: float
    step_worst_s: float
    call_mean_ms: float
    failed_calls: int
    store_calls: float


def summarize(measured: Iterable[Measured]) -> Iterator[Row]:
    """Return one row for each scenario, in the order of first runs."""
    by_name: dict[str, list[Measured]] = {}
    for measurement in measured:
        by_name.setdefault(measurement.scenario, []).append(measurement)
    for name, runs in by_name.items():
        steps_s = sorted(took for run in runs for took in run.steps_s)
        calls_ms = [took for run in runs for took in run.calls_ms]
        yield Row(
            scenario=name,
            seeds=len(runs),
            step_mean_s=round(statistics.fmean(steps_s), 3),
            step_p90_s=steps_s[
                len(steps_s) * _P90_NUMERATOR // _P90_DENOMINATOR
            ],
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
    plotted = draw(folder / _PLOT_FILE, measured)
    page = _PAGE_TEMPLATE.format(
        rows=''.join(_html_rows(list(summarize(measured)))),
        plot=f'<img src="{_PLOT_FILE}">' if plotted else '',
    )
    (folder / 'report.html').write_text(page)


def draw(path: pathlib.Path, measured: list[Measured]) -> bool:
    """Plot the cumulative share of steps over their duration.

    Returns
    -------
    bool
        Whether the plot was drawn: ``False`` if matplotlib, which only the
        extra ``plots`` installs, is missing.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError:
        return False
    figure = Figure()
    axes = figure.subplots()
    by_name: dict[str, list[float]] = {}
    for measurement in measured:
        by_name.setdefault(measurement.scenario, []).extend(measurement.steps_s)
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
