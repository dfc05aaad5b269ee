"""The entry process: takes callers and trainers, owns batch jobs."""

from __future__ import annotations
