"""Reads the configuration that the platform's store holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bergamotdoor.settings.codec import decode_configuration
from bergamotdoor.settings.document import Configuration
from bergamotdoor.store.protocols import StoredObject

if TYPE_CHECKING:
    from bergamotdoor.store.protocols import ObjectStore


async def read_configuration(store: ObjectStore) -> Configuration | None:
    """Return the stored configuration; None if there is none to be had."""
    stored = await store.read('config', 'current')
    if not isinstance(stored, StoredObject):
        return None
    configuration = decode_configuration(stored.body)
    if isinstance(configuration, Configuration):
        return configuration
    return None
