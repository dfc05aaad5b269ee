"""Registered upstreams, by service."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.types import WeightVersion

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.settings.document import Address
    from bergamotdoor.types import (
        ModelId,
        RegistrationId,
        ServiceId,
        UpstreamId,
    )

#: Maximum number of names whose newest start is kept. A start is kept after
#: its registration is removed; the least recently updated is evicted first.
_MAX_KNOWN_STARTS: Final = 4096


class Fleet:
    """Registered upstreams and the weight versions that engines have.

    Parameters
    ----------
    on_removal
        Callbacks, each called with the id of every incarnation that is
        removed, so that state kept for it elsewhere can be dropped.
    """

    def __init__(
        self, on_removal: Iterable[Callable[[UpstreamId], None]] = ()
    ) -> None:
        self._removal_callbacks = tuple(on_removal)
        self._upstreams: dict[UpstreamId, Upstream] = {}
        #: The current incarnation under each registered name.
        self._incarnations: dict[RegistrationId, UpstreamId] = {}
        #: The newest start that was registered under each name.
        self._last_starts: dict[RegistrationId, dt.timedelta] = {}
        #: Registrations that are missing from the store, and the monotonic
        #: time until which their upstreams are kept.
        self._lapsed_until: dict[RegistrationId, dt.timedelta] = {}
        #: Incarnations whose address is used by another upstream now.
        self._replaced: dict[RegistrationId, UpstreamId] = {}
        self._versions: dict[tuple[UpstreamId, ModelId], WeightVersion] = {}
        #: The newest version of each model that an engine was about to load.
        self.announced_versions: dict[ModelId, WeightVersion] = {}

    def put(self, upstream: Upstream) -> None:
        """Add an upstream, or update it from a changed registration.

        Failure: an upstream restarts under the same name, and the last
        registration of its previous incarnation reaches the store late.
        Symptom: requests are sent to an address where nothing listens, and
        the state kept for the new incarnation is dropped. A registration is
        therefore ignored if a newer start was registered under its name.
        """
        name = upstream.registration
        if self._replaced.get(name) == upstream.upstream:
            return
        if upstream.started < self._last_starts.get(name, upstream.started):
            return
        self._record_start(name, upstream.started)
        current = self._incarnations.get(name, upstream.upstream)
        if current != upstream.upstream:
            self._drop_incarnation(current)
        self._incarnations[name] = upstream.upstream
        self._upstreams[upstream.upstream] = upstream
        self._lapsed_until.pop(name, None)
        for model, version in upstream.versions.items():
            if version > self.version(upstream.upstream, model):
                self._versions[upstream.upstream, model] = version

    def remove(self, name: RegistrationId) -> None:
        """Remove the upstream under a name that is no longer registered."""
        self._replaced.pop(name, None)
        self._lapsed_until.pop(name, None)
        current = self._incarnations.pop(name, None)
        if current is not None:
            self._drop_incarnation(current)

    def remove_replaced(self, upstream: UpstreamId) -> None:
        """Remove an incarnation whose address is used by another upstream.

        Its registration stays in the store until it expires seconds later,
        and is ignored for that time: each request to that address would be
        refused.
        """
        found = self._upstreams.get(upstream)
        if found is not None:
            self.remove(found.registration)
            self._replaced[found.registration] = upstream

    def keep_missing(self, name: RegistrationId, until: dt.timedelta) -> None:
        """Keep an upstream for a while although its registration is missing.

        Failure: registrations expire while the store is unavailable.
        Symptom: when the store is back, all upstreams appear to be gone for
        two seconds, and every request is refused. A running upstream
        registers again within that time; one that does not is removed at the
        deadline.

        Parameters
        ----------
        name
            The missing registration.
        until
            Monotonic time at which the upstream is removed, unless it has
            registered again. A deadline that is already set stays.
        """
        if name in self._incarnations:
            self._lapsed_until.setdefault(name, until)

    def remove_expired(self, now: dt.timedelta) -> dt.timedelta:
        """Remove upstreams that did not register again before the deadline.

        Parameters
        ----------
        now
            The monotonic time.

        Returns
        -------
        datetime.timedelta
            The time until the next deadline; unlimited if there is none.
        """
        for name, until in tuple(self._lapsed_until.items()):
            if now >= until:
                self.remove(name)
        return min(self._lapsed_until.values(), default=dt.timedelta.max) - now

    def missing_from(
        self, present: Iterable[RegistrationId]
    ) -> tuple[RegistrationId, ...]:
        """Return the names of known upstreams that are not in `present`."""
        listed = frozenset(present)
        return tuple(name for name in self._incarnations if name not in listed)

    def find_registered(self, name: RegistrationId) -> Upstream | None:
        """Return the upstream under a name, ``None`` if there is none."""
        current = self._incarnations.get(name)
        return None if current is None else self._upstreams[current]

    def of_service(self, service: ServiceId) -> Iterator[Upstream]:
        """Return the upstreams of a service that accept new requests."""
        return (
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service and not upstream.draining
        )

    def __iter__(self) -> Iterator[Upstream]:
        """Return all upstreams, including those that drain."""
        return iter(self._upstreams.values())

    def __len__(self) -> int:
        """Return the number of upstreams, including those that drain."""
        return len(self._upstreams)

    def version(self, upstream: UpstreamId, model: ModelId) -> WeightVersion:
        """Return the known version of a model at an engine, 0 if unknown."""
        return self._versions.get((upstream, model), WeightVersion(0))

    def record_version_at(
        self, address: Address, model: ModelId, version: WeightVersion
    ) -> None:
        """Record the version that the engine at an address has loaded."""
        for upstream in self._upstreams.values():
            if upstream.address == address:
                self.record_version(upstream.upstream, model, version)

    def record_version(
        self, upstream: UpstreamId, model: ModelId, version: WeightVersion
    ) -> None:
        """Record the version that an engine stated in a response."""
        if upstream in self._upstreams:
            self._versions[upstream, model] = version

    def _drop_incarnation(self, upstream: UpstreamId) -> None:
        removed = self._upstreams.pop(upstream)
        for model in removed.versions:
            self._versions.pop((upstream, model), None)
        for callback in self._removal_callbacks:
            callback(upstream)

    def _record_start(
        self, name: RegistrationId, started: dt.timedelta
    ) -> None:
        self._last_starts.pop(name, None)
        self._last_starts[name] = started
        if len(self._last_starts) > _MAX_KNOWN_STARTS:
            self._last_starts.pop(next(iter(self._last_starts)))
