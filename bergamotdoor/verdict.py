"""Whether a failed request may have run, and why it failed.

Errors are returned as values: a function that can fail returns its result or
a :class:`Failure`. The verdict is set where the failure occurs. It is never
weakened on the way to the caller, such as from ``MAY_HAVE_RUN`` to ``NOT_RUN``.
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
    """Final outcome of a request for which there is no response.

    Parameters
    ----------
    verdict
        Whether the request may have run.
    reason
        The cause of the failure.
    detail
        One sentence for a person, which names the invalid value.
    retry_after_ms
        The delay before a retry, in milliseconds; ``None`` if a retry of
        the same request can't succeed.
    """

    verdict: Verdict
    reason: Reason
    detail: str = ''
    retry_after_ms: int | None = None
