"""Follows what the operator and the upstreams write to the store."""

from __future__ import annotations

import datetime as dt
from typing import TYPE_CHECKING, Final

from bergamotdoor.entry.views import FleetView, ManifestView
from bergamotdoor.objects import Watch, Watcher
from bergamotdoor.platform import headers as names

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.objects.news import News
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.tasks import Tasks

#: Changes of upstreams are gathered for this share of the time in which
#: new work must stop going to one that leaves: every engine's new version
#: is such a change, and each would end a watch of every entry.
_DRAIN_SHARE: Final = 0.5
#: The rules hold again ``contact_ms`` after the store was in trouble; a
#: watch must be known as deaf by then, and the kind be listed.
_LISTING_TIME_MS: Final = 500
_LISTING_TIME: Final = dt.timedelta(milliseconds=_LISTING_TIME_MS)
#: A manifest must be in force within two seconds, and callers notice the
#: first entry that has it.
_GATHER_MANIFEST_MS: Final = 20
_GATHER_MANIFEST: Final = dt.timedelta(milliseconds=_GATHER_MANIFEST_MS)
#: How often a manifest is proved current, as a share of the time within
#: which revoked keys must stop working. A proof is twice as old before the
#: next one comes, and what is left is for a store that is away.
_PROOF_SHARE: Final = 0.2


def follow_platform(
    context: Context,
    news: News,
    manifests: ManifestView,
    owner: JobOwner,
    tasks: Tasks,
) -> None:
    """Keep manifest and upstreams up to date from now on."""
    gather = context.settings.drain * _DRAIN_SHARE
    wait = context.settings.contact - _LISTING_TIME
    fleet = FleetView(context.fleet, context.clock, owner.poke, context.startup)
    revocation = context.settings.revocation
    proof = None if revocation is None else revocation * _PROOF_SHARE
    manifest_watcher = Watcher(
        context.store,
        news,
        Watch(names.MANIFEST_KIND, _GATHER_MANIFEST, wait, proof),
        manifests,
        context.clock,
        manifests.prove,
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
