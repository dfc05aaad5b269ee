"""Helpers for steps: Hypothesis state machines and captured log lines."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING

import hypothesis
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

if TYPE_CHECKING:
    from collections.abc import Iterator


class _MessageCollector(logging.Handler):
    """Handler that keeps the messages of all records."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record.getMessage())


@contextlib.contextmanager
def logged(name: str) -> Iterator[list[str]]:
    """Collect the messages that are logged to a logger in the context.

    Yields
    ------
    list of str
        The messages so far.
    """
    handler = _MessageCollector()
    logger = logging.getLogger(name)
    logger.addHandler(handler)
    try:
        yield handler.lines
    finally:
        logger.removeHandler(handler)


def run_machine(
    machine: type[RuleBasedStateMachine],
    examples: int = 60,
    steps: int = 40,
) -> None:
    """Run a Hypothesis state machine, with the same cases in every run.

    Parameters
    ----------
    machine
        The state machine.
    examples
        The number of sequences of steps.
    steps
        The maximum number of steps in a sequence.
    """
    settings = hypothesis.settings(
        derandomize=True,
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    run_state_machine_as_test(machine, settings=settings)
