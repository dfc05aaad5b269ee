"""Client of the platform's object store, and watchers of its kinds."""

from __future__ import annotations
