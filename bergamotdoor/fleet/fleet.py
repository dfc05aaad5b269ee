"""The upstreams that are registered, by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor.types import WeightVersion

if TYPE_CHECKING:
    import datetime as dt
    from collections.abc import Iterable, Iterator

    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.settings.document import Address
    from bergamotdoor.types import ModelId, ServiceId, UpstreamId


class Fleet:
    """Keeps registrations and the weight versions that were seen."""

    def __init__(self) -> None:
        self._upstreams: dict[UpstreamId, Upstream] = {}
        #: Absent from the store, kept until then.
        self._lapsed: dict[UpstreamId, dt.timedelta] = {}
        #: Incarnations that another one answered for.
        self._replaced: set[UpstreamId] = set()
        self._seen: dict[tuple[UpstreamId, ModelId], WeightVersion] = {}

    def put(self, upstream: Upstream) -> None:
        """Take a registration, new or changed."""
        if upstream.upstream in self._replaced:
            return
        self._upstreams[upstream.upstream] = upstream
        self._lapsed.pop(upstream.upstream, None)
        for model, version in upstream.versions.items():
            if version > self.version(upstream.upstream, model):
                self._seen[upstream.upstream, model] = version

    def remove(self, upstream: UpstreamId) -> None:
        """Drop an upstream that is no longer registered."""
        self._replaced.discard(upstream)
        gone = self._upstreams.pop(upstream, None)
        self._lapsed.pop(upstream, None)
        if gone is not None:
            for model in gone.versions:
                self._seen.pop((upstream, model), None)

    def replaced(self, upstream: UpstreamId) -> None:
        """Drop an incarnation whose address has another one by now.

        Its registration stays in the store until it lapses, seconds later;
        each request that went there meanwhile would be refused.
        """
        self.remove(upstream)
        self._replaced.add(upstream)

    def lapse(self, upstream: UpstreamId, until: dt.timedelta) -> None:
        """Keep an upstream whose registration is missing for a while.

        Failure: registrations expire while the store is away. Symptom:
        upon its return all upstreams seem gone for two seconds, and every
        request is refused. Whoever lives registers again within that time;
        who does not is gone.
        """
        if upstream in self._upstreams:
            self._lapsed.setdefault(upstream, until)

    def expire(self, now: dt.timedelta) -> None:
        """Drop those that did not register again in time."""
        for upstream, until in tuple(self._lapsed.items()):
            if now >= until:
                self.remove(upstream)

    def missing_from(
        self, present: Iterable[UpstreamId]
    ) -> tuple[UpstreamId, ...]:
        """Return those that are kept though not among the present."""
        found = frozenset(present)
        return tuple(name for name in self._upstreams if name not in found)

    def get(self, upstream: UpstreamId) -> Upstream | None:
        """Return one upstream."""
        return self._upstreams.get(upstream)

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
