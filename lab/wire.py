"""What operators and trainers write, as the platform's protocol has it."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

MODEL: Final = 'm'
ENGINES: Final = 'lm'
DESKS: Final = 'desk'
_MODEL_HEADER: Final = 'X-Bergamotdoor-Model'


class JobItem(NamedTuple):
    """One item of a job."""

    item: str
    #: In events.
    length: int
    group: str


def route(
    host: str, prefix: str, kind: str, service: str, **bounds: int
) -> dict[str, Any]:
    """Return a route of a manifest, with its bounds."""
    return {
        'name': prefix,
        'host': host,
        'path_prefix': prefix,
        'kind': kind,
        'service': service,
        **bounds,
    }


def manifest(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a manifest of engines and plain services."""
    return {
        'version': version,
        'routes': routes,
        'services': [{'name': ENGINES}, {'name': DESKS}],
        'limits': {},
    }


def job_body(
    prefix: str, items: Iterable[JobItem], least: int, target_groups: int
) -> bytes:
    """Return a job as a trainer hands it in."""
    job = {
        'step': 1,
        'model': MODEL,
        'min_version': least,
        'target_groups': target_groups,
        'items': [_item(prefix, item) for item in items],
    }
    return json.dumps(job).encode()


def _item(prefix: str, item: JobItem) -> dict[str, Any]:
    return {
        'id': item.item,
        'path': f'{prefix}{item.item}',
        'headers': {_MODEL_HEADER: MODEL},
        'body': base64.b64encode(str(item.length).encode()).decode(),
        'group': item.group,
    }
