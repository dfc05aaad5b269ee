"""Adapter to the platform: converts its wire formats to typed messages.

No other package uses a field, header, path or object kind of its protocol.
"""

from __future__ import annotations
