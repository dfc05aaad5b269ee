"""Steps for bergamotdoor.platform."""

from __future__ import annotations

import contextlib
import datetime as dt
import json
import pathlib
import re
import tempfile
from typing import TYPE_CHECKING, Any, NamedTuple

import hypothesis
from behave import given, then, when

from bergamotdoor.calls.manifest import RouteKind, pick_service
from bergamotdoor.cli.reloading import ReloadingDaemon
from bergamotdoor.entry.views import ManifestView
from bergamotdoor.jobs.event_stream import EventReader
from bergamotdoor.objects.job_codec import found_job, record_of
from bergamotdoor.platform.batch_wire import parse_job
from bergamotdoor.platform.engines import (
    parse_report,
    parse_upstream,
    parse_version,
)
from bergamotdoor.platform.evacuation import is_completed
from bergamotdoor.platform.headers import WEIGHT_VERSION
from bergamotdoor.platform.manifest import parse_manifest
from bergamotdoor.platform.settings import parse_node_settings
from bergamotdoor.platform.store_wire import (
    parse_changes,
    parse_object,
    parse_page,
)
from bergamotdoor.settings.problems import SettingsError
from bergamotdoor.stored import Listing, StoredObject, UnreadableError
from bergamotdoor.types import AccountId, JobId, Revision, ServiceId

if TYPE_CHECKING:
    from collections.abc import Callable

PACKAGE = pathlib.Path('bergamotdoor')
ADAPTER = PACKAGE / 'platform'
PROTOCOL_NAMES = re.compile(
    r'x-bergamotdoor-|retirements|/-/(lots|items|order|report|objects)'
    r'|cold_left_ms|more_pages|as_of|next_token|max_wait_s|max_conns'
    r'|goal_ms|can_resume|min_version["\']|beat_interval_ms'
    r'|tenant|api_keys|fence-token|duty-holder|duty_per_s|strict_revoke'
    r'|usage_window_s|usage_late_s',
    re.IGNORECASE,
)
MAX_LINES = 900
MAX_FILE_LINES = 160


def package_modules() -> list[pathlib.Path]:
    return sorted(PACKAGE.rglob('*.py'))


def count_lines(path: pathlib.Path) -> int:
    return len(path.read_text().splitlines())


@then('no module outside bergamotdoor/platform contains a name of the protocol')
def check_protocol_names(_: Any) -> None:
    found = {
        str(path): match.group()
        for path in package_modules()
        if ADAPTER not in path.parents
        and (match := PROTOCOL_NAMES.search(path.read_text()))
    }
    assert not found, found


@then('the adapter is small, as a whole and in each file')
def check_size(_: Any) -> None:
    sizes = {path.name: count_lines(path) for path in ADAPTER.rglob('*.py')}
    assert sum(sizes.values()) <= MAX_LINES, sizes
    assert max(sizes.values()) <= MAX_FILE_LINES, sizes


def manifest_body(version: int) -> bytes:
    fields = {
        'version': version,
        'routes': [
            {
                'name': 'jobs',
                'host': 'A.example',
                'path_prefix': '/p/',
                'kind': 'rollout',
                'service': 's1',
                'due_ms': 7500,
                'max_wait_s': 40,
                'max_attempts': 3,
                'timeout_ms': 10_000,
            },
            {
                'name': 'calls',
                'host': 'a.example',
                'path_prefix': '/p/q/',
                'kind': 'keyed',
                'timeout_ms': 1500,
                'goal_ms': 191,
                'split': [
                    {'service': 's2', 'weight': 90},
                    {'service': 's3', 'weight': 10},
                ],
            },
        ],
        'services': [
            {'name': 's1', 'max_conns': 9, 'engine': {'stride': 73}},
            {'name': 's2', 'engine': None},
        ],
        'limits': {'max_body_bytes': 5, 'idle_timeout_ms': 4000},
    }
    return json.dumps(fields).encode()


@given("the operator's manifest of two routes and a split")
def decode_manifest(context: Any) -> None:
    context.manifest = parse_manifest(stored_object(manifest_body(7)))


@then('its routes have kinds, shares, bounds and limits with their units')
def check_routes(context: Any) -> None:
    manifest = context.manifest
    jobs = manifest.match('a.example:80', '/p/x?y=/p/q/')
    assert jobs.kind is RouteKind.BATCH
    assert jobs.due_after == dt.timedelta(milliseconds=7500)
    assert jobs.abandon_after.total_seconds() == 40
    calls = manifest.match('A.EXAMPLE', '/p/q/x')
    assert calls.kind is RouteKind.ONCE
    assert calls.target_latency == dt.timedelta(milliseconds=191)
    assert manifest.match('b.example', '/p/q/x') is None
    assert manifest.match('a.example', '/p') is None
    tokens = [
        manifest.service_rules(ServiceId(name)).tokens_per_event
        for name in ('s1', 's2', 's3')
    ]
    assert tokens == [73, 58, 58], tokens
    assert manifest.limits.max_body_bytes == 5
    assert manifest.limits.idle_timeout.total_seconds() == 4


@given('a manifest whose priority and strides are null or no table')
def decode_null_fields(context: Any) -> None:
    fields = json.loads(manifest_body(1))
    for one in fields['routes']:
        one['priority'] = None
    fields['tenants'] = [{'name': 'a', 'priority': None}]
    fields['services'] = [
        {'name': f's{number}', 'engine': engine}
        for number, engine in enumerate(({'stride': None}, 'x', 5, [], {}))
    ]
    body = json.dumps(fields).encode()
    context.manifest = parse_manifest(stored_object(body))


@then('its route has priority 0, and its services have 58 tokens per event')
def check_defaults(context: Any) -> None:
    route = context.manifest.match('a.example', '/p/x')
    assert context.manifest.priority_of(route, AccountId('a')) == 0
    for number in range(5):
        rules = context.manifest.service_rules(ServiceId(f's{number}'))
        assert rules.tokens_per_event == 58, rules


@then('a route to s1 and s2 with weights of 0 leads to s2 only')
def check_zero_weights(_: Any) -> None:
    fields = json.loads(manifest_body(1))
    fields['routes'][1]['split'] = [
        {'service': name, 'weight': 0} for name in ('s1', 's2')
    ]
    manifest = parse_manifest(stored_object(json.dumps(fields).encode()))
    route = manifest.match('a.example', '/p/q/x')
    assert route is not None
    assert pick_service(route, 0) == 's2'
    found = [
        route.leads_to(ServiceId(name), route.kind) for name in ('s1', 's2')
    ]
    assert found == [False, True], found


@then('its split is drawn by weight')
def check_split(context: Any) -> None:
    calls = context.manifest.match('a.example', '/p/q/x')
    picked = [pick_service(calls, draw / 100) for draw in range(100)]
    assert picked.count(ServiceId('s2')) == 90, picked
    assert picked.count(ServiceId('s3')) == 10, picked


@given('a process with manifest 7')
def process_with_manifest(context: Any) -> None:
    context.view = ManifestView(lambda: None)
    receive_manifest(context, 7)


def receive_manifest(context: Any, version: int) -> int:
    """Reset the view to a manifest; return the generation in force."""
    found = StoredObject('main', Revision(1), manifest_body(version))
    context.view.reset(Listing((found,), Revision(1)))
    return int(context.view.manifest.generation)


@when('it receives manifest 5, then 9')
def receive_two_manifests(context: Any) -> None:
    context.generations = [
        receive_manifest(context, 5),
        receive_manifest(context, 9),
    ]


@then('it has manifest 7, then 9')
def check_generations(context: Any) -> None:
    assert context.generations == [7, 9], context.generations


@then('the {what} {text} is rejected with the field {field}')
def check_rejected(_: Any, what: str, text: str, field: str) -> None:
    parse_invalid(what, text, field)


def parse_invalid(what: str, text: str, field: str) -> None:
    try:
        if what == 'manifest':
            parse_manifest(stored_object(text.encode()))
        else:
            parse_node_settings(text.encode(), 'a file')
    except (UnreadableError, SettingsError) as error:
        assert field in str(error), error
        return
    raise AssertionError('not rejected')


class RecordingDaemon:
    """Daemon that records the port of the store in each settings applied."""

    def __init__(self) -> None:
        self.store_ports: list[int] = []

    async def start(self) -> None:
        """Nothing to do."""

    async def stop(self) -> None:
        """Nothing to do."""

    def use_settings(self, settings: Any) -> None:
        self.store_ports.append(settings.store.port)


def settings_text(port: int) -> str:
    return json.dumps(
        {
            'node': 'a',
            'zone': 'z',
            'ip': '127.0.0.1',
            'platform': {'address': f'127.0.0.1:{port}'},
        }
    )


@given('a running process and its settings file')
def running_process(context: Any) -> None:
    folder = tempfile.mkdtemp()
    context.path = pathlib.Path(folder) / 'settings.json'
    context.path.write_text(settings_text(1))
    context.daemon = RecordingDaemon()
    context.reloading = ReloadingDaemon(context.daemon, str(context.path), b'')
    context.reloading.reload()


@when('the file names another store, is malformed, and names a third store')
def change_file(context: Any) -> None:
    for text in (settings_text(2), '{', settings_text(2), settings_text(3)):
        context.path.write_text(text)
        context.reloading.reload()


@then('the process uses the second store, keeps it, and uses the third')
def check_stores(context: Any) -> None:
    assert context.daemon.store_ports == [1, 2, 3], context.daemon.store_ports


@then('no random body makes a parser raise another error')
def check_random_bodies(_: Any) -> None:
    bodies = hypothesis.strategies.one_of(
        hypothesis.strategies.binary(max_size=200),
        json_bodies(),
    )

    @hypothesis.settings(
        derandomize=True, max_examples=400, deadline=None, database=None
    )
    @hypothesis.given(bodies)
    def check(body: bytes) -> None:
        for parser in PARSERS:
            with contextlib.suppress(parser.error):
                parser.parse(body)

    check()


def json_bodies() -> Any:
    names = hypothesis.strategies.sampled_from(
        (
            'version', 'routes', 'items', 'id', 'path', 'body', 'address',
            'service', 'metadata', 'name', 'spec', 'models', 'events', 'born',
            'cold_left_ms', 'slots', 'state', 'seq', 'zone', 'object',
        )
    )  # fmt: skip
    leaves = hypothesis.strategies.one_of(
        hypothesis.strategies.none(),
        hypothesis.strategies.integers(),
        hypothesis.strategies.floats(),
        hypothesis.strategies.text(max_size=5),
    )
    values = hypothesis.strategies.recursive(
        leaves,
        lambda inner: hypothesis.strategies.one_of(
            hypothesis.strategies.lists(inner, max_size=3),
            hypothesis.strategies.dictionaries(names, inner, max_size=5),
        ),
        max_leaves=12,
    )
    return values.map(lambda value: json.dumps(value).encode())


def stored_object(body: bytes) -> StoredObject:
    return StoredObject('u', Revision(1), body, body)


class Parser(NamedTuple):
    """Parser of bytes from outside, and the only error that it may raise."""

    parse: Callable[[bytes], Any]
    error: type[Exception]


PARSERS = (
    Parser(parse_report, UnreadableError),
    Parser(parse_page, UnreadableError),
    Parser(parse_changes, UnreadableError),
    Parser(parse_object, UnreadableError),
    Parser(lambda body: parse_manifest(stored_object(body)), UnreadableError),
    Parser(lambda body: parse_upstream(stored_object(body)), UnreadableError),
    Parser(lambda body: parse_version(stored_object(body)), UnreadableError),
    Parser(lambda body: is_completed(stored_object(body)), UnreadableError),
    Parser(lambda body: found_job(stored_object(body)), UnreadableError),
    Parser(lambda body: record_of(stored_object(body)), UnreadableError),
    Parser(lambda body: parse_job(JobId('j'), 'h', '/p', body), ValueError),
    Parser(lambda body: parse_node_settings(body, 'a file'), SettingsError),
    Parser(
        lambda body: list(EventReader(WEIGHT_VERSION).feed(body)), ValueError
    ),
)
