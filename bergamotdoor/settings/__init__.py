"""Addresses, bounds and what is wrong with settings."""

from __future__ import annotations
