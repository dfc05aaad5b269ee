"""Usage reports: counts of all entries, sent by one process at a time."""

from __future__ import annotations
