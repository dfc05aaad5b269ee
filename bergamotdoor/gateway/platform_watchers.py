"""Watches on the manifest and the upstreams in the platform's store."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.entry.views import FleetView, ManifestView
from bergamotdoor.objects import Watch, Watcher
from bergamotdoor.objects.client import WATCH_MARGIN
from bergamotdoor.platform import headers as names

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.objects.news import News
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.tasks import Tasks

#: How long changes of upstreams are gathered, as a share of the time within
#: which new work must stop going to a draining upstream. Each new version of
#: an engine is such a change too, and would end a watch of every entry.
_FLEET_GATHER_SHARE: Final = 0.5
#: The platform's rules hold again ``contact_ms`` after trouble with the
#: store. By then a watch that receives nothing must have timed out and the kind
#: must be listed; this much of that time is reserved for the pause before the
#: listing and for the listing itself.
_LISTING_RESERVE_MS: Final = 500
_LISTING_RESERVE: Final = dt.timedelta(milliseconds=_LISTING_RESERVE_MS)
#: How long changes of the manifest are gathered. A manifest must be in force
#: within two seconds, and callers notice the first entry that has it.
_MANIFEST_GATHER_MS: Final = 20
_MANIFEST_GATHER: Final = dt.timedelta(milliseconds=_MANIFEST_GATHER_MS)
#: How often the manifest is proven current, as a share of the time within
#: which revoked keys must stop working. A proof dates from the start of its
#: watch, so it is two intervals old when the next one arrives; the rest of
#: the time is left for an unreachable store.
_PROOF_INTERVAL_SHARE: Final = 0.2


def start_platform_watchers(
    context: Context,
    news: News,
    manifests: ManifestView,
    owner: JobOwner,
    tasks: Tasks,
) -> None:
    """Start the tasks that keep the manifest and the upstreams up to date.

    Parameters
    ----------
    context
        The shared state of the process; its fleet is kept up to date.
    news
        The source of the changes in the store.
    manifests
        The view of the manifest to keep up to date.
    owner
        The owner of this entry's batch jobs, notified of changed upstreams.
    tasks
        The background tasks of the process.
    """
    gather = context.settings.drain * _FLEET_GATHER_SHARE
    wait = context.settings.contact - WATCH_MARGIN - _LISTING_RESERVE
    fleet = FleetView(
        context.fleet,
        context.clock,
        context.settings.contact,
        owner.wake_up,
        context.startup,
    )
    revocation = context.settings.revocation
    proof = None if revocation is None else revocation * _PROOF_INTERVAL_SHARE
    manifest_watcher = Watcher(
        context.store,
        news,
        Watch(names.MANIFEST_KIND, _MANIFEST_GATHER, wait, proof),
        manifests,
        context.clock,
        manifests.record_proof,
    )
    fleet_watcher = Watcher(
        context.store,
        news,
        Watch(names.UPSTREAM_KIND, gather, wait),
        fleet,
        context.clock,
    )
    tasks.start(manifest_watcher.run())
    tasks.start(fleet_watcher.run())
    tasks.start(fleet.remove_lapsed())
