"""Decisions about calls that cannot be sent at once; no I/O, no clock."""

from __future__ import annotations
