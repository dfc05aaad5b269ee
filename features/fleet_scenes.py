"""Helpers for scenarios about upstreams, and about engines with agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from bergamotdoor.fleet.upstreams import Upstream
from bergamotdoor.types import RegistrationId, ServiceId, UpstreamId, ZoneId
from lab.site import at

if TYPE_CHECKING:
    from lab.site import Site
    from lab.upstreams import Engine

ZONE = ZoneId('here')
_FIRST_PORT = 8100


def upstream(number: int, prefix: str = 'e', **fields: Any) -> Upstream:
    """Return an upstream of four slots, as its registration describes it.

    Parameters
    ----------
    number
        Number in its name, and its offset from the first port.
    prefix
        Beginning of its name.
    **fields
        Fields that differ from the defaults.
    """
    name = f'{prefix}{number}'
    return Upstream(
        **{
            'upstream': UpstreamId(name),
            'registration': RegistrationId(name),
            'service': ServiceId('lm'),
            'address': at(_FIRST_PORT + number),
            'zone': ZONE,
            'slots': 4,
            **fields,
        }
    )


def upstreams(count: int, prefix: str = 'e', **fields: Any) -> list[Upstream]:
    """Return `count` upstreams of one service."""
    return [upstream(number, prefix, **fields) for number in range(count)]


async def start_engine_with_agent(site: Site) -> Engine:
    """Start one engine with its agent, and one entry process."""
    await site.start(engines=1, services=0, entries=1)
    engine = site.engines['engine-0']
    await site.add_agent('side-0', engine)
    await asyncio.sleep(2)
    return engine


def publish(site: Site, version: int) -> None:
    """Publish a version of the model's weights."""
    site.store.put('versions', 'm', {'model': 'm', 'version': version})
