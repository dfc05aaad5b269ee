"""Forwarding of plain and score calls to upstreams over HTTP.

The rules that decide on the attempts of a call are in the package ``calls``.
"""

from __future__ import annotations

from bergamotdoor.forwarding.call import Attempt, Call
from bergamotdoor.forwarding.forwarder import Forwarder

__all__ = ('Attempt', 'Call', 'Forwarder')
