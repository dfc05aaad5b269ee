# flake8: noqa
"""Stand-ins for the platform, its clients and its engines."""

from __future__ import annotations
