"""The upstreams that are registered, by service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from bergamotdoor.types import WeightVersion

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Callable, Iterable, Iterator

    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.settings.document import Address
    from bergamotdoor.types import (
        ModelId,
        RegistrationId,
        ServiceId,
        UpstreamId,
    )

#: Registrations whose last start is remembered after they are gone.
_MOST_STARTS: Final = 4096


class Fleet:
    """Keeps registrations and the weight versions that were seen.

    Parameters
    ----------
    forget
        Called with each incarnation that is gone, by whoever keeps
        something of one.
    """

    def __init__(
        self, forget: Iterable[Callable[[UpstreamId], None]] = ()
    ) -> None:
        self._forget = tuple(forget)
        self._upstreams: dict[UpstreamId, Upstream] = {}
        self._incarnations: dict[RegistrationId, UpstreamId] = {}
        #: The newest start that was seen of a registration.
        self._starts: dict[RegistrationId, dt.timedelta] = {}
        #: Absent from the store, kept until then.
        self._lapsed: dict[RegistrationId, dt.timedelta] = {}
        #: Incarnations that another one answered for.
        self._replaced: dict[RegistrationId, UpstreamId] = {}
        self._seen: dict[tuple[UpstreamId, ModelId], WeightVersion] = {}

    def put(self, upstream: Upstream) -> None:
        """Take a registration, new or changed.

        Failure: an upstream starts again under its name, and what its last
        start wrote reaches the store late. Symptom: requests go to where
        nobody listens, and what was learned of the new start is dropped.
        An entry of an earlier start than the newest seen is left out.
        """
        name = upstream.registration
        if self._replaced.get(name) == upstream.upstream:
            return
        if upstream.started < self._starts.get(name, upstream.started):
            return
        self._note_start(name, upstream.started)
        known = self._incarnations.get(name, upstream.upstream)
        if known != upstream.upstream:
            self._drop(known)
        self._incarnations[name] = upstream.upstream
        self._upstreams[upstream.upstream] = upstream
        self._lapsed.pop(name, None)
        for model, version in upstream.versions.items():
            if version > self.version(upstream.upstream, model):
                self._seen[upstream.upstream, model] = version

    def remove(self, name: RegistrationId) -> None:
        """Drop an upstream that is no longer registered."""
        self._replaced.pop(name, None)
        self._lapsed.pop(name, None)
        known = self._incarnations.pop(name, None)
        if known is not None:
            self._drop(known)

    def replaced(self, upstream: UpstreamId) -> None:
        """Drop an incarnation whose address has another one by now.

        Its registration stays in the store until it lapses, seconds later;
        each request that went there meanwhile would be refused.
        """
        gone = self._upstreams.get(upstream)
        if gone is not None:
            self.remove(gone.registration)
            self._replaced[gone.registration] = upstream

    def lapse(self, name: RegistrationId, until: dt.timedelta) -> None:
        """Keep an upstream whose registration is missing for a while.

        Failure: registrations expire while the store is away. Symptom:
        upon its return all upstreams seem gone for two seconds, and every
        request is refused. Whoever lives registers again within that time;
        who does not is gone.
        """
        if name in self._incarnations:
            self._lapsed.setdefault(name, until)

    def expire(self, now: dt.timedelta) -> None:
        """Drop those that did not register again in time."""
        for name, until in tuple(self._lapsed.items()):
            if now >= until:
                self.remove(name)

    def missing_from(
        self, present: Iterable[RegistrationId]
    ) -> tuple[RegistrationId, ...]:
        """Return those that are kept though not among the present."""
        found = frozenset(present)
        return tuple(name for name in self._incarnations if name not in found)

    def registered(self, name: RegistrationId) -> Upstream | None:
        """Return the upstream that is registered under a name."""
        known = self._incarnations.get(name)
        return None if known is None else self._upstreams[known]

    def of_service(self, service: ServiceId) -> Iterator[Upstream]:
        """Return the upstreams of a service that take new work."""
        return (
            upstream
            for upstream in self._upstreams.values()
            if upstream.service == service and not upstream.draining
        )

    def __iter__(self) -> Iterator[Upstream]:
        """Return all upstreams, draining ones too."""
        return iter(self._upstreams.values())

    def __len__(self) -> int:
        """Return how many are registered."""
        return len(self._upstreams)

    def version(self, upstream: UpstreamId, model: ModelId) -> WeightVersion:
        """Return the version last seen at an engine, 0 if none was."""
        return self._seen.get((upstream, model), WeightVersion(0))

    def loaded(
        self, address: Address, model: ModelId, version: WeightVersion
    ) -> None:
        """Take that the engine at an address has a version."""
        for upstream in self._upstreams.values():
            if upstream.address == address:
                self.saw(upstream.upstream, model, version)

    def saw(
        self, upstream: UpstreamId, model: ModelId, version: WeightVersion
    ) -> None:
        """Take the version that an engine's own answer named."""
        if upstream in self._upstreams:
            self._seen[upstream, model] = version

    def _drop(self, upstream: UpstreamId) -> None:
        gone = self._upstreams.pop(upstream)
        for model in gone.versions:
            self._seen.pop((upstream, model), None)
        for forget in self._forget:
            forget(upstream)

    def _note_start(self, name: RegistrationId, started: dt.timedelta) -> None:
        self._starts.pop(name, None)
        self._starts[name] = started
        if len(self._starts) > _MOST_STARTS:
            self._starts.pop(next(iter(self._starts)))
