"""Whether a request may have run, and why it failed.

Errors travel as values: a function that can fail returns its result or a
:class:`Failure`. The verdict is set where the failure arises and never
made milder on its way to the caller.
"""

from __future__ import annotations

import enum

import msgspec


class Verdict(enum.Enum):
    """Whether a request may have had an effect on its upstream."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    RAN = 'ran'


class Reason(enum.Enum):
    """Why the HTTP server itself refused a request."""

    BAD_REQUEST = 'bad-request'
    BODY_TOO_LARGE = 'body-too-large'
    DEADLINE = 'deadline'
    OVERLOADED = 'overloaded'
    UNSETTLED = 'unsettled'


class Failure(msgspec.Struct, frozen=True, array_like=True):
    """A request's final outcome when there is no answer to give.

    Parameters
    ----------
    verdict
        Whether the request may have run.
    reason
        The machine-readable cause.
    detail
        One sentence for a person; names the offending value.
    retry_after_ms
        When to come back, in milliseconds; ``None`` where retrying the
        same request cannot help.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ''
    retry_after_ms: int | None = None
