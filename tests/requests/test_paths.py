"""Tests of requests from the caller to the target and back."""

from __future__ import annotations

import asyncio
import collections.abc
import gc
import tracemalloc
import typing

import pytest

from tests.requests import rig as rigs
from tests.targets import scripted
from wigeonhatch import codes
from wigeonhatch.requests import dependencies

RESULT = dependencies.AttemptResult
NOT_RUN = codes.Ran.NOT_RUN.value
UNKNOWN = codes.Ran.UNKNOWN.value
# Entry host, and host that owns the target.
ROUTES = [rigs.LOCAL, rigs.FAR, ('h2', 'h3')]
Route = tuple[str, str]


@pytest.mark.parametrize('route', ROUTES)
@scripted.run_on_uvloop
async def test_response_is_complete_and_own(route: Route) -> None:
    """Guards against lost, mixed up or altered bytes on each kind of route."""

    async def echo(
        seen: scripted.ReceivedRequest, writer: scripted.Writer
    ) -> None:
        await scripted.respond(seen.body, headers=b'X-A: b\r\n')(seen, writer)

    entry, owner = route
    async with rigs.serving(route, echo) as (rig, target):
        rig.hosts[owner].slots.limit = 20
        bodies = [b'%d,' % i * (i * 997 % 19_000) for i in range(12)]

        async def call(body: bytes) -> rigs.Answer:
            return await rig.call(entry, 'PUT', content=body)

        answers = []
        for start in range(0, len(bodies), 6):
            calls = [call(body) for body in bodies[start : start + 6]]
            answers += await asyncio.gather(*calls)
        assert [answer.content for answer in answers] == bodies
        assert {answer.headers['x-a'] for answer in answers} == {b'b'}
        head = target.requests[0].head.lower()
        deadline = head.split(b'wigeonhatch-deadline-ms: ')[1].split(b'\r')[0]
        assert 0 < int(deadline) <= rigs.LIMITS.default_deadline_ms
        assert head.count(b'wigeonhatch-request-id: ') == 1
        assert not rig.hosts[owner].slots.grants
        token_requests = (
            rig.hosts['h1'].links.token_requests
            + rig.hosts['h2'].links.token_requests
        )
        sent_bytes = sum(size for _, size, *_ in token_requests)
        is_far = (entry, owner) == ('h1', 'h2')
        assert (sent_bytes > 2 * sum(map(len, bodies))) == is_far


@pytest.mark.parametrize('route', ROUTES)
@scripted.run_on_uvloop
async def test_large_upload_uses_little_memory(route: Route) -> None:
    """Guards against a large body that is buffered before it is forwarded.

    The request has the longest deadline: tracing memory slows the upload down,
    so that the default deadline would end it on a busy machine.
    """
    chunk = b'u' * 65_536
    count = 800

    async def chunks() -> collections.abc.AsyncIterator[bytes]:
        for _ in range(count):
            yield chunk

    entry = route[0]
    async with rigs.serving(route, scripted.respond(b'up')) as (rig, target):
        gc.collect()
        tracemalloc.start()
        answer = await rig.call(
            entry,
            'PUT',
            headers={
                'Content-Length': str(count * len(chunk)),
                'Wigeonhatch-Deadline-Ms': str(rigs.LIMITS.max_deadline_ms),
            },
            content=chunks(),
        )
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert answer.content == b'up'
        assert target.requests[0].body_bytes == count * len(chunk)
        assert peak_bytes < 16 * 1024 * 1024


TRUNCATED: dict[str, scripted.Script] = {
    'short': scripted.respond(b'x' * 300_000, declared=400_000),
    'chunked': scripted.send_raw(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'40000\r\n' + b'x' * 0x40000 + b'\r\n'
    ),
}


@pytest.mark.parametrize('route', ROUTES)
@pytest.mark.parametrize('fault', TRUNCATED)
@scripted.run_on_uvloop
async def test_truncated_response_never_looks_complete(
    route: Route, fault: str
) -> None:
    """Guards against a truncated response that looks complete."""
    entry, owner = route
    async with rigs.serving(route, TRUNCATED[fault]) as (rig, target):
        raw = await rig.send_raw(
            entry, b'GET /svc/x HTTP/1.1\r\nHost: x\r\n\r\n'
        )
        if raw.startswith(b'HTTP/1.1 200'):
            head, _, rest = raw.partition(b'\r\n\r\n')
            assert b'400000' in head or b'chunked' in head
            assert len(rest) < 400_000
            assert not rest.endswith(b'0\r\n\r\n')
        else:
            assert b'RESPONSE_INCOMPLETE' in raw
        assert not rig.hosts[owner].slots.grants


@pytest.mark.parametrize('route', ROUTES)
@scripted.run_on_uvloop
async def test_disconnect_of_the_caller_cancels_its_request(
    route: Route,
) -> None:
    """Guards against slots that stay occupied after callers disconnect."""
    entry, owner = route
    async with rigs.serving(route, scripted.hang) as (rig, target):
        call = asyncio.ensure_future(rig.call(entry))
        await scripted.until(lambda: target.requests)
        assert len(rig.hosts[owner].slots.grants) == 1
        call.cancel()
        await scripted.until(lambda: not rig.hosts[owner].slots.grants)
        await scripted.until(lambda: not target.open_count)
        assert rig.hosts[owner].slots.results == [RESULT.CANCELLED]


@scripted.run_on_uvloop
async def test_slow_reader_does_not_hold_a_small_response() -> None:
    """Guards against a slot that is occupied until the caller has read."""
    async with rigs.serving(rigs.LOCAL, scripted.respond(b'x' * 60_000)) as (
        rig,
        target,
    ):
        _, writer = await asyncio.open_connection(
            '127.0.0.1', rig.port_by_host['h1']
        )
        writer.write(b'GET /svc/x HTTP/1.1\r\nHost: x\r\n\r\n')
        slots = rig.hosts['h1'].slots
        await scripted.until(lambda: slots.results == [RESULT.SERVED])
        writer.close()


# Outcome of one attempt, and the refusal when no retry is possible.
ATTEMPTS = {
    'shed': (
        scripted.SHED,
        'TARGET_SHED',
        NOT_RUN,
        RESULT.SHED,
    ),
    'lost': (scripted.drop, 'TARGET_LOST', UNKNOWN, RESULT.LOST),
    'garbage': (
        scripted.send_raw(b'garbage\r\n\r\n'),
        'TARGET_PROTOCOL',
        UNKNOWN,
        RESULT.LOST,
    ),
    'hang': (
        scripted.hang,
        'DEADLINE_EXCEEDED_RUNNING',
        UNKNOWN,
        RESULT.TIMEOUT,
    ),
}


@pytest.mark.parametrize('route', ROUTES)
@pytest.mark.parametrize('name', ATTEMPTS)
@scripted.run_on_uvloop
async def test_refusal_reports_whether_the_request_ran(
    route: Route, name: str
) -> None:
    """Guards against "not run" for a request that a target received, and
    against a slot that is not released with the right result."""
    script, code, ran, result = ATTEMPTS[name]
    entry, owner = route
    async with rigs.serving(route, script) as (rig, target):
        headers = {'Wigeonhatch-Deadline-Ms': '400'}
        answer = await rig.call(entry, headers=headers)
        assert answer.result == (code, ran)
        assert answer.headers['wigeonhatch-ran'] == ran.encode()
        assert set(rig.hosts[owner].slots.results) == {result}
        # A remote host is not retried; local attempts are.
        tries = 1 if name == 'hang' or entry != owner else 3
        assert len(target.requests) == tries


@scripted.run_on_uvloop
async def test_plain_503_is_the_response_of_the_target() -> None:
    """Guards against "not run" for a 503 without that field, and against a
    target that imitates a refusal by this program."""
    script = scripted.respond(
        b'busy', status=503, headers=b'Wigeonhatch-Code: 201\r\n'
    )
    async with rigs.serving(rigs.LOCAL, script) as (rig, target):
        answer = await rig.call('h1')
        assert (answer.status, answer.content) == (503, b'busy')
        assert 'wigeonhatch-code' not in answer.headers
        assert rig.hosts['h1'].slots.results == [RESULT.SERVED]


@scripted.run_on_uvloop
async def test_idempotent_request_is_retried_within_the_budget() -> None:
    """Guards against failures that a retry would have avoided, and against
    retries that amplify an overload."""
    async with rigs.serving(
        rigs.LOCAL, scripted.drop, scripted.SHED, scripted.respond(b'third')
    ) as (rig, target):
        assert (await rig.call('h1')).content == b'third'
        target.scripts = [scripted.SHED]
        target.requests.clear()
        for _ in range(30):
            await rig.call('h1')
        # 30 requests, 8 retries left in the budget and 10% of the requests.
        assert 38 <= len(target.requests) <= 42


@scripted.run_on_uvloop
async def test_full_host_is_skipped() -> None:
    """Guards against a refusal while another route has a free slot."""
    async with rigs.serving(rigs.FAR, scripted.respond(b'far')) as (
        rig,
        target,
    ):
        rig.hosts['h1'].route_hosts = ['h1', 'h2']
        assert (await rig.call('h1')).content == b'far'
        rig.hosts['h1'].links.has_tokens = False
        answer = await rig.call('h1')
        assert answer.result == ('LINK_FULL', NOT_RUN)
        del rig.peer_ports['h2']
        answer = await rig.call('h1')
        assert answer.result == ('PEER_UNREACHABLE', NOT_RUN)


@scripted.run_on_uvloop
async def test_lost_peer_is_unknown() -> None:
    """Guards against "not run" when the owner is lost after the head."""
    async with rigs.serving(rigs.FAR, scripted.hang) as (rig, target):
        call = asyncio.ensure_future(rig.call('h1'))
        await scripted.until(lambda: target.requests)
        rig.hosts['h1']._channels['h2'].close()
        answer = await call
        assert answer.result == ('PEER_LOST', UNKNOWN)
        await scripted.until(lambda: not rig.hosts['h2'].slots.grants)


@scripted.run_on_uvloop
async def test_preempted_request_is_retried() -> None:
    """Guards against a preempted request that is not retried, and against a
    preemption that truncates a response."""
    async with rigs.serving(
        rigs.LOCAL, scripted.hang, scripted.respond(b'again')
    ) as (rig, target):
        call = asyncio.ensure_future(rig.call('h1'))
        await scripted.until(lambda: target.requests)
        slots = rig.hosts['h1'].slots
        preempt: typing.Any = slots.grants[0].request.on_preempt
        preempt()
        assert (await call).content == b'again'
        assert slots.results == [RESULT.CANCELLED, RESULT.SERVED]


@scripted.run_on_uvloop
async def test_interrupted_upload_is_reported() -> None:
    """Guards against a truncated upload that counts as complete, on the local
    route and on a forwarded one."""

    async def chunks() -> collections.abc.AsyncIterator[bytes]:
        yield b'a' * 100_000
        raise ConnectionError

    for owner in ('h1', 'h2'):
        async with rigs.serving(('h1', owner), scripted.respond()) as (
            rig,
            target,
        ):
            with pytest.raises(ConnectionError):
                await rig.call(
                    'h1',
                    'PUT',
                    headers={'Content-Length': '300000'},
                    content=chunks(),
                )
            host = rig.hosts[owner]
            await scripted.until(lambda: host.slots.results)  # noqa: B023
            assert host.slots.results == [RESULT.CANCELLED]
            assert [item.body_bytes for item in target.requests] != [300_000]
            await scripted.until(lambda: not target.open_count)  # noqa: B023
