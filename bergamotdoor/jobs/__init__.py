"""Decisions about batch jobs: order of work, numbered results."""

from __future__ import annotations
