"""Agent processes: one beside each engine, one on each VM with a disk."""

from __future__ import annotations
