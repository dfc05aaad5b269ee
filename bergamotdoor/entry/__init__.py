"""What an entry process knows: its services, the manifest, the upstreams."""

from __future__ import annotations
