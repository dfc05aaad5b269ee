"""Benchmarks; each takes --seed and --json."""

from __future__ import annotations
