"""Tasks that follow the store, and share state with the other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor.entry.startup import StartupListing
from bergamotdoor.gateway.platform_watchers import start_platform_watchers
from bergamotdoor.peers import StoreAccess, StrikeLearning

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.gateway.wiring import EntryComponents
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.tasks import Tasks


def start_background_tasks(
    context: Context,
    access: StoreAccess,
    manifests: ManifestView,
    components: EntryComponents,
    tasks: Tasks,
) -> None:
    """Start the tasks that follow the store and share state.

    Parameters
    ----------
    context
        The shared state of the process.
    access
        The clients for the store and for the other entries.
    manifests
        The view of the manifest to keep up to date.
    components
        The owner of batch jobs, and the duty of usage reports.
    tasks
        The background tasks of the process.
    """
    start_platform_watchers(
        context, access.news, manifests, components.owner, tasks
    )
    start_learning(context, access, components.owner, tasks)
    tasks.start(access.directory.run())
    context.strikes.start(tasks)
    tasks.start(context.load_sharing.run(tasks))
    if components.usage is not None:
        tasks.start(components.usage.run())


def start_learning(
    context: Context, access: StoreAccess, owner: JobOwner, tasks: Tasks
) -> None:
    """Start to register this entry, and to learn the others' strikes.

    Parameters
    ----------
    context
        The shared state of the process.
    access
        The clients for the store and for the other entries.
    owner
        The owner of this entry's batch jobs, whose items wait meanwhile.
    tasks
        The background tasks of the process.
    """
    learning = StrikeLearning(
        context.strikes,
        access,
        context.settings.node,
        context.own_entry,
        context.clock,
    )
    tasks.start(learning.join())
    tasks.start(_learn_strikes(learning, context, owner))


async def _learn_strikes(
    learning: StrikeLearning, context: Context, owner: JobOwner
) -> None:
    """Learn the strikes; calls and items are held back until then."""
    await learning.learn()
    context.startup.mark_known(StartupListing.STRIKES)
    owner.wake_up()
