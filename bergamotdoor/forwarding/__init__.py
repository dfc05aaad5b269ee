"""Sends plain and scoring calls to upstreams: sockets and attempts.

What is decided about a call stands in ``calls.tries``.
"""

from __future__ import annotations

from bergamotdoor.forwarding.call import Attempt, Call
from bergamotdoor.forwarding.forwarder import Forwarder

__all__ = ('Attempt', 'Call', 'Forwarder')
