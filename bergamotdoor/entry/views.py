"""Views of the manifest and of the upstreams that a process keeps."""

from __future__ import annotations

import asyncio
import contextlib
import datetime as dt
import logging
from typing import TYPE_CHECKING, Final, NamedTuple

from bergamotdoor.calls.manifest import RouteKind, ServiceRules
from bergamotdoor.entry.startup import StartupGate, StartupListing
from bergamotdoor.objects.reader import ObjectReader
from bergamotdoor.platform.engines import parse_upstream
from bergamotdoor.platform.headers import MANIFEST_NAME
from bergamotdoor.platform.manifest import parse_manifest
from bergamotdoor.types import RegistrationId, ServiceId, UpstreamId

if TYPE_CHECKING:
    from collections.abc import Callable

    from bergamotdoor.calls.manifest import Manifest, Route
    from bergamotdoor.clock import Clock
    from bergamotdoor.fleet.fleet import Fleet
    from bergamotdoor.fleet.upstreams import Upstream
    from bergamotdoor.jobs.messages import JobSpec
    from bergamotdoor.stored import Change, Listing, StoredObject

#: Longer than any lapsed registration is kept.
_LONGEST_LAPSE: Final = dt.timedelta(hours=1)
_CLOCK_RESOLUTION: Final = dt.timedelta(milliseconds=1)

_log = logging.getLogger('bergamotdoor.gateway')


class ManifestView:
    """Manifest in force in this process; its generation never decreases.

    Parameters
    ----------
    on_change
        Called after each new manifest has come into force.
    startup
        Notified when a manifest is known.
    """

    def __init__(
        self, on_change: Callable[[], None], startup: StartupGate | None = None
    ) -> None:
        self._startup = startup or StartupGate()
        self.manifest: Manifest | None = None
        #: When the manifest was last known to be current, as the time since
        #: the start of the machine; ``None`` if it never was.
        self.proven_at: dt.timedelta | None = None
        #: Whether the manifest that was written last could not be read, so
        #: that the one in force is not current.
        self._last_read_failed = False
        self._reader = ObjectReader(_log, 'gateway')
        self._on_change = on_change

    def batch_route(self, spec: JobSpec) -> Route | None:
        """Return the route of a batch job in the manifest in force.

        Parameters
        ----------
        spec
            The batch job.

        Returns
        -------
        Route or None
            ``None`` if no manifest is known or no batch route matches.
        """
        if self.manifest is None:
            return None
        route = self.manifest.match(spec.host, spec.path)
        if route is None or route.kind is not RouteKind.BATCH:
            return None
        return route

    def service_rules(self, service: ServiceId) -> ServiceRules:
        """Return the rules of a service in the manifest in force."""
        if self.manifest is None:
            return ServiceRules()
        return self.manifest.service_rules(service)

    def reset(self, listing: Listing) -> None:
        """Apply the manifest in a listing."""
        for stored in listing.objects:
            self._apply_manifest(stored)

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Apply each manifest that was written; ignore removals."""
        for change in changes:
            if not change.removed:
                self._apply_manifest(change.stored)

    def interrupted(self, failed_at: dt.timedelta) -> None:
        """Keep the manifest in force while the store is unreachable."""

    def record_proof(self, proven_at: dt.timedelta) -> None:
        """Record that this view was current at a moment.

        Parameters
        ----------
        proven_at
            The moment, as the time since the start of the machine. All that
            was written before it has been applied.
        """
        if self._last_read_failed:
            return
        known = self.proven_at
        self.proven_at = proven_at if known is None else max(known, proven_at)

    def _apply_manifest(self, stored: StoredObject) -> None:
        if stored.name != MANIFEST_NAME:
            return
        manifest = self._reader.read(stored, parse_manifest)
        self._last_read_failed = manifest is None
        if manifest is None:
            return
        current = self.manifest
        # A delayed source may deliver an older manifest. It must not replace
        # the newer one, by which callers have already been served.
        if current is not None and manifest.generation <= current.generation:
            return
        self.manifest = manifest
        self._startup.mark_known(StartupListing.MANIFEST)
        _log.info('gateway: manifest %d in force', manifest.generation)
        self._on_change()


class FleetView:
    """View of the stored registrations that keeps the fleet up to date.

    Parameters
    ----------
    fleet
        The registered upstreams, which this view updates.
    clock
        The clock that times how long lapsed registrations are kept.
    grace
        How long a lapsed registration is kept after a call to the store that
        failed. Running upstreams register again within two seconds after the
        store's return.
    on_change
        Called after each listing and after each batch of changes.
    startup
        Notified when the registrations have been listed.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        grace: dt.timedelta,
        on_change: Callable[[], None],
        startup: StartupGate | None = None,
    ) -> None:
        self._startup = startup or StartupGate()
        self._fleet = fleet
        self._clock = clock
        self._grace = grace
        self._on_change = on_change
        self._store_failed_at: dt.timedelta | None = None
        self._lapsed = asyncio.Event()
        self._reader = ObjectReader(_log, 'gateway')

    def reset(self, listing: Listing) -> None:
        """Apply all listed registrations and remove those not listed."""
        for stored in listing.objects:
            self._apply_registration(stored)
        present = [RegistrationId(listed.name) for listed in listing.objects]
        for missing in self._fleet.missing_from(present):
            self._remove_registration(missing)
        self._startup.mark_known(StartupListing.UPSTREAMS)
        self._on_change()

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Apply changed and removed registrations."""
        for change in changes:
            if change.removed:
                self._remove_registration(RegistrationId(change.stored.name))
            else:
                self._apply_registration(change.stored)
        self._on_change()

    def interrupted(self, failed_at: dt.timedelta) -> None:
        """Record when the store was last known to be unreachable.

        Registrations of running upstreams may lapse during that time.

        The time for which they are kept counts from the call that failed, as
        the interruption may be noticed seconds after the store's return.
        """
        known = self._store_failed_at
        self._store_failed_at = (
            failed_at if known is None else max(known, failed_at)
        )

    async def remove_lapsed(self) -> None:
        """Remove upstreams that did not register again, until cancelled."""
        while True:
            left = self._fleet.remove_expired(self._clock.elapsed())
            self._lapsed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_timeout_s(left)):
                    await self._lapsed.wait()

    def _apply_registration(self, stored: StoredObject) -> None:
        upstream = self._reader.read(stored, parse_upstream)
        if upstream is None:
            # Failure: another writer stores an unreadable object under the
            # name of an upstream. Symptom: requests go to an address that no
            # registration confirms any more. Removing the upstream is enough,
            # since its own next registration adds it again.
            self._fleet.remove(RegistrationId(stored.name))
            return
        known = self._fleet.find_registered(upstream.registration)
        if known is None or _logged_fields(known) != _logged_fields(upstream):
            _log.info(
                'gateway: upstream %s of %s at %s:%d, draining: %s',
                upstream.upstream,
                upstream.service,
                upstream.address.ip,
                upstream.address.port,
                upstream.draining,
            )
        self._fleet.put(upstream)

    def _remove_registration(self, name: RegistrationId) -> None:
        failed_at = self._store_failed_at
        until = None if failed_at is None else failed_at + self._grace
        if until is not None and self._clock.elapsed() < until:
            _log.info(
                'gateway: registration of upstream %s lapsed, '
                'kept for a grace period',
                name,
            )
            self._fleet.keep_missing(name, until)
            self._lapsed.set()
            return
        _log.info('gateway: upstream %s is gone', name)
        self._fleet.remove(name)


class _LoggedFields(NamedTuple):
    """Fields of a registration whose changes are logged."""

    upstream: UpstreamId
    draining: bool


def _timeout_s(left: dt.timedelta) -> float | None:
    """Return a time limit in seconds; ``None`` for an unlimited time.

    A limit below the resolution of a clock might pass without its advance.
    """
    if left > _LONGEST_LAPSE:
        return None
    return max(left, _CLOCK_RESOLUTION).total_seconds()


def _logged_fields(upstream: Upstream) -> _LoggedFields:
    return _LoggedFields(upstream.upstream, upstream.draining)
