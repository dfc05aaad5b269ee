"""Settings and manifest of the entries in a history."""

from __future__ import annotations

import datetime as dt
import json
from typing import Any, Final

from bergamotdoor.entry.views import ManifestView
from bergamotdoor.platform.manifest import parse_manifest
from bergamotdoor.settings.document import Address
from bergamotdoor.settings.node import NodeSettings
from bergamotdoor.stored import StoredObject
from bergamotdoor.types import NodeId, Revision, ZoneId
from lab.wire import manifest

IP: Final = '10.0.0.1'
_MAX_OBJECT_BYTES: Final = 1_000_000
_JOB_RETENTION: Final = dt.timedelta(minutes=10)
_ONE_SECOND: Final = dt.timedelta(seconds=1)


def entry_settings(number: int, store: Address) -> NodeSettings:
    """Return the settings of an entry.

    Parameters
    ----------
    number
        Number of the entry; gives it its name and its port.
    store
        Address of the model store.
    """
    own = Address(ip=IP, port=number)
    return NodeSettings(
        node=NodeId(f'entry-{number}'),
        zone=ZoneId('here'),
        ip=IP,
        store=store,
        object_bytes=_MAX_OBJECT_BYTES,
        callers=own,
        readiness=own,
        first_port=number,
        inspection=own,
        engine=None,
        contact=_ONE_SECOND,
        drain=_ONE_SECOND,
        grace=_ONE_SECOND,
        retention=_JOB_RETENTION,
    )


def fixed_manifest(routes: list[dict[str, Any]]) -> ManifestView:
    """Return a view of a manifest that never changes."""
    view = ManifestView(_ignore_change)
    spec = json.dumps(manifest(1, routes)).encode()
    view.manifest = parse_manifest(StoredObject('main', Revision(1), spec))
    return view


def _ignore_change() -> None:
    """Do nothing; the manifest of a history is never replaced."""
