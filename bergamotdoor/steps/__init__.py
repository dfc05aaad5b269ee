"""Tasks of the process that owns batch jobs: items, results, takeovers."""

from __future__ import annotations
