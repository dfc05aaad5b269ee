"""Decisions about plain requests: routing, attempts and admission."""

from __future__ import annotations
