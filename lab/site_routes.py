"""Routes of the deployments that run in virtual time."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from lab.wire import DESKS, ENGINES, HOST, route

if TYPE_CHECKING:
    from collections.abc import Mapping

JOB_PATH: Final = '/roll/'
_JOB_BOUNDS: Final[Mapping[str, int]] = MappingProxyType(
    {
        'timeout_ms': 10_000,
        'goal_ms': 400,
        'due_ms': 7500,
        'max_attempts': 3,
    }
)
_CALL_BOUNDS: Final[Mapping[str, int]] = MappingProxyType(
    {'timeout_ms': 1500, 'goal_ms': 200}
)


def plain_route(prefix: str, kind: str, attempts: int) -> dict[str, Any]:
    """Return a route to the plain service."""
    return route(
        HOST, prefix, kind, DESKS, max_attempts=attempts, **_CALL_BOUNDS
    )


def usual_routes() -> list[dict[str, Any]]:
    """Return the routes of a deployment's first manifest."""
    return [
        route(HOST, JOB_PATH, 'rollout', ENGINES, **_JOB_BOUNDS),
        plain_route('/book/', 'safe', 2),
        plain_route('/once/', 'unsafe', 2),
        plain_route('/score/', 'unsafe', 4),
    ]
