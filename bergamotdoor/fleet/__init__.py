"""Decisions about upstreams: which exist, how loaded, which to choose."""

from __future__ import annotations
