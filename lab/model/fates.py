"""What may become of a call between the processes of a history."""

from __future__ import annotations

import enum
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING, Final, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping


class Fate(enum.Enum):
    """Fate of a call: done without a fault, or with one of the faults."""

    DONE = 'done'
    #: The server does not receive the request.
    LOST = 'lost before it was done'
    #: The call is done, but its response is lost.
    UNANSWERED = 'done, and its answer lost'
    #: The caller gets no response, and the call is done seconds later.
    LATE = 'done two seconds later, unanswered'
    #: The call is done and answered, and done again seconds later.
    TWICE = 'done, and again two seconds later'
    #: The call is done and answered after a delay.
    SLOW = 'done after a while'
    #: The call is answered with 503 and not done.
    REFUSED = 'refused'
    #: The call is answered with 429 and not done.
    LIMITED = 'refused with 429'
    #: The call is done, and its connection stays open without a response.
    SILENT = 'done, and never answered'
    #: Nothing listens at the address.
    UNREACHABLE = 'not sent, since nothing listens'
    #: The store rejects all calls from this one on.
    REFUSED_DOWN = 'refused, as are all others from then on'
    UNANSWERED_DOWN = 'done, its answer lost, and all others refused'
    SILENT_DOWN = 'done, never answered, and all others refused'
    LATE_DOWN = 'done two seconds later, and all others refused'
    #: Nothing listens at the store's address after this call.
    UNANSWERED_GONE = 'done, its answer lost, and nothing listens then'


class Outage(NamedTuple):
    """Outage of the store that begins with a call."""

    #: What becomes of this call.
    fate: Fate
    #: What becomes of all other calls to the store.
    others: Fate


#: Outages by the fate that begins them.
OUTAGES: Final[Mapping[Fate, Outage]] = MappingProxyType(
    {
        Fate.REFUSED_DOWN: Outage(Fate.REFUSED, Fate.REFUSED),
        Fate.UNANSWERED_DOWN: Outage(Fate.UNANSWERED, Fate.REFUSED),
        Fate.SILENT_DOWN: Outage(Fate.SILENT, Fate.REFUSED),
        Fate.LATE_DOWN: Outage(Fate.LATE, Fate.REFUSED),
        Fate.UNANSWERED_GONE: Outage(Fate.UNANSWERED, Fate.UNREACHABLE),
    }
)
#: Status of the response to calls that are rejected.
REJECTIONS: Final[Mapping[Fate, HTTPStatus]] = MappingProxyType(
    {
        Fate.REFUSED: HTTPStatus.SERVICE_UNAVAILABLE,
        Fate.LIMITED: HTTPStatus.TOO_MANY_REQUESTS,
    }
)
