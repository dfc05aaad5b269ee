"""Manifests and jobs in the format of the platform's protocol."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

MODEL: Final = 'm'
HOST: Final = 'train.example'
ENGINES: Final = 'lm'
DESKS: Final = 'desk'
_MODEL_HEADER: Final = 'X-Bergamotdoor-Model'
_HINT_HEADER: Final = 'X-Bergamotdoor-Length-Hint'
#: The number of tokens in an event that an engine of the lab generates.
_TOKENS_PER_EVENT: Final = 58


class JobItem(NamedTuple):
    """One item of a job."""

    item: str
    #: The number of events.
    length: int
    group: str
    #: The path at which its text is scored; empty if it is not scored.
    score_path: str = ''
    #: The length that the trainer expects, in events; 0 for no hint.
    hint: int = 0


def route(
    host: str, prefix: str, kind: str, service: str, **bounds: int
) -> dict[str, Any]:
    """Return a route of a manifest with its bounds."""
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
    """Return the body of a job as a trainer submits it.

    Parameters
    ----------
    prefix
        The prefix of the items' paths.
    items
        The items; their score calls are sent to the job's host.
    least
        The least version of the weights that may generate the texts.
    target_groups
        The number of complete groups that the trainer waits for.
    """
    job = {
        'step': 1,
        'model': MODEL,
        'min_version': least,
        'target_groups': target_groups,
        'items': [_item_entry(prefix, item) for item in items],
    }
    return json.dumps(job).encode()


def score_id(item: str) -> str:
    """Return the id of the call that scores an item."""
    return f'score-{item}'


def _item_entry(prefix: str, item: JobItem) -> dict[str, Any]:
    written: dict[str, Any] = {
        'id': item.item,
        'path': f'{prefix}{item.item}',
        'headers': {_MODEL_HEADER: MODEL},
        'body': _base64(str(item.length)),
        'group': item.group,
    }
    if item.hint:
        written['headers'][_HINT_HEADER] = str(item.hint * _TOKENS_PER_EVENT)
    if item.score_path:
        written['scorer_url'] = {
            'id': score_id(item.item),
            'host': HOST,
            'path': item.score_path,
            'body': _base64(f'score {item.item}'),
        }
    return written


def _base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()
