"""Analysis of logs: what the time of each step was spent on.

A step is a trainer's batch job, from its submission to its end.
"""

from __future__ import annotations

from bergamotdoor.anatomy.events import read_events
from bergamotdoor.anatomy.report import table, timeline
from bergamotdoor.anatomy.steps import StepAnatomy, gather_steps, usual_pace_s

__all__ = (
    'StepAnatomy',
    'usual_pace_s',
    'gather_steps',
    'read_events',
    'table',
    'timeline',
)
