"""Decisions about plain requests: routes, attempts, refusals."""

from __future__ import annotations
