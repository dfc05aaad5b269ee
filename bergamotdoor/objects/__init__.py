"""Client of the platform's object store, and watchers of object kinds."""

from __future__ import annotations

from bergamotdoor.objects.client import DirectCaller, ObjectClient
from bergamotdoor.objects.news import News, StoreNews, Watch
from bergamotdoor.objects.watcher import View, Watcher

__all__ = (
    'DirectCaller',
    'News',
    'ObjectClient',
    'StoreNews',
    'View',
    'Watch',
    'Watcher',
)
