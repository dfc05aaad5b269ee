"""Manifests of a deployment, and when each of them must be in force."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from lab.wire import DESKS, HOST, manifest, route

if TYPE_CHECKING:
    from lab.store import Store

#: Time after its confirmation from which a manifest must be in force.
APPLY_S: Final = 2
#: How many manifests have the route that was added with one of them.
KEPT_ROUTES: Final = 6
_TIMEOUT_MS: Final = 2000


class Confirmed(NamedTuple):
    """A manifest that the store has confirmed."""

    generation: int
    at_s: float


class Manifests:
    """The manifests that the operator has written.

    Each one adds a route and drops an old one, so that a caller sees which
    manifest is in force.

    Parameters
    ----------
    store
        The store to which they are written.
    routes
        The routes that all manifests have.
    generation
        The number of the manifest that the store has; the next is higher.
    """

    def __init__(
        self,
        store: Store,
        routes: list[dict[str, Any]],
        generation: int = 1,
    ) -> None:
        self._store = store
        self._routes = routes
        self.generation = generation
        self._confirmed: list[Confirmed] = []

    def put(self) -> None:
        """Write the next manifest."""
        self.generation += 1
        first = max(self.generation - KEPT_ROUTES + 1, 1)
        added = [
            _added_route(generation)
            for generation in range(first, self.generation + 1)
        ]
        spec = manifest(self.generation, [*self._routes, *added])
        self._store.put('config', 'main', spec)
        now_s = asyncio.get_running_loop().time()
        self._confirmed.append(Confirmed(self.generation, now_s))

    def oldest_allowed(self, at_s: float) -> Confirmed | None:
        """Return the oldest manifest that may be in force at a time.

        Older ones may not: it has been confirmed for so long. ``None`` if
        any may.
        """
        due = [one for one in self._confirmed if one.at_s + APPLY_S <= at_s]
        return due[-1] if due else None


def added_path(generation: int) -> str:
    """Return the path of the route that was added with a manifest."""
    return f'/since-{generation}/'


def _added_route(generation: int) -> dict[str, Any]:
    return route(
        HOST,
        added_path(generation),
        'safe',
        DESKS,
        timeout_ms=_TIMEOUT_MS,
        goal_ms=_TIMEOUT_MS,
        max_attempts=1,
    )
