"""Tasks that follow the store, and share state with the other entries."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from bergamotdoor.entry.startup import StartupListing
from bergamotdoor.gateway.platform_watchers import start_platform_watchers
from bergamotdoor.peers import StoreAccess, StrikeLearning

if TYPE_CHECKING:
    from bergamotdoor.entry.context import Context
    from bergamotdoor.entry.views import ManifestView
    from bergamotdoor.gateway.wiring import EntryComponents
    from bergamotdoor.steps.owner import JobOwner
    from bergamotdoor.tasks import Tasks

#: How long work is held back, from the first manifest on, until the strikes
#: are known. The store takes a quarter of a second when it is sixty times as
#: slow as usual, and an entry that does not reply is given up after 0.4 s.
_LEARNING_TIMEOUT_S: Final = 2


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
    tasks.start(learning.learn())
    tasks.start(_hold_work(learning, context, owner))


async def _hold_work(
    learning: StrikeLearning, context: Context, owner: JobOwner
) -> None:
    """Hold calls and items back until the strikes are known.

    Without a manifest nothing can be sent. Once there is one, work is not held
    back for long.
    """
    await context.startup.wait_for(StartupListing.MANIFEST)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_LEARNING_TIMEOUT_S):
            await learning.learned.wait()
    context.startup.mark_known(StartupListing.STRIKES)
    owner.wake_up()
