"""Upstreams for scenarios about decisions."""

from __future__ import annotations

from typing import Any

from bergamotdoor.fleet.upstreams import Upstream
from bergamotdoor.types import RegistrationId, ServiceId, UpstreamId, ZoneId
from lab.site import at

ZONE = ZoneId('here')
_PORT = 8100


def upstream(number: int, prefix: str = 'e', **fields: Any) -> Upstream:
    """Return an upstream of four slots, as it registers."""
    name = f'{prefix}{number}'
    return Upstream(
        **{
            'upstream': UpstreamId(name),
            'registration': RegistrationId(name),
            'service': ServiceId('lm'),
            'address': at(_PORT + number),
            'zone': ZONE,
            'slots': 4,
            **fields,
        }
    )


def upstreams(count: int, prefix: str = 'e', **fields: Any) -> list[Upstream]:
    """Return so many upstreams of one service."""
    return [upstream(number, prefix, **fields) for number in range(count)]
