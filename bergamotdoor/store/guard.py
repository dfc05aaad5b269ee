"""Keeps a process from storming the platform while it is down.

Failure: the platform goes down or slow and every part of every process
tries again. Symptom: the calls pile up, and when the platform comes back
the repeats keep it down. The circuit lets one probe through at a time
after a few failures in a row, repeats are a share of first attempts, and
both the calls per second and the calls in flight are bounded; so the most
that a process can add is known beforehand, whatever its parts do.
"""

from __future__ import annotations

import collections
import datetime as dt
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.store.attempts import CallKind, Refusal

if TYPE_CHECKING:
    import random

_SECOND: Final = dt.timedelta(seconds=1)
_FIRST_PROBE: Final = _SECOND / 4
_LAST_PROBE: Final = _SECOND * 2


class GuardLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What one process may ask of the platform.

    Parameters
    ----------
    calls_per_second
        More than the platform as a whole takes makes no sense.
    in_flight
        Calls without an answer yet; a watch doesn't count.
    retry_ratio
        Repeats as a share of first attempts.
    retry_reserve
        Repeats that may be saved up.
    open_after
        So many failures in a row open the circuit.
    first_probe, last_probe
        The longest pause before the first probe; it doubles with each
        probe that fails, up to the last.
    """

    calls_per_second: int = 400
    in_flight: int = 64
    retry_ratio: float = 0.2
    retry_reserve: float = 10
    open_after: int = 5
    first_probe: dt.timedelta = _FIRST_PROBE
    last_probe: dt.timedelta = _LAST_PROBE


class GuardState(msgspec.Struct, frozen=True):
    """The guard as a state dump shows it; all but ``open`` are counts."""

    calls: dict[str, int]
    failures_in_row: int
    held_back: int
    in_flight: int
    open: bool


class CallGuard:
    """Decides which calls are made; reads no clock and does no I/O."""

    def __init__(
        self, rng: random.Random, limits: GuardLimits | None = None
    ) -> None:
        self.limits = limits or GuardLimits()
        self.calls: collections.Counter[CallKind] = collections.Counter()
        self._circuit = _Circuit(self.limits, rng)
        self._bucket = _Bucket(self.limits.calls_per_second)
        self._retries = self.limits.retry_reserve
        self._in_flight = 0
        self._held_back = 0

    @property
    def state(self) -> GuardState:
        """A snapshot for state dumps."""
        return GuardState(
            calls={kind.value: count for kind, count in self.calls.items()},
            failures_in_row=self._circuit.failures,
            held_back=self._held_back,
            in_flight=self._in_flight,
            open=self._circuit.is_open,
        )

    def enter(self, kind: CallKind, now: dt.timedelta) -> Refusal | None:
        """Allow a call, or say why it is held back.

        Each allowed call must be followed by :meth:`leave`.
        """
        refusal = self._refusal(kind, now)
        if refusal is not None:
            self._held_back += 1
            return refusal
        self.calls[kind] += 1
        if kind is not CallKind.WATCH:
            self._in_flight += 1
        return None

    def leave(self, kind: CallKind) -> None:
        """Note that a call is no longer in flight."""
        if kind is not CallKind.WATCH:
            self._in_flight -= 1
        assert self._in_flight >= 0, 'left more calls than entered'

    def worked(self) -> None:
        """Note that the platform answered."""
        self._circuit.close()

    def failed(self, now: dt.timedelta) -> None:
        """Note that the platform can't be reached or is down."""
        self._circuit.failed(now)

    def begin(self) -> None:
        """Note a first attempt, which earns a share of a repeat."""
        self._retries = min(
            self._retries + self.limits.retry_ratio,
            self.limits.retry_reserve,
        )

    def may_repeat(self) -> bool:
        """Take one repeat from the budget, if there is one."""
        if self._retries < 1:
            return False
        self._retries -= 1
        return True

    def _refusal(self, kind: CallKind, now: dt.timedelta) -> Refusal | None:
        full = self._in_flight >= self.limits.in_flight
        if full and kind is not CallKind.WATCH:
            detail = f'{self._in_flight} calls wait for an answer already'
            return Refusal(detail, self.limits.first_probe, held_back=True)
        wait = self._circuit.wait(now)
        if wait > dt.timedelta():
            failures = self._circuit.failures
            detail = f'the platform failed {failures} times in a row'
            return Refusal(detail, wait, held_back=True)
        if not self._bucket.take(now):
            rate = self.limits.calls_per_second
            detail = f'above {rate} calls a second'
            return Refusal(detail, self.limits.first_probe, held_back=True)
        self._circuit.pass_through(now)
        return None


class _Circuit:
    """Open after failures in a row; then one probe at a time passes."""

    def __init__(self, limits: GuardLimits, rng: random.Random) -> None:
        self.failures = 0
        self._limits = limits
        self._rng = rng
        self._probe_at = dt.timedelta()
        self._longest_pause = limits.first_probe

    @property
    def is_open(self) -> bool:
        return self.failures >= self._limits.open_after

    def wait(self, now: dt.timedelta) -> dt.timedelta:
        """Return how long until a call may pass; zero if it may now."""
        if not self.is_open:
            return dt.timedelta()
        return max(self._probe_at - now, dt.timedelta())

    def pass_through(self, now: dt.timedelta) -> None:
        """Note a call; a probe holds back the others while it runs."""
        if self.is_open:
            self._probe_at = now + self._limits.last_probe

    def failed(self, now: dt.timedelta) -> None:
        self.failures += 1
        if self.is_open:
            # Full jitter: the fleet lost the platform at one moment and
            # must not come back to it at one moment.
            self._probe_at = now + self._rng.random() * self._longest_pause
            self._longest_pause = min(
                self._longest_pause * 2, self._limits.last_probe
            )

    def close(self) -> None:
        self.failures = 0
        self._longest_pause = self._limits.first_probe


class _Bucket:
    """A token bucket of one second's worth of calls."""

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._tokens: float = per_second
        self._filled_at = dt.timedelta()

    def take(self, now: dt.timedelta) -> bool:
        gained = (now - self._filled_at) / _SECOND * self._per_second
        self._tokens = min(self._tokens + gained, self._per_second)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
