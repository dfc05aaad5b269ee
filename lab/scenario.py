"""Scenario files of experiments: JSON with comments, checked when loaded."""

from __future__ import annotations

import pathlib

import msgspec
import pyjson5

from bergamotdoor.settings.document import Strict
from bergamotdoor.settings.problems import Problem, SettingsError


class Scenario(Strict, frozen=True):
    """A load, and constants of the product to change for it."""

    name: str
    #: How long trainers submit steps and callers send calls.
    duration_s: float = 30
    entries: int = 3
    engines: int = 4
    groups: int = 8
    group_size: int = 4
    #: The interval at which each trainer submits a step.
    every_s: float = 4
    trainers: int = 1
    #: Items' lengths are drawn around `mean_events`; `long_share` of the items
    #: are five times as long; no item is longer than `most_events`.
    mean_events: float = 20
    long_share: float = 0.08
    most_events: int = 120
    event_ms: float = 40
    calls_per_s: float = 5
    #: The time from which on the first engine is slow, 0 for never, and how
    #: many times slower it is then.
    slow_at_s: float = 0
    slow_factor: float = 3
    #: Constants of the product to change, by module and name, such as
    #: ``bergamotdoor.jobs.progress._LEAST_RATIO``.
    changes: dict[str, float] = {}


def load_scenario(path: str) -> Scenario:
    """Read a scenario file.

    Raises
    ------
    SettingsError
        The file can't be read, or a field is unknown or of another type.
    """
    try:
        text = pathlib.Path(path).read_text()
        return msgspec.convert(pyjson5.decode(text), Scenario)
    except OSError as error:
        problem = Problem('', str(error.strerror), 'a readable file')
    except (pyjson5.Json5Exception, msgspec.MsgspecError) as error:
        problem = Problem('', str(error), 'the fields of a scenario')
    raise SettingsError(path, (problem,))
