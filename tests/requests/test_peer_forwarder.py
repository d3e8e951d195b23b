"""Tests of requests that peers run for a host without links to targets."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses

import pytest

from tests.requests import test_edge_application
from tests.routes import test_table
from tests.targets import scripted
from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import forward_fields
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import model
from wigeonhatch.requests import peer_forwarder
from wigeonhatch.requests import relay_model
from wigeonhatch.targets import client as target_client

CODE = codes.ResultCode
RAN = codes.Ran
CLOCK = clocks.Clock()
ATTEMPTS = 2
TIMEOUT_MS = 1_500
_MAX_KNOWN = peer_forwarder.MAX_KNOWN_PEERS


def decide(
    code: codes.ResultCode, ran: codes.Ran, retry_after_ms: int = 0
) -> scripted.Script:
    """Respond like a peer that decided on a request."""
    name, value = forward_fields.encode_decision(
        forward_fields.Decision(code, ran, retry_after_ms)
    )
    status = 200 if code is CODE.OK else 503
    return scripted.respond(
        b'whole',
        status,
        headers=b'Request-Id: r1\r\nResponse-Signature: s\r\n%b: %b\r\n'
        % (name, value),
    )


SERVED = decide(CODE.OK, RAN.RAN)
SERVED_WITHOUT_LENGTH = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n'
    b'%b: %b\r\n\r\nwhol'
    % forward_fields.encode_decision(
        forward_fields.Decision(CODE.OK, RAN.RAN, 0)
    )
)


class _Scene:
    """Host whose peers respond as scripted."""

    def __init__(self, peers: list[scripted.ScriptedTarget]) -> None:
        self.peers = peers
        self.control = model.RequestControl()
        self.allowed: list[frozenset[str]] = []
        self.forwarder = peer_forwarder.PeerForwarder(
            target_client.TargetClient(CLOCK), self._find_peers, CLOCK
        )

    def _find_peers(
        self, allowed_regions: frozenset[str]
    ) -> list[peer_forwarder.Peer]:
        self.allowed.append(allowed_regions)
        return [
            peer_forwarder.Peer(f'h{number}', peer.address)
            for number, peer in enumerate(self.peers)
        ]

    async def forward(
        self, content: bytes = b'body', is_streamed: bool = False
    ) -> relay_model.Response | relay_model.Refusal | None:
        """Forward one request."""
        now_ms = CLOCK.now_ms
        route = dataclasses.replace(
            test_table.build_route('r', '/a/', ('s', 1)),
            allowed_regions=frozenset({'north'}),
        )
        request = relay_model.RelayRequest(
            b'r1',
            route,
            's',
            7,
            'POST',
            b'/a/x?q=1',
            b'x.example',
            ((b'request-id', b'r1'), (b'deadline-ms', b'9999')),
            b'k',
            now_ms,
            now_ms + TIMEOUT_MS,
        )
        chunks = iter([content, None])

        async def read_chunk() -> bytes | None:
            return next(chunks)

        body = bodies.RequestBody(
            len(content), read_chunk, 10_000, 0 if is_streamed else 1_000
        )
        await body.buffer()
        return await self.forwarder.forward(
            request, body, self.control, ATTEMPTS
        )


@contextlib.asynccontextmanager
async def _scene(
    *scripts: scripted.Script,
) -> collections.abc.AsyncIterator[_Scene]:
    """Run one peer for each script."""
    async with contextlib.AsyncExitStack() as stack:
        yield _Scene(
            [
                await stack.enter_async_context(
                    scripted.ScriptedTarget(script)
                )
                for script in scripts
            ]
        )


@scripted.run_on_uvloop
async def test_peer_gets_the_request_unchanged_with_its_limits() -> None:
    """Guards against an altered request, more time or more attempts."""
    async with _scene(SERVED) as scene:
        result = await scene.forward()
        assert isinstance(result, relay_model.Response)
        assert (result.status, result.body) == (200, b'whole')
        names = {name for name, _ in result.headers}
        assert fields.DECISION not in names
        received = scene.peers[0].requests[0]
        assert received.body == b'body'
        head = received.head.lower()
        assert head.startswith(b'post /a/x?q=1 ')
        assert b'wigeonhatch-forwarded: %d 7\r\n' % ATTEMPTS in head
        deadline = head.split(b'deadline-ms: ')[1].split(b'\r')[0]
        assert 0 < int(deadline) <= TIMEOUT_MS
        assert head.count(b'deadline-ms: ') == 1
        assert scene.allowed == [frozenset({'north'})]


@pytest.mark.parametrize(
    ('decision', 'is_tried_elsewhere'),
    [
        ((CODE.TARGET_CONNECT_FAILED, RAN.NOT_RUN), True),
        ((CODE.NOT_FOUND, RAN.NOT_RUN), True),
        ((CODE.NOT_READY, RAN.NOT_RUN), True),
        ((CODE.NO_CAPACITY, RAN.NOT_RUN), False),
        ((CODE.QUARANTINED, RAN.NOT_RUN), False),
        ((CODE.TARGET_LOST, RAN.UNKNOWN), False),
        ((CODE.TARGET_CONNECT_FAILED, RAN.UNKNOWN), False),
    ],
)
@scripted.run_on_uvloop
async def test_decision_of_a_peer_is_kept(
    decision: tuple[codes.ResultCode, codes.Ran], is_tried_elsewhere: bool
) -> None:
    """Guards against requests that run twice, and a false "not run"."""
    async with _scene(decide(*decision, 700), SERVED) as scene:
        result = await scene.forward()
        assert bool(scene.peers[1].requests) is is_tried_elsewhere
        if is_tried_elsewhere:
            assert isinstance(result, relay_model.Response)
        else:
            assert isinstance(result, relay_model.Refusal)
            failure = result.failure
            assert (failure.code, failure.ran) == decision
            assert result.retry_after_ms == 700


@pytest.mark.parametrize(
    'script',
    [
        scripted.drop,
        scripted.respond(b'x', 200),
        scripted.respond(b'x', 200, headers=b'Wigeonhatch-Decision: 0\r\n'),
        scripted.send_raw(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1'),
        scripted.send_raw(SERVED_WITHOUT_LENGTH),
    ],
)
@scripted.run_on_uvloop
async def test_peer_that_may_have_run_a_request_is_the_last(
    script: scripted.Script,
) -> None:
    """Guards against a second run, and a part that counts as whole."""
    async with _scene(script, SERVED) as scene:
        result = await scene.forward()
        assert isinstance(result, relay_model.Refusal)
        assert result.failure.ran is not RAN.NOT_RUN
        assert not scene.peers[1].requests


@scripted.run_on_uvloop
async def test_unreachable_peers_leave_the_request_to_the_host() -> None:
    """Guards against a refusal because peers cannot be reached."""
    async with _scene(SERVED, SERVED) as scene:
        for peer in scene.peers:
            assert peer._server is not None
            peer._server.close()
        assert await scene.forward() is None
    async with _scene() as scene:
        assert await scene.forward() is None


@scripted.run_on_uvloop
async def test_streamed_body_is_sent_to_one_peer() -> None:
    """Guards against a second peer that gets only a part of the body."""
    refuse = decide(CODE.NOT_READY, RAN.NOT_RUN)
    async with _scene(refuse, SERVED) as scene:
        result = await scene.forward(b'x' * 2_000, is_streamed=True)
        assert isinstance(result, relay_model.Refusal)
        assert result.failure.ran is RAN.NOT_RUN
        assert not scene.peers[1].requests


@scripted.run_on_uvloop
async def test_disconnect_of_the_caller_reaches_the_peer() -> None:
    """Guards against requests that go on after their caller has left."""
    async with _scene(scripted.hang, SERVED) as scene:
        task = asyncio.ensure_future(scene.forward())
        await scripted.until(lambda: scene.peers[0].requests)
        scene.control.on_caller_gone()
        result = await task
        assert isinstance(result, relay_model.Refusal)
        assert result.failure.code is CODE.CALLER_GONE
        await scripted.until(lambda: not scene.peers[0].open_count)
        assert not scene.peers[1].requests


FORWARDED = (fields.FORWARDED, b'1 4')


@pytest.mark.parametrize(
    ('header', 'version', 'is_run'),
    [
        (FORWARDED, 4, True),
        (FORWARDED, 3, False),
        ((b'x-other', b'1 4'), 4, False),
        ((fields.FORWARDED, b'x'), 4, False),
    ],
)
def test_peer_applies_limits_and_does_not_forward(
    header: tuple[bytes, bytes], version: int, is_run: bool
) -> None:
    """Guards against loops, older configurations and further attempts."""
    call = test_edge_application.Call(
        test_edge_application.RELAYED,
        version=version,
        headers=[header],
        is_for_peers=True,
    ).run()
    decision = forward_fields.find_decision(tuple(call.headers.items()))
    assert decision is not None
    if not is_run:
        assert (decision.code, decision.ran) == (CODE.NOT_READY, RAN.NOT_RUN)
        return
    assert decision.code is CODE.OK
    request = call.relay.requests[0]
    assert request.is_forwarded
    assert request.route.max_attempts == 1
    assert fields.FORWARDED not in dict(request.headers)


def test_caller_cannot_pass_for_a_peer() -> None:
    """Guards against limits that a caller sets, or that reach targets."""
    call = test_edge_application.Call(
        test_edge_application.RELAYED, headers=[FORWARDED]
    ).run()
    request = call.relay.requests[0]
    assert not request.is_forwarded
    assert fields.FORWARDED not in dict(request.headers)
    assert fields.DECISION not in call.headers


@scripted.run_on_uvloop
async def test_connections_to_replaced_peers_are_closed() -> None:
    """Guards against memory that grows with each host that is replaced."""
    async with _scene(SERVED) as scene:
        known = scene.forwarder._address_by_host
        known.update({f'old{n}': '127.0.0.1:9' for n in range(_MAX_KNOWN)})
        assert isinstance(await scene.forward(), relay_model.Response)
        assert set(scene.forwarder._address_by_host) == {'h0'}
