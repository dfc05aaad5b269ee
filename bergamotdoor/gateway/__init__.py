"""The entry process: serves callers and trainers, and owns batch jobs."""

from __future__ import annotations
