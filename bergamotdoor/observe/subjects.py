"""What a task works on, as fields of all its log lines.

A task inherits the subject of the code that starts it. A task that serves
several jobs or requests is therefore started without one.
"""

from __future__ import annotations

import contextlib
from contextvars import ContextVar
from typing import TYPE_CHECKING, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Clients choose the ids, so their length is bounded.
_MAX_ID_CHARS: Final = 128


class Subject(msgspec.Struct, frozen=True, kw_only=True):
    """The job or request of a client that is handled."""

    #: Id of the job.
    job: str = ''
    #: Id of the client's request.
    request: str = ''
    #: Why the job or request is handled here.
    action: str = ''
    #: Address of the process whose message is handled.
    peer: str = ''
    #: Number of the caller's attempt at a call of the store.
    attempt: int = 0

    def fields(self) -> Iterator[tuple[str, str | int]]:
        """Return the names and values of the fields that are set."""
        for name in self.__struct_fields__:
            field: str | int = getattr(self, name)
            if field:
                yield name, field


_NO_SUBJECT: Final = Subject()
_current: ContextVar[Subject] = ContextVar('subject', default=_NO_SUBJECT)


def current() -> Subject:
    """Return the subject of the running task."""
    return _current.get()


@contextlib.contextmanager
def about(
    *,
    job: str | None = None,
    request: str | None = None,
    action: str | None = None,
    peer: str | None = None,
    attempt: int | None = None,
) -> Iterator[None]:
    """Set fields of the subject for a block; ``None`` keeps a field.

    Parameters
    ----------
    job, request
        Id of the job, and of the client's request.
    action
        Why the job or request is handled here.
    peer
        Address of the process whose message is handled.
    attempt
        Number of the caller's attempt at a call of the store.
    """
    known = _current.get()
    with _set(
        Subject(
            job=known.job if job is None else job[:_MAX_ID_CHARS],
            request=(
                known.request if request is None else request[:_MAX_ID_CHARS]
            ),
            action=known.action if action is None else action,
            peer=known.peer if peer is None else peer,
            attempt=known.attempt if attempt is None else attempt,
        )
    ):
        yield


@contextlib.contextmanager
def only_about(job: str = '') -> Iterator[None]:
    """Replace the subject for a block, in which tasks are started.

    Parameters
    ----------
    job
        Id of the job for which the tasks run; empty if they serve all.
    """
    with _set(Subject(job=job[:_MAX_ID_CHARS])):
        yield


@contextlib.contextmanager
def _set(subject: Subject) -> Iterator[None]:
    token = _current.set(subject)
    try:
        yield
    finally:
        # An abandoned coroutine is closed in the context of other code.
        with contextlib.suppress(ValueError):
            _current.reset(token)
