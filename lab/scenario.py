"""Scenario files of experiments: JSON with comments, checked on load."""

from __future__ import annotations

import pathlib

import msgspec
import pyjson5

from bergamotdoor.settings.document import Strict
from bergamotdoor.settings.problems import Problem, SettingsError


class Scenario(Strict, frozen=True):
    """A load, and what is changed in the product for it."""

    name: str
    #: How long steps and calls are asked for.
    duration_s: float = 30
    entries: int = 3
    engines: int = 4
    groups: int = 8
    group_size: int = 4
    #: How often a trainer asks a step.
    every_s: float = 4
    trainers: int = 1
    #: Lengths are drawn around this; a share of the items is five times as
    #: long; none is longer than the most.
    mean_events: float = 20
    long_share: float = 0.08
    most_events: int = 120
    event_ms: float = 40
    calls_per_s: float = 5
    #: From when on the first engine is slow, and how much slower; 0 is never.
    slow_at_s: float = 0
    slow_factor: float = 3
    #: Numbers of the product to change, by module and name, such as
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
