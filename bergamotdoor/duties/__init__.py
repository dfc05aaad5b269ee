"""Decisions about duties: work that one process at a time does for all."""

from __future__ import annotations
