"""Readable lines about the capacity plans of services."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bergamotdoor.gateway.inspection import GatewayState
    from bergamotdoor.steps.planned_service import PlanState


def plan_lines(entries: list[GatewayState]) -> Iterator[str]:
    """List the plans at the entries that have been told demands lately."""
    plans = [plan for entry in entries for plan in entry.plans]
    for plan in plans:
        if plan.demands:
            yield f'plan of {plan.service}: {_describe_plan(plan)}'
            yield from (
                f'  {model}: {demand.events_s:.1f} events/s, '
                f'told {demand.age_s:.1f} s ago'
                for model, demand in sorted(plan.demands.items())
            )


def _describe_plan(plan: PlanState) -> str:
    if plan.revision is None:
        return 'none, or not known'
    counts = ', '.join(
        f'{model} {count}' for model, count in sorted(plan.engines.items())
    )
    return f'engines {counts}, revision {plan.revision}'
