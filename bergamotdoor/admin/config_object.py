"""Reads and conditionally writes the one configuration object.

The generation guards what an operator saw; the object's version guards
the write itself. Two operators who race read the same generation, and the
store lets only one of the two writes through.
"""

from __future__ import annotations

import datetime as dt
import logging
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotdoor.settings.codec import (
    decode_configuration,
    encode_configuration,
)
from bergamotdoor.settings.document import Configuration
from bergamotdoor.settings.problems import Problem, describe
from bergamotdoor.store.protocols import StoreFailure, StoreProblem
from bergamotdoor.types import ABSENT, Generation, ObjectVersion
from bergamotdoor.verdict import Failure, Reason, Verdict

if TYPE_CHECKING:
    from bergamotdoor.clock import Clock
    from bergamotdoor.settings.document import Document
    from bergamotdoor.store.protocols import ObjectStore, StoredObject

KIND: Final = 'config'
NAME: Final = 'current'

_SETTLE_READS: Final = 4
_SETTLE_PAUSE: Final = dt.timedelta(seconds=0.5)
_RETRY_AFTER_MS: Final = 2_000

_log = logging.getLogger('bergamotdoor.admin')


class Current(msgspec.Struct, frozen=True):
    """The configuration as the store has it.

    Parameters
    ----------
    generation
        0 while there is none.
    version
        The object's version, for the next write.
    configuration
        None while there is none, or while it can't be read here.
    unreadable
        Why the body can't be read; empty if it can.
    """

    generation: Generation
    version: ObjectVersion
    configuration: Configuration | None = None
    unreadable: str = ''


class LostRace(msgspec.Struct, frozen=True):
    """Another write came first; nothing of this one was stored."""

    current: Current


class _GenerationOnly(msgspec.Struct, frozen=True):
    """What even a body of another release can be read for."""

    generation: Generation = Generation(0)


class ConfigObject:
    """The object ``config/current``.

    Parameters
    ----------
    store
        The platform's object API.
    clock
        Paces the reads that settle an unclear write.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    async def read(self) -> Current | Failure:
        """Return what is stored now."""
        found = await self._store.read(KIND, NAME)
        if not isinstance(found, StoreFailure):
            return _current(found)
        if found.problem is StoreProblem.NOT_FOUND:
            return Current(Generation(0), ABSENT)
        return _unavailable(found.detail)

    async def write(
        self, document: Document, previous: Current, floor: Generation
    ) -> Configuration | LostRace | Failure:
        """Store `document` as the next generation.

        Parameters
        ----------
        document
            What to store; checked already.
        previous
            What the store has, as the writer saw it.
        floor
            The generation in force in this process. The new one is above
            it too: were the object deleted or restored from a backup, a
            lower generation would be stored and never come into force.

        Returns
        -------
        Configuration
            It is stored.
        LostRace
            It is not stored; another one is.
        Failure
            NOT_RUN, or MAY_HAVE_RUN if the store's answer was lost and
            reading back did not find out.
        """
        configuration = encode_configuration(
            Generation(max(previous.generation, floor) + 1), document
        )
        written = await self._store.write(
            KIND, NAME, configuration.body, previous.version
        )
        if not isinstance(written, StoreFailure):
            _log.info(
                'admin: generation %d is stored', configuration.generation
            )
            return configuration
        if written.problem is StoreProblem.UNAVAILABLE:
            return _unavailable(written.detail)
        if written.problem is StoreProblem.UNKNOWN:
            return await self._settle(configuration, previous)
        return await self._lost()

    async def _lost(self) -> LostRace | Failure:
        current = await self.read()
        return current if isinstance(current, Failure) else LostRace(current)

    async def _settle(
        self, configuration: Configuration, previous: Current
    ) -> Configuration | LostRace | Failure:
        """Find out whether a write with a lost answer took effect.

        The failure: the write lands, its answer does not. Told as failed,
        the operator would send an old document again over a colleague's.
        An unchanged object settles nothing, since the write may still be
        on its way: so it is read a few times, then the doubt is told.
        """
        for _ in range(_SETTLE_READS):
            current = await self.read()
            if isinstance(current, Current):
                outcome = _outcome(configuration, previous, current)
                if outcome is not None:
                    return outcome
            await self._clock.sleep(_SETTLE_PAUSE)
        _log.warning(
            'admin: generation %d is in doubt', configuration.generation
        )
        return Failure(
            Verdict.MAY_HAVE_RUN,
            Reason.UNSETTLED,
            f'generation {configuration.generation} may or may not be '
            'stored: read the configuration before the next change',
            _RETRY_AFTER_MS,
        )


def _outcome(
    configuration: Configuration, previous: Current, current: Current
) -> Configuration | LostRace | None:
    """Return what `current` proves; None while it proves nothing."""
    stored = current.configuration
    if stored is not None and stored.body == configuration.body:
        return configuration
    if current.version == previous.version:
        return None
    if current.generation <= configuration.generation:
        return LostRace(current)
    # Someone went on from this generation; whose it was can't be seen.
    return None


def _current(found: StoredObject) -> Current:
    decoded = decode_configuration(found.body)
    if not isinstance(decoded, Problem):
        return Current(decoded.generation, found.version, decoded)
    # Mending an object that cannot be read must still be possible, and
    # must not lower the generation: processes never go back to one.
    try:
        known = msgspec.json.decode(found.body, type=_GenerationOnly)
    except msgspec.DecodeError:
        known = _GenerationOnly()
    _log.error('admin: the stored configuration is unreadable')
    return Current(
        known.generation, found.version, unreadable=describe(decoded)
    )


def _unavailable(detail: str) -> Failure:
    return Failure(
        Verdict.NOT_RUN,
        Reason.STORE_UNAVAILABLE,
        detail or 'the object store gave no answer',
        _RETRY_AFTER_MS,
    )
