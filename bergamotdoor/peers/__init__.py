"""The protocol between processes of the system, and their directory."""

from __future__ import annotations

from bergamotdoor.peers.access import StoreAccess
from bergamotdoor.peers.client import PeerClient, serve_peer
from bergamotdoor.peers.directory import Directory, EntryRecord
from bergamotdoor.peers.load_sharing import LoadSharing
from bergamotdoor.peers.strike_learning import StrikeLearning
from bergamotdoor.peers.strike_sharing import StrikeSharing

__all__ = (
    'Directory',
    'EntryRecord',
    'LoadSharing',
    'PeerClient',
    'StoreAccess',
    'StrikeLearning',
    'StrikeSharing',
    'serve_peer',
)
