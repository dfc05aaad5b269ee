"""Promises to the trainer, and those that a history broke."""

from __future__ import annotations

import enum
from typing import NamedTuple


class Promise(enum.Enum):
    """Promise to the trainer that every history has to keep."""

    POSITION = 'a position holds one result for good'
    ONCE = 'no item stands at two positions'
    READ = 'a position that was read is not denied'
    BODY = 'the body of an item that is not listed is not denied'
    ACCEPTED = 'a job that was accepted is not denied'
    REFUSED = 'of a job that was refused nothing is there'
    KNOWN = 'an entry does not refuse a job that it knows'
    END = 'after a confirmed end nothing starts'
    TEXT = "versions and score of a result are its text's"
    LOST = 'an item is lost only if it cannot be done'
    COMPLETE = 'once all is well every item is listed'


class Broken(NamedTuple):
    """Promise that was broken, with the observation that shows it."""

    promise: Promise
    detail: str
