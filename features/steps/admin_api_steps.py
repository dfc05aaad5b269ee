"""Steps for bergamotdoor.admin."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import msgspec
from behave import given, then, when
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from bergamotdoor.admin.api import AdminApi
from bergamotdoor.http.messages import Headers, HttpRequest, HttpResponse
from bergamotdoor.settings.codec import encode_configuration
from bergamotdoor.settings.loading import MAX_TEXT_BYTES, load_settings
from bergamotdoor.settings.process import EntrySettings, SidecarSettings
from bergamotdoor.types import Generation
from features.admin_fakes import (
    EXAMPLES,
    FakeStore,
    FakeViews,
    Stored,
    lagon,
)
from features.support import run_machine, run_virtual, virtual_clock

if TYPE_CHECKING:
    from bergamotdoor.settings.document import Document
    from bergamotdoor.store.protocols import ObjectStore

TOKEN = 'operator-token-001'


def entry_settings(*tokens: str) -> EntrySettings:
    path = str(EXAMPLES / 'lagon' / 'entry-1.jsonc')
    settings = load_settings(path, EntrySettings)
    return msgspec.structs.replace(settings, admin_tokens=tokens)


def api_over(store: FakeStore, views: FakeViews, *tokens: str) -> AdminApi:
    return AdminApi.from_config(
        entry_settings(*tokens),
        views,
        cast('ObjectStore', store),
        virtual_clock(),
    )


def http_request(
    method: str, target: str, body: bytes = b'', **headers: str
) -> HttpRequest:
    async def pieces() -> Any:
        yield body

    fields = {'authorization': f'Bearer {TOKEN}', **headers}
    pairs = [(name.replace('_', '-'), fields[name]) for name in fields]
    return HttpRequest(
        method=method,
        target=target,
        headers=Headers.of(pairs),
        body=pieces(),
    )


def ask(
    api: AdminApi, method: str, target: str, body: bytes = b'', **headers: str
) -> HttpResponse:
    request = http_request(method, target, body, **headers)
    return run_virtual(api.handle(request))


def put_leaving(api: AdminApi, leaving: str, **headers: str) -> HttpResponse:
    body = msgspec.json.encode(lagon(*leaving.split()))
    return ask(api, 'PUT', '/admin/v1/config', body, **headers)


def told(response: HttpResponse) -> Any:
    assert isinstance(response.body, bytes)
    return msgspec.json.decode(response.body)


@given('an administration API over a store with generation 1 of Lagon')
def some_api(context: Any) -> None:
    context.store = FakeStore(1, lagon())
    context.views = FakeViews()
    context.api = api_over(context.store, context.views, 'x' * 16, TOKEN)
    context.told = {}


@then('each request to the administration API without a valid token gets 401')
def check_tokens(context: Any) -> None:
    for row in context.table:
        for target in ('config', 'state', 'metrics', 'none'):
            response = ask(
                context.api,
                'GET',
                f'/admin/v1/{target}',
                authorization=row['authorization'],
            )
            assert response.status == 401, row
            assert told(response)['reason'] == 'unauthorized'


@then('an administration API without tokens refuses every token')
def no_tokens(context: Any) -> None:
    api = api_over(context.store, context.views)
    for given_token in ('', TOKEN, '\udcff'):
        response = ask(
            api,
            'GET',
            '/admin/v1/state',
            authorization=f'Bearer {given_token}',
        )
        assert response.status == 401


@then('the store of the administration API was not asked')
def not_asked(context: Any) -> None:
    assert context.store.calls == 0


@when(
    'operator "{name}" puts {leaving} as leaving '
    'with If-Match "{generation}" by administration'
)
def operator_puts(
    context: Any, name: str, leaving: str, generation: str
) -> None:
    context.told[name] = put_leaving(
        context.api, leaving, if_match=f'"{generation}"'
    )


@then(
    'the administration API told "{name}" {status:d} and generation {number:d}'
)
def check_told(context: Any, name: str, status: int, number: int) -> None:
    response = context.told[name]
    assert response.status == status, response
    assert told(response)['generation'] == number
    assert response.headers.first('etag') == f'"{number}"'


@then('the administration API told "{name}" {status:d} and verdict "{verdict}"')
def check_verdict(context: Any, name: str, status: int, verdict: str) -> None:
    response = context.told[name]
    assert response.status == status, response
    assert response.headers.first('bergamotdoor-verdict') == verdict, response


@then('the administration API told "{name}" 200 and verdict ""')
def check_plain(context: Any, name: str) -> None:
    check_verdict(context, name, 200, '')


def leaving_now(context: Any) -> str:
    stored = msgspec.json.decode(context.store.body, type=Stored)
    return ' '.join(stored.document.rules.leaving)


@then('the leaving upstreams under administration are "{names}"')
def check_leaving(context: Any, names: str) -> None:
    assert leaving_now(context) == names


@then('the leaving upstreams under administration are ""')
def check_none_leaving(context: Any) -> None:
    assert not leaving_now(context)


@then('the administration API answers PUT config by its If-Match')
def check_if_match(context: Any) -> None:
    for row in context.table:
        headers = {'if_match': row['if_match']} if row['if_match'] else {}
        response = put_leaving(context.api, 'kreol-1', **headers)
        assert response.status == int(row['status']), (row, response)
        if response.status != 200:
            verdict = response.headers.first('bergamotdoor-verdict')
            assert verdict == 'not-run', row
            assert context.store.writes == 0


@then('the store of the administration API was written {times:d} time')
@then('the store of the administration API was written {times:d} times')
def check_writes(context: Any, times: int) -> None:
    assert context.store.writes == times, context.store.writes


@when('an operator puts a document with 3 mistakes by administration')
def put_mistakes(context: Any) -> None:
    text = (EXAMPLES / 'lagon.jsonc').read_text()
    text = text.replace('"ebene", ', '', 1)
    body = text.encode()
    context.response = ask(
        context.api, 'PUT', '/admin/v1/config', body, if_match='"1"'
    )


@then('the administration API answers 400 with 3 problems')
def check_rejected(context: Any) -> None:
    assert context.response.status == 400
    problems = told(context.response)['problems']
    assert len(problems) == 3, problems
    assert all(
        problem['path'].endswith('.zone') and problem['value'] == '"ebene"'
        for problem in problems
    )


@when('an operator tries kreol-1 as leaving by administration')
def dry_run(context: Any) -> None:
    body = msgspec.json.encode(lagon('kreol-1'))
    context.response = ask(
        context.api, 'PUT', '/admin/v1/config?dry-run=1', body
    )
    again = ask(context.api, 'POST', '/admin/v1/config/diff', body)
    assert told(again) == told(context.response)


@then('the administration answer lists the change "{path}"')
def check_change(context: Any, path: str) -> None:
    answer = told(context.response)
    assert answer['stored'] is False
    assert [change['path'] for change in answer['changes']] == [path]


@given('an answer lost to administration while the write {fate}')
def lose_answer(context: Any, fate: str) -> None:
    context.store.fault = fate


@given('an outage of the administration store: it {fault}')
def store_fault(context: Any, fault: str) -> None:
    assert fault in {'is down', 'hangs'}, fault
    context.store.fault = fault


@then('the administration API shows generation 1 from "process"')
def check_source(context: Any) -> None:
    response = ask(context.api, 'GET', '/admin/v1/config')
    assert response.status == 200
    assert response.headers.first('etag') == '"1"'
    source = response.headers.first('bergamotdoor-config-source')
    assert source == 'process'


@given(
    'a colleague who changes the administration store {times:d} times '
    'on the way'
)
def colleague(context: Any, times: int) -> None:
    context.store.colleague_writes = times


@when('upstream "{name}" is drained by administration')
def drain(context: Any, name: str) -> None:
    context.response = ask(context.api, 'POST', f'/admin/v1/drain/{name}')


@when('upstream "{name}" is undrained by administration')
def undrain(context: Any, name: str) -> None:
    context.response = ask(context.api, 'DELETE', f'/admin/v1/drain/{name}')


@then('the administration answer is {status:d} with generation {number:d}')
def check_answer(context: Any, status: int, number: int) -> None:
    assert context.response.status == status, context.response
    assert told(context.response)['generation'] == number, context.response


@then('the administration answer is 404 and names "{name}"')
def check_missing(context: Any, name: str) -> None:
    assert context.response.status == 404
    assert name in told(context.response)['detail']


@given(
    'an object lost by the administration store while generation 7 is in force'
)
def lose_object(context: Any) -> None:
    context.store.body = None
    context.views.in_force = encode_configuration(Generation(7), lagon())


@given('an object of another release in the administration store')
def other_release(context: Any) -> None:
    context.store.body = b'{"generation":5,"document":{"shape":"new"}}'


@then('the administration API answers GET config with 409 and generation 5')
def check_unreadable(context: Any) -> None:
    response = ask(context.api, 'GET', '/admin/v1/config')
    assert response.status == 409
    assert response.headers.first('etag') == '"5"'
    assert 'shape' in told(response)['detail']


@then(
    'the administration status has lowest generation 3 and 1 unknown upstream'
)
def check_status(context: Any) -> None:
    status = told(ask(context.api, 'GET', '/admin/v1/status'))
    assert status['lowest_generation'] == 3
    assert status['unknown_upstreams'] == 1
    assert len(status['members']) == 5
    assert status['trainers'][0]['idle_ms'] == 0


@then('the administration API answers')
def check_answers(context: Any) -> None:
    check_table(context, context.api)
    text = ask(context.api, 'GET', '/admin/v1/metrics?format=text')
    for line in (
        r'bergamotdoor_events_total{service="kreol \"lm\"",event="swap"}'
        ' 12345678',
        'bergamotdoor_latency_us_count{service="",stage="total"} 1',
    ):
        assert f'{line}\n'.encode() in cast('bytes', text.body), text.body
    state = told(ask(context.api, 'GET', '/admin/v1/state'))
    assert state['generation'] == 1
    assert state['parts']['routing']['retry_budget'] == 1
    assert 'hidden-from-all' not in str(state)


def check_table(context: Any, api: AdminApi) -> None:
    for row in context.table:
        response = ask(api, row['method'], row['target'])
        assert response.status == int(row['status']), (row, response)


@then("a sidecar's administration API answers")
def check_sidecar(context: Any) -> None:
    path = str(EXAMPLES / 'lagon' / 'sidecar-kreol-1.jsonc')
    settings = load_settings(path, SidecarSettings)
    settings = msgspec.structs.replace(settings, admin_tokens=(TOKEN,))
    check_table(context, AdminApi.for_sidecar(settings, context.views))


@then('a body above the bound of the administration API gets 413')
def check_large(context: Any) -> None:
    body = b' ' * (MAX_TEXT_BYTES + 1)
    response = ask(context.api, 'PUT', '/admin/v1/config', body)
    assert response.status == 413


class Race(RuleBasedStateMachine):
    """Operators with old and new knowledge, over a store with faults."""

    def __init__(self) -> None:
        super().__init__()
        self.store = FakeStore(1, lagon())
        self.api = api_over(self.store, FakeViews(), TOKEN)
        self.refused: list[tuple[int, Document]] = []

    @rule(
        fault=st.sampled_from(
            [
                '',
                '',
                'is down',
                'lands',
                'lands late',
                'lands after the answer',
                'loses to another',
                'stays out',
                'goes under, unseen',
            ]
        ),
        behind=st.sampled_from([0, 0, 0, 1]),
        leaving=st.sets(st.integers(1, 5), max_size=2),
    )
    def put(self, fault: str, behind: int, leaving: set[int]) -> None:
        before = self.store.history[-1].generation
        expected = max(before - behind, 0)
        document = lagon(*(f'kreol-{number}' for number in sorted(leaving)))
        self.store.fault = fault
        body = msgspec.json.encode(document)
        writes = self.store.writes
        response = ask(
            self.api,
            'PUT',
            '/admin/v1/config',
            body,
            if_match=f'"{expected}"',
        )
        self.check(response, document, self.store.writes > writes)

    @rule(colleagues=st.integers(0, 6), number=st.integers(1, 5))
    def drain(self, colleagues: int, number: int) -> None:
        self.store.fault = ''
        self.store.colleague_writes = colleagues
        response = ask(self.api, 'POST', f'/admin/v1/drain/kreol-{number}')
        self.store.colleague_writes = 0
        if response.status == 200:
            stored = self.store.history[-1]
            assert f'kreol-{number}' in stored.document.rules.leaving
        else:
            assert response.status == 412

    @rule()
    def late_writes_land(self) -> None:
        self.store.land()

    def check(
        self, response: HttpResponse, document: Document, wrote: bool
    ) -> None:
        if response.status == 200:
            number = told(response)['generation']
            assert any(
                item.generation == number and item.document == document
                for item in self.store.history
            ), 'told as stored, and never was'
            return
        verdict = response.headers.first('bergamotdoor-verdict')
        if verdict == 'not-run' and wrote and self.store.fault != 'is down':
            # What was told as not run must not land later either.
            generation = self.store.history[-1].generation
            self.store.land()
            assert self.store.history[-1].generation == generation

    def teardown(self) -> None:
        generations = [item.generation for item in self.store.history]
        assert generations == sorted(set(generations)), generations


@then('a machine of racing operators finds no untrue administration answer')
def check_machine(context: Any) -> None:
    run_machine(Race, examples=40, steps=20)
