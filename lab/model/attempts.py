"""Attempts of the trainer to submit its job, and what came of each."""

from __future__ import annotations

import contextvars
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.objects.job_names import JOB_KIND
from bergamotdoor.platform import store_paths
from lab.model.promises import Broken, Promise

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.http.messages import HttpRequest, HttpResponse

#: Path of the calls that create a job's record in the store.
JOBS_PATH: Final = store_paths.kind_path(JOB_KIND)
#: Responses which promise that the attempt has no effect, now or later.
_REFUSAL_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)

#: Number of the attempt on behalf of which the running code works. The
#: network carries it from process to process.
current_attempt: Final[contextvars.ContextVar[int | None]] = (
    contextvars.ContextVar('attempt', default=None)
)


class Attempt(msgspec.Struct):
    """One submission of the job at an entry."""

    entry: str
    #: Whether the entry knew the job before it received the submission.
    was_known: bool
    #: Whether no fault was in force any more.
    is_calm: bool
    is_pending: bool = True
    #: Status of the response; ``None`` if the trainer received none.
    status: int | None = None
    #: Whether a call of this attempt created the job's record in the store.
    has_created: bool = False

    @property
    def is_refused(self) -> bool:
        """Whether the trainer was told that the attempt has no effect."""
        return self.status in _REFUSAL_STATUSES


class Attempts:
    """All attempts of one history, in the order in which they began.

    Parameters
    ----------
    broken
        List to which promises are added that the responses break.
    is_stored
        Function that returns whether the job's record is in the store.
    checks_known_refusals
        Whether it breaks a promise that an entry refuses a job that it knows.
        Otherwise such refusals are only counted.
    """

    def __init__(
        self,
        broken: list[Broken],
        is_stored: Callable[[], bool],
        *,
        checks_known_refusals: bool,
    ) -> None:
        self._broken = broken
        self._is_stored = is_stored
        self._checks_known_refusals = checks_known_refusals
        self._attempts: list[Attempt] = []
        #: Signs that the job is stored or runs: items that were started, and
        #: responses with its results or bodies.
        self.signs: list[str] = []

    @property
    def are_pending(self) -> bool:
        """Whether an attempt is still under way."""
        return any(one.is_pending for one in self._attempts)

    @property
    def are_accepted(self) -> bool:
        """Whether an entry has accepted the job."""
        return any(one.status == HTTPStatus.ACCEPTED for one in self._attempts)

    @property
    def are_refused(self) -> bool:
        """Whether the job was refused at each attempt."""
        return bool(self._attempts) and all(
            one.is_refused for one in self._attempts
        )

    @property
    def known_refusals(self) -> int:
        """Number of attempts refused by an entry that knew the job."""
        return sum(one.is_refused and one.was_known for one in self._attempts)

    def begin(self, entry: str, *, was_known: bool, is_calm: bool) -> int:
        """Add an attempt, and return its number."""
        self._attempts.append(Attempt(entry, was_known, is_calm))
        return len(self._attempts) - 1

    def see_answer(self, number: int, status: int | None) -> None:
        """Check the response to an attempt; ``None`` if there was none."""
        attempt = self._attempts[number]
        attempt.is_pending = False
        attempt.status = status
        if not attempt.is_refused:
            return
        if attempt.has_created:
            self._add_broken(Promise.REFUSED, number, 'has created it')
        elif self._is_stored() and (attempt.is_calm or self.are_refused):
            self._add_broken(Promise.REFUSED, number, 'was refused: it exists')
        if attempt.was_known and self._checks_known_refusals:
            self._add_broken(Promise.KNOWN, number, 'was refused')

    def see_store_call(
        self, request: HttpRequest, response: HttpResponse
    ) -> None:
        """Check that no attempt that was refused creates the job."""
        is_creation = request.method == 'POST' and request.target == JOBS_PATH
        if not is_creation or response.status != HTTPStatus.OK:
            return
        number = current_attempt.get()
        assert number is not None
        attempt = self._attempts[number]
        attempt.has_created = True
        if attempt.is_refused:
            self._add_broken(Promise.REFUSED, number, 'creates it afterwards')

    def see_end_of_history(self) -> None:
        """Check that nothing is there if the job was refused each time."""
        if not self.are_refused:
            return
        if self._is_stored():
            self._broken.append(Broken(Promise.REFUSED, 'it is in the store'))
        for sign in self.signs[:1]:
            self._broken.append(Broken(Promise.REFUSED, sign))

    def _add_broken(self, promise: Promise, number: int, detail: str) -> None:
        entry = self._attempts[number].entry
        name = f'attempt {number} at {entry}'
        self._broken.append(Broken(promise, f'{name} {detail}'))
