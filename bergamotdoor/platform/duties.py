"""Calls that the platform takes from one process at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from bergamotdoor.duties.usage import UsageReport


def usage_body(report: UsageReport) -> bytes:
    """Write the report of a window."""
    return msgspec.json.encode(report)
