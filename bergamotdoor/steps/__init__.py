"""Tasks that own trainers' steps: items, results, takeover, readers."""

from __future__ import annotations
