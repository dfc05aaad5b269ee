"""The protocol between processes of the system, and their directory."""

from __future__ import annotations

from bergamotdoor.peers.access import StoreAccess
from bergamotdoor.peers.client import PeerClient, serve_peer
from bergamotdoor.peers.directory import Directory

__all__ = ('Directory', 'PeerClient', 'StoreAccess', 'serve_peer')
