"""Small processes: beside each engine, and on VMs with a disk."""

from __future__ import annotations
