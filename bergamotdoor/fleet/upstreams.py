"""What is known of the upstreams from their registrations."""

from __future__ import annotations

import datetime as dt

import msgspec

from bergamotdoor import utils
from bergamotdoor.settings.document import Address
from bergamotdoor.types import (
    ModelId,
    RegistrationId,
    ServiceId,
    UpstreamId,
    WeightVersion,
    ZoneId,
)


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of an engine or a plain service."""

    #: Names the incarnation, see ``incarnation``.
    upstream: UpstreamId
    registration: RegistrationId
    service: ServiceId
    address: Address
    zone: ZoneId
    #: Requests that it runs at once.
    slots: int
    #: It leaves soon and takes no new work.
    draining: bool = False
    #: How much longer it stays slow after its start, when registered.
    cold: dt.timedelta = dt.timedelta()
    #: The version of each model it serves; empty for a plain service.
    versions: dict[ModelId, WeightVersion] = {}
    #: When it started, by its own word; zero where it does not tell.
    started: dt.timedelta = dt.timedelta()


def incarnation(
    registration: RegistrationId, started: dt.timedelta
) -> UpstreamId:
    """Return the name of one start of an upstream.

    Failure: an upstream starts again under the name that it had. Symptom:
    what was known of it (its load, its pace, prompts that it had cached,
    that it failed) is taken for true of one that has just begun. Whatever
    is kept under this name is of one start only.
    """
    if not started:
        return UpstreamId(registration)
    return UpstreamId(f'{registration}@{utils.to_ms(started)}')
