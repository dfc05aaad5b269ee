"""One call of the platform: what is sent and what came of it."""

from __future__ import annotations

import datetime as dt
import enum

import msgspec

from bergamotdoor.http.messages import Headers


class CallKind(enum.Enum):
    """The kinds of call, as they are counted."""

    READ = 'read'
    WRITE = 'write'
    DELETE = 'delete'
    NAMES = 'names'
    WATCH = 'watch'
    VM_LIST = 'vm-list'
    WEIGHTS = 'weights'


class PlatformCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call that may be attempted more than once."""

    kind: CallKind
    method: str
    target: str
    headers: Headers = Headers()
    body: bytes = b''


class Answer(msgspec.Struct, frozen=True):
    """The platform's whole answer."""

    status: int
    headers: Headers
    body: bytes


class Refusal(msgspec.Struct, frozen=True):
    """The call had no effect: it was not sent, or it was refused.

    ``held_back`` tells that this process did not even try, since the
    platform is down or the process's own bounds are reached.
    """

    detail: str
    retry_after: dt.timedelta = dt.timedelta()
    held_back: bool = False


class Doubt(msgspec.Struct, frozen=True):
    """No answer came; the call may have had, or may yet have, its effect."""

    detail: str


Attempt = Answer | Refusal | Doubt
