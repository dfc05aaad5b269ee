"""What steps were made of, told from logs afterwards."""

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
