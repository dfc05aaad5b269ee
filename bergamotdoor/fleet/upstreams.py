"""Upstreams, as their registrations describe them."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING

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

if TYPE_CHECKING:
    from collections.abc import Iterable


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of an engine or a plain service."""

    #: Id of the incarnation; made of the registration and the start.
    upstream: UpstreamId
    #: Name under which the upstream is registered.
    registration: RegistrationId
    service: ServiceId
    address: Address
    zone: ZoneId
    #: Number of requests that it runs concurrently.
    slots: int
    #: Whether it is about to leave and accepts no new requests.
    draining: bool = False
    #: Remaining time for which it is slow after its start, as of its
    #: registration.
    warmup_left: dt.timedelta = dt.timedelta()
    #: The version of each model that it serves; empty for a plain service.
    versions: dict[ModelId, WeightVersion] = {}
    #: Time of its start since the Unix epoch, as the upstream states it; zero
    #: if it states none.
    started: dt.timedelta = dt.timedelta()


def incarnation_id(
    registration: RegistrationId, started: dt.timedelta
) -> UpstreamId:
    """Return the id of one incarnation of an upstream.

    Failure: an upstream restarts under the same name. Symptom: state of the
    previous incarnation (load, speed, cached prompts, failures) is applied to
    the new one. State that is kept under this id belongs to one incarnation
    only.

    Parameters
    ----------
    registration
        Name under which the upstream is registered.
    started
        Time of its start since the Unix epoch; zero if it states none.

    Returns
    -------
    UpstreamId
        The name alone if the start is not stated.
    """
    if not started:
        return UpstreamId(registration)
    return UpstreamId(f'{registration}@{utils.to_ms(started)}')


def serve_several_models(upstreams: Iterable[Upstream]) -> bool:
    """Return whether upstreams are registered with more than one model."""
    return any(len(one.versions) > 1 for one in upstreams)
