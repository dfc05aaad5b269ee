"""Logs, metrics and state dumps, shared by every process."""

from __future__ import annotations
