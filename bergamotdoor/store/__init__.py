"""Clients for the platform's services."""

from __future__ import annotations
