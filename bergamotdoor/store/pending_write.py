"""Decides what a conditional write's answers mean, lost ones included.

A write without an answer may have landed, may be on its way, or may be
lost. Three things make it safe to find out by reading and repeating:

- Each write carries a nonce of its own and the platform keeps it with the
  version. Our nonce read back proves that the write landed.
- Versions never go back. Once the version is seen to differ from the
  expected one, no copy of the write can land any more; while they are
  equal no copy has landed, and a repeat is the same write again.
- Another's nonce does not prove a conflict: ours may have landed and been
  overwritten since. Only a first attempt's own answer proves it, so
  everything else is reported as UNKNOWN.

An object that is expected to be ABSENT is the exception to "never go
back": after a delete it is absent again, and a copy that comes late would
create it anew. So objects are deleted only when older than any write may
take (see docs/design/platform.md).
"""

from __future__ import annotations

import enum
from http import HTTPStatus
from typing import TYPE_CHECKING

from bergamotdoor.store.attempts import Answer, Refusal
from bergamotdoor.store.object_calls import NONCE_HEADER, version_of
from bergamotdoor.store.protocols import (
    StoredObject,
    StoreFailure,
    StoreProblem,
)
from bergamotdoor.types import ABSENT

if TYPE_CHECKING:
    from bergamotdoor.store.attempts import Attempt
    from bergamotdoor.store.object_calls import WriteOrder
    from bergamotdoor.types import ObjectVersion


class NextStep(enum.Enum):
    """What to do to finish a write."""

    #: Send the write, for the first time or again.
    SEND = 'send'
    #: Read the object to see whether the write landed.
    READ_BACK = 'read-back'


Decision = NextStep | StoredObject | StoreFailure


class PendingWrite:
    """One write until its outcome is certain or the time is up.

    Parameters
    ----------
    order
        What to write; a repeat sends the very same.
    """

    def __init__(self, order: WriteOrder) -> None:
        self.order = order
        #: Whether an earlier attempt may have landed or may yet land.
        self.in_doubt = False
        self._detail = 'no attempt was made'

    def answered(self, attempt: Attempt) -> Decision:
        """Judge the outcome of sending the write."""
        if isinstance(attempt, Answer):
            return self._judge(attempt)
        self._detail = attempt.detail
        if isinstance(attempt, Refusal):
            return NextStep.READ_BACK if self.in_doubt else NextStep.SEND
        self.in_doubt = True
        return NextStep.READ_BACK

    def read_back(self, attempt: Attempt) -> Decision:
        """Judge what reading the object back showed."""
        assert self.in_doubt, 'read back a write that is not in doubt'
        if not isinstance(attempt, Answer):
            self._detail = attempt.detail
            return NextStep.READ_BACK
        if attempt.status == HTTPStatus.OK:
            return self._judge_found(attempt)
        if attempt.status == HTTPStatus.NOT_FOUND:
            return self._judge_version(ABSENT)
        return self._unclear(f'reading back got {attempt.status}')

    def timed_out(self) -> StoreFailure:
        """Return the outcome when the time is up."""
        problem = StoreProblem.UNAVAILABLE
        if self.in_doubt:
            problem = StoreProblem.UNKNOWN
        return self._failure(problem, self._detail)

    def _judge(self, answer: Answer) -> Decision:
        if answer.status == HTTPStatus.OK:
            return self._done(answer)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            return self._refused(StoreProblem.CONFLICT, answer)
        if answer.status == HTTPStatus.NOT_FOUND:
            return self._refused(StoreProblem.NOT_FOUND, answer)
        if self.in_doubt:
            return self._unclear(f'repeating got {answer.status}')
        return self._failure(
            StoreProblem.UNAVAILABLE, f'the platform answered {answer.status}'
        )

    def _refused(self, problem: StoreProblem, answer: Answer) -> Decision:
        if self.in_doubt:
            # An earlier copy of this very write may be why.
            return NextStep.READ_BACK
        version = version_of(answer)
        expected = self.order.expected
        return self._failure(problem, f'version {version}, not {expected}')

    def _judge_found(self, answer: Answer) -> Decision:
        is_write = self.order.body is not None
        if is_write and answer.headers.first(NONCE_HEADER) == self.order.nonce:
            return self._done(answer)
        return self._judge_version(version_of(answer))

    def _judge_version(self, version: ObjectVersion) -> Decision:
        if version == self.order.expected:
            return NextStep.SEND
        return self._unclear(f'version {version} is from another write')

    def _done(self, answer: Answer) -> Decision:
        order = self.order
        if order.body is None:
            return StoredObject(order.kind, order.name, order.expected, b'')
        version = version_of(answer)
        if version > order.expected:
            return StoredObject(order.kind, order.name, version, order.body)
        # Something in between answered 200 without having asked.
        self.in_doubt = True
        return NextStep.READ_BACK

    def _unclear(self, detail: str) -> StoreFailure:
        return self._failure(StoreProblem.UNKNOWN, detail)

    def _failure(self, problem: StoreProblem, detail: str) -> StoreFailure:
        kind, name = self.order.kind, self.order.name
        return StoreFailure(problem, f'{kind}/{name}: {detail}')
