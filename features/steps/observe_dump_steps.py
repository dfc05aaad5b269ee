"""Steps for bergamotdoor.observe.dump."""

from __future__ import annotations

import json
import logging
from typing import Any

import msgspec
from behave import given, then, when

from bergamotdoor.observe.dump import (
    MAX_PART_BYTES,
    REDACTED,
    DumpRegistry,
)
from bergamotdoor.settings.document import Address

SECRET = 'do-not-show'


class PlatformSettings(msgspec.Struct, frozen=True):
    """Part of a state that contains a token."""

    object_api: Address
    token: str = ''


class LinkSecurity(msgspec.Struct, frozen=True):
    """Part of a state that contains a key."""

    shared_key: str = ''


PLATFORM = PlatformSettings(
    object_api=Address(ip='127.0.0.1', port=7000), token=SECRET
)


class State(msgspec.Struct):
    """State of a part that contains secrets at several depths."""

    platform: PlatformSettings = PLATFORM
    security: tuple[LinkSecurity, ...] = (
        LinkSecurity(shared_key=SECRET),
        LinkSecurity(),
    )
    admin_tokens: tuple[str, ...] = (SECRET,)
    opaque: object = SECRET.encode
    fencing_token: int = 7


class Text(msgspec.Struct):
    """State of any size."""

    text: str


class Part:
    """Part of a process that returns a given state, or raises without one."""

    def __init__(self, state: msgspec.Struct | None) -> None:
        self.state = state

    def dump(self) -> msgspec.Struct:
        if self.state is None:
            raise KeyError(SECRET)
        return self.state


@given('a dump of a valid part, one that raises and one that is too large')
def register_three_parts(context: Any) -> None:
    context.registry = DumpRegistry()
    context.registry.register('raises', Part(None))
    context.registry.register('large', Part(Text('x' * MAX_PART_BYTES)))
    context.registry.register('sound', Part(Text('fine')))


@given('a dump of settings with keys and tokens at several depths')
def register_secrets(context: Any) -> None:
    context.registry = DumpRegistry()
    context.registry.register('settings', Part(State()))


@when('the dump is collected')
def collect(context: Any) -> None:
    logging.disable()
    try:
        context.collected = context.registry.collect().decode()
    finally:
        logging.disable(logging.NOTSET)


@when('another part is registered for the dump under the same name')
def register_twice(context: Any) -> None:
    context.dump_error = ''
    try:
        context.registry.register('settings', Part(None))
    except ValueError as error:
        context.dump_error = str(error)


@then('the dump shows the valid part and the types of the two errors')
def check_errors(context: Any) -> None:
    assert json.loads(context.collected) == {
        'raises': {'error': 'KeyError'},
        'large': {'error': 'DumpTooLargeError'},
        'sound': {'text': 'fine'},
    }


@then('the dump holds no secret but shows fencing tokens and unset keys')
def check_no_secret(context: Any) -> None:
    assert SECRET not in context.collected
    settings = json.loads(context.collected)['settings']
    assert settings['platform']['token'] == REDACTED
    assert settings['admin_tokens'] == REDACTED
    assert settings['security'][1]['shared_key'] == ''
    assert settings['fencing_token'] == 7


@then('the error contains the name of the part')
def check_part_name(context: Any) -> None:
    assert 'settings' in context.dump_error
