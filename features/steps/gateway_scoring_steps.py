"""Steps for jobs whose texts a service scores, in virtual time."""

from __future__ import annotations

import asyncio
import datetime as dt
from collections import Counter
from typing import TYPE_CHECKING, Any

from behave import given, then

from bergamotdoor.jobs.messages import (
    ItemResult,
    ItemSpec,
    ItemState,
    ScoreCall,
)
from bergamotdoor.jobs.scoring import ScoreQueue
from bergamotdoor.types import GroupId, ItemId
from features.job_scenes import (
    JOB,
    other_entry,
    owner_of,
    parse_lengths,
    run_headers,
    submit_job,
)
from lab.site import Site, play
from lab.upstreams import Seen, Upstream, UpstreamMode
from lab.wire import score_id

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bergamotdoor.http.messages import HttpRequest, HttpResponse

#: The path of score calls.
SCORE_PATH = '/score/'
#: How long a score call occupies a slot of the service.
SCORE_CALL_S = 0.045


def score_calls(site: Site) -> list[Seen]:
    return [
        seen
        for service in site.services.values()
        for seen in service.seen
        if seen.target == SCORE_PATH
    ]


def set_services(site: Site, mode: UpstreamMode) -> None:
    for service in site.services.values():
        service.mode = mode


async def read_to_end(context: Any, site: Site, entry: str) -> None:
    """Read all results of a job, and record the requests of its upstreams."""
    started_at = site.clock.elapsed()
    context.results = await site.all_results(entry, JOB)
    context.took_s = (site.clock.elapsed() - started_at).total_seconds()
    context.calls = score_calls(site)
    context.starts = {
        seen.request: [
            int(headers.get('last-event-id', '0'))
            for headers in run_headers(site, seen.request)
        ]
        for engine in site.engines.values()
        for seen in engine.seen
    }


@given('a site that runs a scored job of groups {groups}')
def scored(context: Any, groups: str) -> None:
    context.groups = parse_lengths(groups)

    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, context.groups, score_path=SCORE_PATH)
        await read_to_end(context, site, 'entry-0')
        context.second = await site.all_results('entry-1', JOB)
        context.made_at_s = {
            item: at_s
            for engine in site.engines.values()
            for item, at_s in engine.made_at_s.items()
        }

    play(scene)


def has_own_score(result: dict[str, Any]) -> bool:
    """Return whether a result is complete and has the score of its item."""
    item = result['id']
    stamps = {f'proof of desk-{number} {score_id(item)}' for number in (0, 1)}
    return result.get('score') in stamps and result['state'] == 'completed'


@then(
    'both entries list the same {count:d} results, each with the score of its '
    'item'
)
def same_scores(context: Any, count: int) -> None:
    assert len(context.results) == count, context.results
    assert context.results == context.second
    assert all(has_own_score(result) for result in context.results)


@then('each score call is sent as its trainer wrote it, after the last event')
def as_written(context: Any) -> None:
    assert len(context.calls) == len(context.results)
    for seen in context.calls:
        item = seen.request.removeprefix('score-')
        assert seen.body == f'score {item}'.encode(), seen
        assert seen.headers['host'] == 'train.example', seen.headers
        assert 0 < int(seen.headers['x-bergamotdoor-deadline-ms']) <= 1500
        assert seen.at_s >= context.made_at_s[item], seen


def record_most_running(site: Site, most: Counter[str]) -> None:
    """Record the most score calls that each service ran at the same time."""
    for service in site.services.values():
        run = service.run

        async def recorded(
            request: HttpRequest,
            headers: dict[str, str],
            body: bytes,
            service: Upstream = service,
            run: Callable[..., Awaitable[HttpResponse]] = run,
        ) -> HttpResponse:
            running = sum(one.startswith('score-') for one in service.running)
            most[service.name] = max(most[service.name], running)
            return await run(request, headers, body)

        setattr(service, 'run', recorded)  # noqa: B010


@given('a site that scores {count:d} texts at once while callers send calls')
def burst(context: Any, count: int) -> None:
    async def scene(site: Site) -> None:
        await site.start(engines=10)
        for service in site.services.values():
            service.work_s = SCORE_CALL_S
        context.most = Counter()
        record_most_running(site, context.most)
        started_at = site.clock.elapsed()
        await submit_job(
            site,
            [[5, 5, 5, 5] for _ in range(count // 4)],
            score_path=SCORE_PATH,
        )
        context.waits_s = []
        reading = asyncio.create_task(site.all_results('entry-0', JOB))
        for number in range(30):
            await asyncio.sleep(0.03)
            sent_at = site.clock.elapsed()
            reply = await site.ask(
                'entry-1', 'POST', '/book/x', Request_Id=f'call-{number}'
            )
            assert reply is not None
            assert reply.status == 200, reply.status
            context.waits_s.append(
                (site.clock.elapsed() - sent_at).total_seconds()
            )
        context.results = await reading
        last_s = max(seen.at_s for seen in score_calls(site))
        context.took_s = last_s + SCORE_CALL_S - started_at.total_seconds()

    play(scene)


@then(
    'no service ever had more than {most:d} score calls for its {slots:d} slots'
)
def few_score_calls(context: Any, most: int, slots: int) -> None:
    assert most < slots
    assert context.most
    assert max(context.most.values()) <= most, context.most


@then('every caller was answered within {most_ms:d} ms')
def callers_answered(context: Any, most_ms: int) -> None:
    assert max(context.waits_s) * 1000 <= most_ms, context.waits_s


@then(
    'all {count:d} texts are scored within {most_s:g} s, the last call included'
)
def scored_within(context: Any, count: int, most_s: float) -> None:
    assert len(context.results) == count
    assert all(has_own_score(result) for result in context.results)
    assert context.took_s <= most_s, context.took_s


def scored_spec(item: str, group: str) -> ItemSpec:
    call = ScoreCall(score_id(item), 'h', SCORE_PATH, b'')
    return ItemSpec(
        ItemId(item), '/p', (), b'', GroupId(group), score_call=call
    )


@given('a queue with texts of a group of 3 open items and of one of 1')
def queue(context: Any) -> None:
    context.queue = ScoreQueue()
    for item, group in (('a', 'large'), ('b', 'large'), ('c', 'small')):
        spec = scored_spec(item, group)
        text = ItemResult(spec.item, ItemState.COMPLETED, 'text')
        context.queue.add(spec, text)
    context.open = {'large': 3, 'small': 1}


@then('the text of the smaller group is scored first')
def small_first(context: Any) -> None:
    ready = context.queue.ready_texts(context.open.get, dt.timedelta())
    assert [one.spec.item for one in ready] == ['c', 'a', 'b']


@given('a site whose service always fails on the score of an item')
def always_fails(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(services=5)
        for service in site.services.values():
            service.always_fail.add(score_id(f'{JOB}.0.1'))
        await submit_job(site, [[3, 3], [3, 3]], score_path=SCORE_PATH)
        await read_to_end(context, site, 'entry-0')

    play(scene)


@then(
    'the item is listed as lost after {count:d} score calls, the others are '
    'scored'
)
def lost_alone(context: Any, count: int) -> None:
    states = {one['id']: one['state'] for one in context.results}
    assert states.pop(f'{JOB}.0.1') == 'lost', states
    assert set(states.values()) == {'completed'}, states
    sent = Counter(seen.request for seen in context.calls)
    assert sent[score_id(f'{JOB}.0.1')] == count, sent
    assert all(one.get('score') for one in context.results if one['text'])


@then('the step took at most {most_s:g} s')
def took(context: Any, most_s: float) -> None:
    assert context.took_s <= most_s, context.took_s


#: Kinds of answers that are modes of an upstream.
MODES = {
    'with a broken body': UpstreamMode.BROKEN,
    'with a refusal': UpstreamMode.FULL,
    'with silence': UpstreamMode.DARK,
    'with 504': UpstreamMode.LATE,
}


def break_answers(site: Site, kind: str) -> None:
    """Have all services answer in a way that proves no score."""
    mode = MODES.get(kind)
    for service in site.services.values():
        if mode:
            service.mode = mode
        elif kind == 'without a stamp':
            setattr(service, 'stamp', lambda _: '')  # noqa: B010
        else:
            fields = type(service).fields.__get__(service)
            setattr(  # noqa: B010
                service, 'fields', lambda _, fields=fields: fields('another')
            )


def repair_answers(site: Site) -> None:
    """Have all services answer well again."""
    for service in site.services.values():
        service.mode = UpstreamMode.GOOD
        for name in ('stamp', 'fields'):
            service.__dict__.pop(name, None)


@given('a site whose service answers score calls {kind} for {seconds:g} s')
def broken_answers(context: Any, kind: str, seconds: float) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        break_answers(site, kind)
        await submit_job(site, [[3, 3], [3, 3]], score_path=SCORE_PATH)
        await asyncio.sleep(seconds)
        repair_answers(site)
        await read_to_end(context, site, 'entry-0')

    play(scene)


@then('every result has the score of its item')
def every_scored(context: Any) -> None:
    assert len(context.results) == 4, context.results
    assert all(has_own_score(result) for result in context.results), (
        context.results
    )


@then('fewer than {most:d} score calls were sent for an item')
def few_calls(context: Any, most: int) -> None:
    sent = Counter(seen.request for seen in context.calls)
    assert max(sent.values()) < most, sent


@given('a site whose route for score calls is added after {after:g} s')
def route_added(context: Any, after: float) -> None:
    async def scene(site: Site) -> None:
        score_route = site.routes.pop()
        assert score_route['path_prefix'] == SCORE_PATH
        await site.start()
        await submit_job(site, [[3, 3], [3, 3]], score_path=SCORE_PATH)
        await asyncio.sleep(after)
        assert not score_calls(site)
        site.routes.append(score_route)
        site.put_manifest()
        await read_to_end(context, site, 'entry-0')

    play(scene)


async def leave_texts_unscored(site: Site) -> str:
    """Run a job until its texts wait for their scores; return its owner."""
    await site.start()
    set_services(site, UpstreamMode.FULL)
    await submit_job(site, [[20, 20], [20, 20]], score_path=SCORE_PATH)
    await asyncio.sleep(2.5)
    return owner_of(site)


@given('a site whose owner is stopped while its service is away')
def stopped_unscored(context: Any) -> None:
    async def scene(site: Site) -> None:
        owner = await leave_texts_unscored(site)
        stopping = asyncio.create_task(site.entries.pop(owner).stop())
        await asyncio.sleep(1)
        set_services(site, UpstreamMode.GOOD)
        await read_to_end(context, site, other_entry(site, owner))
        await stopping

    play(scene)


@given('a site whose owner is killed while its service is away')
def killed_unscored(context: Any) -> None:
    async def scene(site: Site) -> None:
        owner = await leave_texts_unscored(site)
        await site.kill(owner)
        set_services(site, UpstreamMode.GOOD)
        await read_to_end(context, site, other_entry(site, owner))

    play(scene)


@then('no text was generated twice')
def generated_once(context: Any) -> None:
    assert len(context.starts) == 4, context.starts
    assert all(begun == [0] for begun in context.starts.values()), (
        context.starts
    )


@given('a site whose owner is stopped while a scored group waits')
def stopped_waiting(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        await submit_job(site, [[3, 3, 3, 60]], score_path=SCORE_PATH)
        await asyncio.sleep(1)
        owner = owner_of(site)
        stopping = asyncio.create_task(site.entries.pop(owner).stop())
        await read_to_end(context, site, other_entry(site, owner))
        await stopping

    play(scene)


@then('each score call was sent once')
def sent_once(context: Any) -> None:
    sent = Counter(seen.request for seen in context.calls)
    assert len(sent) == 4, sent
    assert set(sent.values()) == {1}, sent


@given('a site whose owner is stopped after two failed score calls')
def stopped_failing(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start(services=2)
        for service in site.services.values():
            service.always_fail.add(score_id(f'{JOB}.0.0'))
        await submit_job(site, [[3, 3]], score_path=SCORE_PATH)
        owner = owner_of(site)
        while len(score_calls(site)) < 3:
            await asyncio.sleep(0.01)
        # Two upstreams have answered 500. The stop happens during the pause
        # of 0.1 s before the next attempt.
        await asyncio.sleep(0.06)
        stopping = asyncio.create_task(site.entries.pop(owner).stop())
        await read_to_end(context, site, other_entry(site, owner))
        await stopping

    play(scene)


@then('the item was given up after {count:d} score calls in all')
def given_up(context: Any, count: int) -> None:
    states = {one['id']: one['state'] for one in context.results}
    assert states[f'{JOB}.0.0'] == 'lost', states
    sent = Counter(seen.request for seen in context.calls)
    assert sent[score_id(f'{JOB}.0.0')] == count, sent


@given('a site whose job ends while its texts wait for the service')
def ended(context: Any) -> None:
    async def scene(site: Site) -> None:
        await leave_texts_unscored(site)
        reply = await site.ask('entry-1', 'DELETE', f'/-/lots/{JOB}')
        assert reply is not None
        assert reply.status == 200, reply.status
        await asyncio.sleep(0.1)
        set_services(site, UpstreamMode.GOOD)
        await asyncio.sleep(3)
        context.calls = score_calls(site)

    play(scene)


@given('a site whose job ends while its service is slow')
def ended_slowly(context: Any) -> None:
    async def scene(site: Site) -> None:
        await site.start()
        for slow in site.services.values():
            slow.work_s = 1.3
        await submit_job(site, [[3, 3], [3, 3]], score_path=SCORE_PATH)
        await asyncio.sleep(0.5)
        assert any(service.running for service in site.services.values())
        reply = await site.ask('entry-1', 'DELETE', f'/-/lots/{JOB}')
        assert reply is not None
        assert reply.status == 200, reply.status
        await asyncio.sleep(0.3)
        context.running = [
            request
            for service in site.services.values()
            for request in service.running
        ]

    play(scene)


@then('no service works on a score call 0.3 s later')
def idle(context: Any) -> None:
    assert not context.running, context.running


@then('no score call is sent later than 100 ms after the end')
def none_later(context: Any) -> None:
    assert not context.calls, context.calls
