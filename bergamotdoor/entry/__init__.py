"""State that an entry process holds: services, manifest and upstreams."""

from __future__ import annotations
