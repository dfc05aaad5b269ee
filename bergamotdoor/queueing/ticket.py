"""A call that waits in a queue, and why it is refused."""

from __future__ import annotations

import datetime as dt
import enum
from collections.abc import Callable

import msgspec

from bergamotdoor.types import AccountId


class RoomUse(enum.Enum):
    """What a waiting call did when it was told that there is room."""

    #: It was sent and leaves the queue.
    SENT = 'sent'
    #: It cannot be sent any more and leaves the queue.
    ENDED = 'ended'
    #: No upstream that may get it has room; it goes on waiting.
    NO_ROOM = 'no room'


class RefusalReason(enum.Enum):
    """Reason for which a call is refused by the queue."""

    FULL = 'the queue is full'
    LATE = 'no room in time'
    NO_UPSTREAM = 'no upstream'


class QueueRefusal(msgspec.Struct, frozen=True):
    """Refusal of a call that waits, or would have to."""

    reason: RefusalReason
    #: Number of calls in the queue.
    queue_length: int
    #: Forecast wait of the call.
    wait: dt.timedelta
    #: Time that was left until the call had to be sent.
    time_left: dt.timedelta
    #: Forecast time until all calls of the queue have left it.
    drain_time: dt.timedelta


class Ticket(msgspec.Struct, eq=False):
    """Place of one call in the queue of its service."""

    account: AccountId
    #: 0 is the highest priority.
    priority: int
    #: Sends the call if an upstream has room for it.
    on_room: Callable[[], RoomUse]
    #: Called if the call is refused, after it was removed from the queue.
    on_refusal: Callable[[QueueRefusal], None]
    #: Monotonic time by which the call must be sent, to be answered in time.
    send_by: dt.timedelta = dt.timedelta.max
    #: Order of arrival; 0 before the call first enters the queue.
    number: int = 0
    #: Virtual finish time; ``None`` until the call is first sent.
    finish: int | None = None
    #: Whether the call may be sent to any upstream of the service.
    is_fresh: bool = True
