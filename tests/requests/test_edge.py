"""Tests of refusals at the callers' interface."""

from __future__ import annotations

import asyncio
import typing

import pytest

from tests.requests import rig as rigs
from tests.targets import scripted
from wigeonhatch import codes
from wigeonhatch import settings
from wigeonhatch.requests import server

NOT_RUN = codes.Ran.NOT_RUN.value
LOOKUP = '/.wigeonhatch/v1/lookup'
DEADLINE = 'Wigeonhatch-Deadline-Ms'

# Path and headers; then expected status and name. No request is run.
REFUSED: list[tuple[str, dict[str, str], int, str]] = [
    ('/nope/x', {}, 404, 'UNKNOWN_SERVICE'),
    ('/', {}, 404, 'UNKNOWN_SERVICE'),
    ('/svc/x', {'Wigeonhatch-Client': 'no'}, 400, 'BAD_CLIENT_ADDRESS'),
    ('/svc/x', {'Wigeonhatch-Customer': 'x'}, 403, 'UNKNOWN_CUSTOMER'),
    ('/svc/x', {'Wigeonhatch-Non-Idempotent': '1'}, 400, 'KEY_REQUIRED'),
    ('/svc/x', rigs.keyed('x'), 400, 'KEY_MALFORMED'),
    ('/svc/x', {DEADLINE: '0'}, 400, 'DEADLINE_INVALID'),
    ('/svc/x', {DEADLINE: '-5'}, 400, 'DEADLINE_INVALID'),
    ('/svc/x', {DEADLINE: 'x'}, 400, 'DEADLINE_INVALID'),
    ('/svc/x', {DEADLINE: '60001'}, 400, 'DEADLINE_INVALID'),
    ('/svc/x', {'X-Long': 'x' * 4_200}, 431, 'HEADER_TOO_LARGE'),
    ('/svc/x', {'Content-Length': '2000000001'}, 413, 'BODY_TOO_LARGE'),
    (f'{LOOKUP}?service=x', {}, 404, 'UNKNOWN_SERVICE'),
    (f'{LOOKUP}?service=svc&client=1.2', {}, 400, 'BAD_CLIENT_ADDRESS'),
    (f'{LOOKUP}?service=svc&keys=65', {}, 400, 'BAD_REQUEST'),
    ('/.wigeonhatch/v2', {}, 404, 'NOT_FOUND'),
]


@scripted.run_on_uvloop
async def test_bad_heads_are_refused_without_a_slot() -> None:
    """Guards against an invalid request that takes a slot, gets a wrong code,
    or stops the host from serving others."""
    async with rigs.serving(rigs.LOCAL, scripted.respond()) as (rig, target):
        for path, headers, status, name in REFUSED:
            # Sent raw, since a client library rejects some of the heads.
            lines = ''.join(f'{n}: {v}\r\n' for n, v in headers.items())
            text = f'GET {path} HTTP/1.1\r\nConnection: close\r\n{lines}\r\n'
            raw = await rig.send_raw('h1', text.encode())
            assert raw.startswith(b'HTTP/1.1 %d' % status), (path, raw)
            assert f'"name":"{name}","ran":"{NOT_RUN}"'.encode() in raw
        assert rig.hosts['h1'].slots.acquire_count == 0
        rig.hosts['h1'].current = None
        assert (await rig.call('h1')).result == ('NOT_READY', NOT_RUN)
        rig.hosts['h1'].current = rig.versioned
        assert (await rig.call('h1')).content == b'ok'
        health = await rig.call('h1', path='/.wigeonhatch/v1/health')
        assert health.json == {'state': 'ok'}


@scripted.run_on_uvloop
async def test_stopping_host_accepts_only_what_ends_before_it() -> None:
    """Guards against a request that is accepted and then interrupted."""
    async with rigs.serving(rigs.LOCAL, scripted.respond()) as (rig, target):
        host = rig.hosts['h1']
        host.application.end_ms = host.clock.now_ms + 4_000
        late = await rig.call('h1', headers={DEADLINE: '5000'})
        assert late.result == ('NOT_READY', NOT_RUN)
        assert host.slots.acquire_count == 0
        in_time = await rig.call('h1', headers={DEADLINE: '3000'})
        assert in_time.content == b'ok'


HEAD = b'PUT /svc/x HTTP/1.1\r\nHost: x\r\n'
# Bytes that a sender sends before it stalls, and the refusal.
SENDERS = {
    'no head': (b'', 'SLOW_SENDER'),
    'half a head': (HEAD, 'SLOW_SENDER'),
    'endless head': (HEAD + b'X: ' + b'x' * 5_000, 'HEADER_TOO_LARGE'),
    'no HTTP': (b'\x16\x03\x01 nonsense\r\n\r\n', 'BAD_REQUEST'),
    'half a body': (HEAD + b'Content-Length: 9\r\n\r\nhalf', 'SLOW_SENDER'),
    'half a chunk': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n9\r\nhalf',
        'SLOW_SENDER',
    ),
    'two lengths': (
        HEAD + b'Content-Length: 9\r\nContent-Length: 8\r\n\r\n',
        'BAD_REQUEST',
    ),
}


@scripted.run_on_uvloop
async def test_slow_and_malformed_senders_take_no_slot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against senders that occupy a slot or a connection forever."""
    monkeypatch.setattr(server, '_LINGER_S', 0.2)
    limits = settings.Limits(max_body_gap_ms=300, max_header_bytes=4_096)
    monkeypatch.setattr(rigs, 'LIMITS', limits)
    async with rigs.running() as rig:
        rig.hosts['h1'].slots.targets = ['never used']
        calls = [rig.send_raw('h1', data) for data, _ in SENDERS.values()]
        answers = await asyncio.gather(*calls)
        for raw, (_, name) in zip(answers, SENDERS.values(), strict=True):
            assert f'"name":"{name}","ran":"{NOT_RUN}"'.encode() in raw, raw
        assert rig.hosts['h1'].slots.acquire_count == 0


@scripted.run_on_uvloop
async def test_short_body_is_refused() -> None:
    """Guards against a sender that ends the body early and gets no refusal."""
    async with rigs.running() as rig:
        half = HEAD + b'Content-Length: 9\r\n\r\nhalf'
        raw = await rig.send_raw('h1', half, sends_eof=True)
        assert b'"name":"BODY_LENGTH_MISMATCH"' in raw
        await scripted.until(lambda: rig.hosts['h1'].summaries)
        assert rig.hosts['h1'].slots.acquire_count == 0


@scripted.run_on_uvloop
async def test_refusal_of_an_upload_reaches_the_sender() -> None:
    """Guards against a connection reset that discards the refusal while the
    caller is still sending."""
    async with rigs.running() as rig:
        raw = await rig.send_raw(
            'h1',
            HEAD
            + b'Content-Length: 300000\r\nConnection: close\r\n\r\n'
            + b'x' * 300_000,
        )
        assert b'"name":"NO_CAPACITY","ran":"not run"' in raw


@scripted.run_on_uvloop
async def test_connection_limit_holds() -> None:
    """Guards against callers that exhaust the file descriptors."""
    async with rigs.running() as rig:
        port = rig.port_by_host['h1']
        writers: list[typing.Any] = []
        for _ in range(rigs.LIMITS.max_connections):
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writers.append(writer)
        raw = await rig.send_raw('h1', HEAD + b'\r\n')
        assert b'"name":"TOO_MANY_CONNECTIONS"' in raw
        for writer in writers:
            writer.close()
        await asyncio.sleep(0.1)
        health = await rig.call('h1', path='/.wigeonhatch/v1/health')
        assert health.status == 200
