"""Helpers for scenarios with requests that crash upstreams."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any, NamedTuple

from lab.upstreams import register

if TYPE_CHECKING:
    from lab.site import Site

CRASHING = '/book/crashing'


class CrashPlan:
    """A scenario on a site where one request crashes each upstream.

    Parameters
    ----------
    entries
        Number of entry processes.
    services
        Number of plain services.

    Attributes
    ----------
    engines
        Number of engines.
    act
        Coroutine function that gets the started site; its result is returned.
    """

    def __init__(self, entries: int, services: int = 3) -> None:
        self.entries = entries
        self.services = services
        self.engines = 0
        self.act: Any = None

    async def __call__(self, site: Site) -> Any:
        await site.start(self.engines, self.services, self.entries)
        for upstream in (*site.services.values(), *site.engines.values()):
            upstream.crashes.targets.add(CRASHING)
            upstream.crashes.started_again = functools.partial(
                register, site.store, upstream
            )
        return await self.act(site)


async def send_crashing_request(site: Site, entry: str, request: str) -> Any:
    """Send the request that crashes upstreams, and return the response."""
    return await site.ask(
        entry, 'POST', CRASHING, b'x', Request_Id=request, Deadline_Ms='1500'
    )


def count_crashes(site: Site) -> int:
    """Return how often the plain services have crashed in all."""
    return sum(one.crashes.count for one in site.services.values())


class TimedResponse(NamedTuple):
    """Response to a request, and the time until it arrived."""

    status: int
    retry_after_s: float
    took_s: float


async def time_crashing_request(
    site: Site, entry: str, request: str
) -> TimedResponse:
    """Send the request that crashes upstreams, and time the response."""
    began = site.clock.elapsed()
    response = await send_crashing_request(site, entry, request)
    took_s = (site.clock.elapsed() - began).total_seconds()
    retry_after = response.headers.first('retry-after', '0')
    return TimedResponse(response.status, float(retry_after), took_s)


async def send_slow_request(site: Site, number: int, index: int) -> int:
    """Send a slow, harmless request; return its status, 0 if unanswered.

    Parameters
    ----------
    site
        The site.
    number, index
        Two numbers that identify the request.
    """
    response = await site.ask(
        'entry-0',
        'POST',
        f'/book/slow-{number}-{index}',
        b'x',
        Request_Id=f'slow-{number}-{index}',
    )
    return 0 if response is None else response.status
