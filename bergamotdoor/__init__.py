"""bergamotdoor: a rollout service for reinforcement learning.

``Verdict``, ``Reason`` and ``Failure`` are imported when they are first used:
a process must install its signal handlers before it imports other modules.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bergamotdoor.verdict import Failure, Reason, Verdict

__all__ = ['Failure', 'Reason', 'Verdict']


def __getattr__(name: str) -> object:
    """Import and return a public name of the package."""
    if name not in __all__:
        raise AttributeError(f'bergamotdoor has no {name!r}')
    verdict = importlib.import_module('bergamotdoor.verdict')
    return getattr(verdict, name)
