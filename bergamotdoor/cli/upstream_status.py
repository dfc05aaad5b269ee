"""Readable lines about upstreams, for ``ctl status``."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from bergamotdoor.gateway.inspection import GatewayState
    from bergamotdoor.gateway.upstream_state import UpstreamState

_USUAL_PERCENT: Final = 100


def upstream_lines(entries: Iterable[GatewayState]) -> Iterator[str]:
    """Yield lines about each upstream, over all entries."""
    views: defaultdict[str, list[UpstreamState]] = defaultdict(list)
    for entry in entries:
        for upstream in entry.upstreams:
            views[upstream.upstream].append(upstream)
    yield f'upstreams: {len(views)}'
    for name, known in sorted(views.items()):
        yield f'  {name} ({known[0].service}): {_describe_upstream(known)}'


def _describe_upstream(known: list[UpstreamState]) -> str:
    load = sum(view.in_flight for view in known)
    resting = sum(1 for view in known if view.resting)
    parts = [
        f'{load} in flight',
        f'resting at {resting} of {len(known)} entries',
    ]
    if any(view.draining for view in known):
        parts.append('leaving')
    parts.extend(_load_parts(known))
    parts.extend(
        f'{model} {version}'
        for model, version in sorted(known[0].versions.items())
    )
    return ', '.join(parts)


def _load_parts(known: list[UpstreamState]) -> Iterator[str]:
    """Describe the pace, and what entries told each other, if anything."""
    slowest = max(view.steady_pace_percent for view in known)
    if slowest != _USUAL_PERCENT:
        yield f'takes {slowest} % of the usual time'
    told = max(view.told for view in known)
    if told:
        yield f'up to {told} told by other entries'
    ages = [view.figure_age_s for view in known]
    current = [age for age in ages if age is not None]
    if current:
        yield (
            f'load known at {len(current)} entries, '
            f'up to {max(current):.1f} s old'
        )
