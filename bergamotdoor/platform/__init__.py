"""Adapter to the users' machines: their wire names become typed messages.

Nothing outside this package knows a field, header, path or object kind of
the platform.
"""

from __future__ import annotations
