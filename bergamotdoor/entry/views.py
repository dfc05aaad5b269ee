"""What a process keeps of the manifest and of the upstreams."""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final, NamedTuple

from bergamotdoor.calls.manifest import RouteKind
from bergamotdoor.entry.startup import Knowledge, Startup
from bergamotdoor.objects.reader import ObjectReader
from bergamotdoor.platform.engines import parse_upstream
from bergamotdoor.platform.headers import MANIFEST_NAME
from bergamotdoor.platform.manifest import parse_manifest
from bergamotdoor.types import RegistrationId, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.calls.manifest import Manifest, Route
    from bergamotdoor.clock import Clock
    from bergamotdoor.fleet.fleet import Fleet
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.stored import Change, Listing, StoredObject

#: After the store's return, living upstreams register again within two
#: seconds.
_REGISTER_AGAIN_S: Final = 2.5
_REGISTER_AGAIN: Final = dt.timedelta(seconds=_REGISTER_AGAIN_S)

_log = logging.getLogger('bergamotdoor.gateway')


class ManifestView:
    """The manifest in force in this process; never goes back.

    Parameters
    ----------
    on_change
        Called after each new one.
    startup
        Told once there is one.
    """

    def __init__(
        self, on_change: Callable[[], None], startup: Startup | None = None
    ) -> None:
        self._startup = startup or Startup()
        self.manifest: Manifest | None = None
        #: When it was known to be current, in time since the machine's start.
        self.proven_at: dt.timedelta | None = None
        #: Whether a written manifest could not be read.
        self._behind = False
        self._reader = ObjectReader(_log, 'gateway')
        self._on_change = on_change

    def batch_route(self, spec: JobSpec) -> Route | None:
        """Return the route of a batch job by the manifest in force."""
        if self.manifest is None:
            return None
        route = self.manifest.match(spec.host, spec.path)
        if route is None or route.kind is not RouteKind.BATCH:
            return None
        return route

    def reset(self, listing: Listing) -> None:
        """Take the listed manifest."""
        for stored in listing.objects:
            self._take(stored)

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Take each manifest that was written."""
        for change in changes:
            if not change.removed:
                self._take(change.stored)

    def interrupted(self) -> None:
        """Keep the manifest: it stays in force without the store."""

    def prove(self, proven_at: dt.timedelta) -> None:
        """Take that all that was written until a moment is known."""
        if self._behind:
            return
        known = self.proven_at
        self.proven_at = proven_at if known is None else max(known, proven_at)

    def _take(self, stored: StoredObject) -> None:
        if stored.name != MANIFEST_NAME:
            return
        found = self._reader.read(stored, parse_manifest)
        self._behind = found is None
        if found is None:
            return
        known = self.manifest
        # A view that was delayed must not undo what callers have seen.
        if known is not None and found.generation <= known.generation:
            return
        self.manifest = found
        self._startup.learned(Knowledge.MANIFEST)
        _log.info('gateway: manifest %d in force', found.generation)
        self._on_change()


class FleetView:
    """Feeds registrations of upstreams to the fleet.

    Parameters
    ----------
    fleet
        Who is there.
    clock
        For registrations that lapse while the store is away.
    on_change
        Called after each change.
    startup
        Told once they were listed.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        on_change: Callable[[], None],
        startup: Startup | None = None,
    ) -> None:
        self._startup = startup or Startup()
        self._fleet = fleet
        self._clock = clock
        self._on_change = on_change
        self._store_failed_at: dt.timedelta | None = None
        self._reader = ObjectReader(_log, 'gateway')

    def reset(self, listing: Listing) -> None:
        """Take all registrations."""
        for stored in listing.objects:
            self._put(stored)
        present = [RegistrationId(listed.name) for listed in listing.objects]
        for missing in self._fleet.missing_from(present):
            self._remove(missing)
        self._startup.learned(Knowledge.UPSTREAMS)
        self._on_change()

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Take changed registrations."""
        for change in changes:
            if change.removed:
                self._remove(RegistrationId(change.stored.name))
            else:
                self._put(change.stored)
        self._on_change()

    def interrupted(self) -> None:
        """Note that registrations may lapse without cause."""
        self._store_failed_at = self._clock.elapsed()

    def _put(self, stored: StoredObject) -> None:
        upstream = self._reader.read(stored, parse_upstream)
        if upstream is None:
            # Failure: another writer puts something under an upstream's
            # name. Symptom: requests go where nobody says any more that it
            # is. Its own next entry brings a sound one back.
            self._fleet.remove(RegistrationId(stored.name))
            return
        known = self._fleet.registered(upstream.registration)
        if known is None or _announced(known) != _announced(upstream):
            _log.info(
                'gateway: upstream %s of %s at %s:%d, draining: %s',
                upstream.upstream,
                upstream.service,
                upstream.address.ip,
                upstream.address.port,
                upstream.draining,
            )
        self._fleet.put(upstream)

    def _remove(self, name: RegistrationId) -> None:
        now = self._clock.elapsed()
        failed_at = self._store_failed_at
        if failed_at is not None and now < failed_at + _REGISTER_AGAIN:
            _log.info('gateway: upstream %s lapsed, kept a while', name)
            self._fleet.lapse(name, failed_at + _REGISTER_AGAIN)
            return
        _log.info('gateway: upstream %s is gone', name)
        self._fleet.remove(name)


class _Announced(NamedTuple):
    """What of a registration is worth a line in the log."""

    upstream: UpstreamId
    draining: bool


def _announced(upstream: Upstream) -> _Announced:
    return _Announced(upstream.upstream, upstream.draining)
