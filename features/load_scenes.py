"""A burst of calls at one entry of a site with many entries."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, NamedTuple
from unittest import mock

from bergamotdoor.fleet.choice import select_upstream
from bergamotdoor.types import NodeId
from lab.site import Site, play
from lab.upstreams import Upstream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bergamotdoor.gateway.daemon import GatewayDaemon

ENTRIES = 19
SLOTS = 6
WORK_S = 0.18
#: The first upstream is faster, and chosen first by every entry.
FAST_WORK_S = 0.15
#: Calls per second at all entries together.
USUAL_RATE = 12
#: Calls that arrive together at one entry, and how often they do.
BURST_SIZE = 14
BURST_INTERVAL_S = 0.2
BURST_S = 1.0


class BurstFigures(NamedTuple):
    """What a burst cost, per second."""

    #: Calls of all entries that were not answered with 200.
    errors: float
    #: Attempts that an upstream refused, at the entry of the burst and at the
    #: others.
    refusals: float
    refusals_elsewhere: float
    #: Messages about loads.
    messages: float
    #: Other entries that know of all that the first entry has in flight, 20 ms
    #: after the begin of the first burst.
    knowing: int


def play_burst(seed: int, sharing: bool, two_random: bool) -> BurstFigures:
    """Play a burst at the first entry, and return what it cost.

    Parameters
    ----------
    seed
        The seed of the arrival times.
    sharing
        Whether entries take what others tell them.
    two_random
        Whether an upstream is chosen as the better of two random ones.
    """
    rng = random.Random(seed)

    def choose_of_two(candidates: Any, *others: Any) -> Any:
        known = list(candidates)
        drawn = rng.sample(known, min(2, len(known)))
        return select_upstream(drawn, *others)

    choice: Callable[..., Any] = (
        choose_of_two if two_random else select_upstream
    )

    async def scene(site: Site) -> BurstFigures:
        return await run_burst(site, rng, sharing)

    with (
        mock.patch('bergamotdoor.calls.attempts.select_upstream', choice),
        mock.patch.object(Upstream, 'slots', SLOTS),
        mock.patch.object(Upstream, 'refuses_beyond_slots', True),
    ):
        found: BurstFigures = play(scene)
    return found


async def run_burst(
    site: Site, rng: random.Random, sharing: bool
) -> BurstFigures:
    await site.start(engines=0, services=3, entries=ENTRIES)
    for service in site.services.values():
        service.work_s = WORK_S
    site.services['desk-0'].work_s = FAST_WORK_S
    # Each entry measures the latency of each upstream.
    for name in site.entries:
        await asyncio.gather(
            *(call_at(site, 0, name, f'{name}-{one}') for one in range(9))
        )
    if not sharing:
        for entry in site.entries.values():
            entry._components.peer_service.register(
                entry._context.load_sharing.message_type, lambda _: None
            )
    usual = [
        call_at(
            site, rng.uniform(0, BURST_S), f'entry-{rng.randrange(ENTRIES)}'
        )
        for _ in range(int(USUAL_RATE * BURST_S))
    ]
    bursts = [
        call_at(site, number * BURST_INTERVAL_S, 'entry-0', str(one))
        for number in range(int(BURST_S / BURST_INTERVAL_S))
        for one in range(BURST_SIZE)
    ]
    first = [site.entries['entry-0']]
    others = [one for one in site.entries.values() if one not in first]
    refused_before = [
        count(group, 'call_attempts_failed') for group in (first, others)
    ]
    told_before = count(site.entries.values(), 'loads_told')
    calls = asyncio.gather(*usual, *bursts)
    await asyncio.sleep(0.02)
    sent = requests_in_flight(first[0])
    assert sent > BURST_SIZE / 2, sent
    knowing = sum(told_requests(one) >= sent for one in others)
    statuses = await calls
    errors = sum(status != 200 for status in statuses)
    return BurstFigures(
        errors / BURST_S,
        (count(first, 'call_attempts_failed') - refused_before[0]) / BURST_S,
        (count(others, 'call_attempts_failed') - refused_before[1]) / BURST_S,
        (count(site.entries.values(), 'loads_told') - told_before) / BURST_S,
        knowing,
    )


async def call_at(site: Site, time_s: float, entry: str, name: str = '') -> int:
    """Send a call at a time after the start; return the status."""
    await asyncio.sleep(time_s)
    reply = await site.ask(
        entry, 'GET', '/book/', Request_Id=f'call-{time_s}-{name}'
    )
    return 0 if reply is None else reply.status


def requests_in_flight(listener: GatewayDaemon) -> int:
    """Return how many requests an entry has in flight; others wait."""
    context = listener._context
    return sum(
        context.loads.of(one.upstream).in_flight for one in context.fleet
    )


def told_requests(listener: GatewayDaemon) -> int:
    """Return how many requests the entry of the burst has told an entry of."""
    context = listener._context
    known = (context.loads.of(one.upstream).known for one in context.fleet)
    told = (one._told.get(NodeId('entry-0')) for one in known)
    return sum(one.in_flight for one in told if one is not None)


def count(entries: Iterable[GatewayDaemon], name: str) -> int:
    """Return a counter, summed over entries and services."""
    return sum(
        row.count
        for entry in entries
        for row in entry._context.metrics.snapshot().counters
        if row.name == name
    )
