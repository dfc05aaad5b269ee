"""Decisions about upstreams: which exist, their load, and which to use."""

from __future__ import annotations
