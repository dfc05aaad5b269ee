"""Runs Hypothesis machines from steps, and coroutines in virtual time."""

from __future__ import annotations

import hypothesis
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test


def run_machine(
    machine: type[RuleBasedStateMachine],
    examples: int = 60,
    steps: int = 40,
) -> None:
    """Run a Hypothesis machine, the same cases every time."""
    settings = hypothesis.settings(
        derandomize=True,
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    run_state_machine_as_test(machine, settings=settings)
