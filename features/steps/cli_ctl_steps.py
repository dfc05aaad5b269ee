"""Steps for the command ``ctl`` against an administration API."""

from __future__ import annotations

import asyncio
import contextlib
import datetime as dt
import io
import json
import pathlib
import tempfile
from typing import TYPE_CHECKING, Any, cast

from behave import given, then, when

from bergamotdoor.admin.api import AdminApi
from bergamotdoor.cli.ctl import CTL, carry_out
from bergamotdoor.http.server import HttpServer
from bergamotdoor.settings.document import Address
from bergamotdoor.settings.loading import load_settings
from bergamotdoor.settings.process import EntrySettings, HttpLimits
from features.admin_fakes import EXAMPLES, FakeStore, FakeViews, lagon
from features.support import run_virtual, virtual_clock

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bergamotdoor.http.messages import HttpRequest, HttpResponse
    from bergamotdoor.store.protocols import ObjectStore

PORT = 20001
TOKEN = 'example-operator-token-replace'
DRAIN = dt.timedelta(seconds=1)


@given('an entry for ctl with generation 1 of Lagon')
def some_entry(context: Any) -> None:
    context.store = FakeStore(1, lagon())
    context.views = FakeViews()
    context.folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(remove, context.folder)
    context.file = context.folder / 'file.jsonc'
    settings = load_settings(
        str(EXAMPLES / 'lagon' / 'entry-1.jsonc'), EntrySettings
    )
    context.api = AdminApi.from_config(
        settings,
        context.views,
        cast('ObjectStore', context.store),
        virtual_clock(),
    )


def remove(folder: pathlib.Path) -> None:
    for path in folder.iterdir():
        path.unlink()
    folder.rmdir()


@given('an entry for ctl with nothing stored')
def nothing_stored(context: Any) -> None:
    context.store.body = None
    context.views.in_force = None


async def die(request: HttpRequest) -> HttpResponse:
    """An entry that is killed while it works on a request."""
    current = asyncio.current_task()
    assert current is not None
    current.cancel()
    await asyncio.sleep(1)
    raise AssertionError


def run_ctl(
    context: Any,
    words: str,
    token: str = TOKEN,
    handler: Callable[[HttpRequest], Awaitable[HttpResponse]] | None = None,
    port: int = PORT,
) -> None:
    token_file = context.folder / 'token'
    token_file.write_text(f'{token}\n')
    invocation = CTL.parse(
        [
            *words.replace('FILE', str(context.file)).split(),
            f'--token-file={token_file}',
            f'--entry=127.0.0.1:{port}',
        ]
    )

    async def run() -> int:
        server = HttpServer(
            Address(ip='127.0.0.1', port=PORT),
            handler or context.api.handle,
            HttpLimits(),
            virtual_clock(),
        )
        await server.start()
        try:
            return await carry_out(invocation)
        finally:
            await server.stop(DRAIN)

    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        context.code = run_virtual(run())
    context.output = output.getvalue()
    context.told = context.output + errors.getvalue()


@when('ctl runs "{words}"')
def ctl_runs(context: Any, words: str) -> None:
    run_ctl(context, words)


@when('ctl runs "get" and saves the file')
def ctl_saves(context: Any) -> None:
    run_ctl(context, 'get')
    context.file.write_text(context.output)


@when('the file for ctl is edited so that "{name}" leaves')
def edit_file(context: Any, name: str) -> None:
    text = context.file.read_text()
    assert '"leaving": []' in text
    edited = text.replace('"leaving": []', f'"leaving": ["{name}"]')
    context.file.write_text(edited)


@when('the file for ctl is the example of Lagon')
def example_file(context: Any) -> None:
    context.file.write_bytes((EXAMPLES / 'lagon.jsonc').read_bytes())


@when('the file for ctl is the example of Lagon without zone "{zone}"')
def broken_file(context: Any, zone: str) -> None:
    text = (EXAMPLES / 'lagon.jsonc').read_text()
    context.file.write_text(text.replace(f'"{zone}", ', '', 1))


@when('ctl runs "{words}" with a wrong token')
def wrong_token(context: Any, words: str) -> None:
    run_ctl(context, words, token='wrong-operator-token')


@when('ctl runs "{words}" against a closed port')
def closed_port(context: Any, words: str) -> None:
    run_ctl(context, words, port=PORT + 1)


@when('ctl runs "{words}" against an entry that dies halfway')
def dying_entry(context: Any, words: str) -> None:
    run_ctl(context, words, handler=die)


@when('ctl runs "{words}" while the store\'s answers are lost')
def lost_answers(context: Any, words: str) -> None:
    context.store.fault = 'stays out'
    run_ctl(context, words)


@when('ctl runs "{words}" while the store is down')
def store_down(context: Any, words: str) -> None:
    context.store.fault = 'is down'
    run_ctl(context, words)


@then('ctl ended with {code:d} and said "{text}"')
def check_end(context: Any, code: int, text: str) -> None:
    assert context.code == code, (context.code, context.told)
    assert text in context.told, context.told


@then('ctl prints as text and as JSON')
def check_prints(context: Any) -> None:
    for row in context.table:
        run_ctl(context, row['words'])
        assert context.code == 0
        assert row['says'] in context.output, context.output
        run_ctl(context, f'{row["words"]} --json')
        assert context.code == 0
        assert json.loads(context.output)
