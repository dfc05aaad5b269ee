"""Attempts of one operation: until a deadline, with pauses in between."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.store.attempts import Answer, Doubt, Refusal

if TYPE_CHECKING:
    import random

    from bergamotdoor.store.attempts import Attempt, PlatformCall
    from bergamotdoor.store.calls import PlatformCalls

#: The longest pause after the first failed attempt; doubles with each.
_LAST_PAUSE: Final = dt.timedelta(seconds=1)
_FIRST_PAUSE: Final = dt.timedelta(seconds=0.1)
#: An attempt may take this share of the time left, so that an answer
#: that never comes leaves time to find out what happened.
_ATTEMPT_SHARE: Final = 0.5
_SHORTEST_ATTEMPT: Final = dt.timedelta(seconds=0.1)
#: Answers that contradict each other must not spin until the deadline.
_MOST_ATTEMPTS: Final = 10


class Attempts:
    """The attempts of one operation.

    Parameters
    ----------
    calls
        Makes each attempt.
    rng
        Draws the pauses.
    timeout
        Bounds the operation as a whole.
    """

    def __init__(
        self, calls: PlatformCalls, rng: random.Random, timeout: dt.timedelta
    ) -> None:
        self._calls = calls
        self._rng = rng
        self._deadline = calls.clock.elapsed() + timeout
        self._pause = _FIRST_PAUSE
        self._last: Attempt | None = None
        self._made = 0
        calls.guard.begin()

    async def make(self, call: PlatformCall) -> Attempt:
        """Make one attempt within a share of the time that is left."""
        timeout = max(self._left() * _ATTEMPT_SHARE, _SHORTEST_ATTEMPT)
        self._made += 1
        self._last = await self._calls.attempt(
            call, timeout, repeated=self._made > 1
        )
        return self._last

    async def until_answered(self, call: PlatformCall) -> Attempt:
        """Repeat an idempotent call until it is answered or time is up.

        A doubt about any attempt outweighs a later refusal.
        """
        outcome: Attempt = Refusal('no time for an attempt')
        while await self.may_go_on():
            attempt = await self.make(call)
            if isinstance(attempt, Answer):
                return attempt
            if not isinstance(outcome, Doubt):
                outcome = attempt
        return outcome

    async def may_go_on(self) -> bool:
        """Pause if the last attempt failed; False once it is time to end.

        Failed attempts draw on the process's budget of repeats. While
        this process holds its calls back, the operation ends at once:
        waiting would only tie up its caller.
        """
        if self._made >= _MOST_ATTEMPTS:
            return False
        if self._last is None or isinstance(self._last, Answer):
            return self._left() > dt.timedelta()
        if isinstance(self._last, Refusal) and self._last.held_back:
            return False
        pause = self._next_pause(self._last)
        if pause >= self._left() or not self._calls.guard.may_repeat():
            return False
        await self._calls.clock.sleep(pause)
        return True

    def _left(self) -> dt.timedelta:
        return self._deadline - self._calls.clock.elapsed()

    def _next_pause(self, last: Attempt) -> dt.timedelta:
        # Full jitter spreads what failed at one moment.
        pause = self._rng.random() * self._pause
        self._pause = min(self._pause * 2, _LAST_PAUSE)
        if isinstance(last, Refusal):
            return pause + last.retry_after
        return pause
