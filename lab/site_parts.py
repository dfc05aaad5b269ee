"""What a site in virtual time routes, and what its clients get."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from bergamotdoor.http.messages import Headers


class Reply:
    """What a client got."""

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def json(self) -> Any:
        """The body, decoded."""
        return json.loads(self.body)


def routes(host: str) -> list[dict[str, Any]]:
    """Return the routes of a site: one for jobs, two to plain services."""
    jobs = {
        'name': 'roster',
        'host': host,
        'path_prefix': '/roll/',
        'kind': 'rollout',
        'service': 'lm',
        'timeout_ms': 10_000,
        'goal_ms': 400,
        'due_ms': 7500,
        'max_attempts': 3,
    }
    return [
        jobs,
        plain_route(host, '/book/', 'safe', 2),
        plain_route(host, '/once/', 'unsafe', 2),
    ]


def plain_route(
    host: str, prefix: str, kind: str, attempts: int
) -> dict[str, Any]:
    """Return a route to the plain service."""
    return {
        'name': prefix,
        'host': host,
        'path_prefix': prefix,
        'kind': kind,
        'service': 'desk',
        'timeout_ms': 1500,
        'goal_ms': 200,
        'max_attempts': attempts,
    }
