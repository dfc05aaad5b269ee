"""Limits on what clients may send."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from bergamotdoor import utils
from bergamotdoor.settings.process import HttpLimits

if TYPE_CHECKING:
    from bergamotdoor.calls.manifest import CallerLimits

#: Limits for other entries and the balancer, which are trusted, send small
#: requests and keep their connections open.
INTERNAL_LIMITS: Final = HttpLimits()


def caller_limits(limits: CallerLimits) -> HttpLimits:
    """Return the limits of the HTTP server for callers.

    Parameters
    ----------
    limits
        The limits in the manifest.
    """
    return HttpLimits(
        max_header_bytes=limits.max_header_bytes,
        header_timeout_ms=utils.to_ms(limits.header_timeout),
        idle_timeout_ms=utils.to_ms(limits.idle_timeout),
    )
