"""Steps for bergamotdoor.steps.ownership."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from behave import given, then, when

from bergamotdoor.steps.ownership import OwnershipCheck
from bergamotdoor.stored import Outcome
from lab.model.pausing import Process, run_pausing, start_outside, unwind
from lab.virtual import virtual_clock

if TYPE_CHECKING:
    from bergamotdoor.objects.job_codec import FoundJob

#: The first check of a process, and the time until the second one begins.
SECOND_CHECK_S = 2
RESUME_S = 0.01


class SlowStore:
    """Store of jobs that answers late, or refuses calls."""

    def __init__(self, answer_s: float, found: tuple[FoundJob, ...] | Outcome):
        self._answer_s = answer_s
        self._found = found
        self.asked_at_s: list[float] = []

    async def all_jobs(self, *, stale: bool) -> tuple[FoundJob, ...] | Outcome:
        assert not stale
        loop = asyncio.get_running_loop()
        self.asked_at_s.append(loop.time())
        # The store answers while the process is paused.
        answer = start_outside(asyncio.sleep(self._answer_s))
        await answer
        return self._found


@given('a check of ownership whose store answers after {answer_s:f} s')
def answering_store(context: Any, answer_s: float) -> None:
    context.store = SlowStore(answer_s, ())


@given('a check of ownership whose store refuses calls')
def refusing_store(context: Any) -> None:
    context.store = SlowStore(0, Outcome.NOT_DONE)


@when('its process is paused for {pause_s:f} s')
def pause_process(context: Any, pause_s: float) -> None:
    pause_after(context, SECOND_CHECK_S - 1, pause_s)


@when('its process is paused {after_s:f} s after a request, for {pause_s:f} s')
def pause_in_request(context: Any, after_s: float, pause_s: float) -> None:
    pause_after(context, SECOND_CHECK_S + after_s, pause_s)


def pause_after(context: Any, after_s: float, pause_s: float) -> None:
    """Record at which times after the pause items are suspended."""

    async def scene() -> None:
        check = OwnershipCheck(
            cast('Any', context.store), virtual_clock(), lambda _: None
        )
        process = Process()
        process.start(check.run(lambda: True))
        await asyncio.sleep(after_s)
        assert not check.is_suspended
        process.pause()
        await asyncio.sleep(pause_s)
        process.go_on()
        await asyncio.sleep(RESUME_S)
        context.suspended = {}
        for tenth in range(20):
            context.suspended[tenth / 10] = check.is_suspended
            await asyncio.sleep(0.1)
        process.kill()
        await unwind([process])

    run_pausing(scene())


@then('items are suspended when the process resumes')
def suspended_at_once(context: Any) -> None:
    assert context.suspended[0], context.suspended


@then('items are not suspended {later_s:f} s later')
def not_suspended_later(context: Any, later_s: float) -> None:
    assert not context.suspended[later_s], context.suspended


@then('items are suspended {later_s:f} s later')
def suspended_later(context: Any, later_s: float) -> None:
    assert context.suspended[later_s], context.suspended
