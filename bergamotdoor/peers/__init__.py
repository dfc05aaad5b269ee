"""The protocol between processes of the system, and who they are."""

from __future__ import annotations
