"""When an engine takes new weights.

Load pattern: a version is named every few seconds; the next step may run
on it or the one before, and the step after needs it. An engine serves
nothing while it loads, and more than two that load together load more
slowly. So the engines of a service take turns, two at a time, in an order
that each of them works out alone from the list of registrations.
"""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.settings.document import Address

#: Engines that load together without slowing each other down.
AT_ONCE: Final = 2
#: How long a load takes.
_LOAD_TIME_MS: Final = 950
LOAD_TIME: Final = dt.timedelta(milliseconds=_LOAD_TIME_MS)


def turn_delay(
    engines: Iterable[Upstream],
    own: Address,
    at_once: int = AT_ONCE,
    load_time: dt.timedelta = LOAD_TIME,
) -> dt.timedelta:
    """Return how long the engine at `own` waits for its turn."""
    engines = tuple(engines)
    service = next((one.service for one in engines if one.address == own), None)
    order = sorted(
        (one.address.ip, one.address.port)
        for one in engines
        if one.service == service
    )
    if service is None:
        return dt.timedelta()
    place = order.index((own.ip, own.port))
    return place // at_once * load_time
