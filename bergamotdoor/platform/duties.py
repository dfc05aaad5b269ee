"""Requests that one process at a time sends to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from bergamotdoor.duties.usage import UsageReport


def usage_body(report: UsageReport) -> bytes:
    """Encode the usage report of a window."""
    return msgspec.json.encode(report)
