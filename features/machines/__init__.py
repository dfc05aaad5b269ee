"""Small stand-ins of the platform's machines, for virtual time."""

from __future__ import annotations
