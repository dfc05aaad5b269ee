"""Types of settings, and the errors found in them."""

from __future__ import annotations
