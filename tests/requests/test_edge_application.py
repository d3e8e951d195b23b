"""Tests of the callers' interface of a host on a platform."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import logging
import typing

import anyio
import pytest

from tests.routes import test_table
from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.requests import edge
from wigeonhatch.requests import forward_fields
from wigeonhatch.requests import relay_model
from wigeonhatch.routes import config_lag
from wigeonhatch.routes import table as tables

CODE = codes.ResultCode
DEADLINE_MS = 1_200
RAN = codes.Ran


class _Relay:
    """Relay that returns one result for all requests."""

    def __init__(
        self, result: relay_model.Response | relay_model.Refusal
    ) -> None:
        self.result = result
        self.requests: list[relay_model.RelayRequest] = []

    async def run(
        self, request: relay_model.RelayRequest, body: object, control: object
    ) -> relay_model.Response | relay_model.Refusal:
        self.requests.append(request)
        return self.result


class Call:
    """One request and its response."""

    def __init__(
        self,
        result: relay_model.Response | relay_model.Refusal,
        path: str = '/a/x',
        version: int = 1,
        headers: collections.abc.Sequence[tuple[bytes, bytes]] = (),
        is_for_peers: bool = False,
    ) -> None:
        self.relay = _Relay(result)
        self.clock = clocks.ManualClock()
        routes = tables.RouteTable()
        if version:
            route = test_table.build_route('r', '/a/', ('s', 1))
            routes.configure(test_table.build_config(version, route))
        self.lag = config_lag.ConfigLag(self.clock)
        self.lag.on_config(version)
        self.application = edge.EdgeApplication(
            routes,
            self.lag,
            typing.cast(typing.Any, self.relay),
            lambda target: 'north',
            lambda *arguments: None,
            self.clock,
            is_for_peers,
        )
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b''
        self._path = path
        self._headers = headers

    def run(self) -> Call:
        """Serve the request."""
        anyio.run(self._run)
        return self

    async def _run(self) -> None:
        scope = {
            'type': 'http',
            'method': 'GET',
            'raw_path': self._path.encode(),
            'query_string': b'q=1',
            'headers': [
                (b'host', b'x.example'),
                (b'request-id', b'r1'),
                (b'deadline-ms', b'%d' % DEADLINE_MS),
                *self._headers,
            ],
        }

        async def receive() -> dict[str, object]:
            await anyio.sleep_forever()
            raise AssertionError

        async def send(message: typing.MutableMapping[str, object]) -> None:
            if message['type'] == 'http.response.start':
                self.status = typing.cast(int, message['status'])
                self.headers = dict(
                    typing.cast(typing.Any, message['headers'])
                )
            else:
                self.body += typing.cast(bytes, message['body'])

        await self.application(scope, receive, send)


def refusal(code: codes.ResultCode, ran: codes.Ran) -> relay_model.Refusal:
    """Build a refusal."""
    return relay_model.Refusal(outcome.Failure(code, '', ran), 250)


RELAYED = relay_model.Response(201, ((b'x-a', b'b'),), b'body', 't1')


def test_response_is_forwarded_with_its_length() -> None:
    """Guards against a response that differs from the target's."""
    call = Call(RELAYED).run()
    assert (call.status, call.body) == (201, b'body')
    assert call.headers == {b'x-a': b'b', b'content-length': b'4'}
    request = call.relay.requests[0]
    assert request.path == b'/a/x?q=1'
    assert request.deadline_ms - request.received_ms == 1_200


@pytest.mark.parametrize('code', list(CODE))
@pytest.mark.parametrize('ran', list(RAN))
def test_status_matches_whether_the_request_ran(
    code: codes.ResultCode, ran: codes.Ran
) -> None:
    """Guards against "not run" by status for a request that may have run."""
    call = Call(refusal(code, ran)).run()
    if ran is RAN.NOT_RUN:
        assert call.status == 503 or 400 <= call.status < 500
    else:
        assert call.status not in (408, 421, 429, 503)
    if call.status == 503:
        assert call.headers[b'retry-after'] == b'0.250'


def test_unknown_route_and_missing_configuration() -> None:
    """Guards against 404 from a host that has no configuration yet."""
    assert Call(RELAYED, '/b').run().status == 404
    assert Call(RELAYED, version=0).run().status == 503


def test_refusal_of_an_unknown_route_names_the_request() -> None:
    """Guards against refusals that no log line can be found for."""
    call = Call(RELAYED, '/b').run()
    assert json.loads(call.body)['request_id'] == 'r1'


def test_stopping_host_closes_and_then_refuses() -> None:
    """Guards against connections that stay open to a stopping host."""
    call = Call(RELAYED)
    call.application.end_ms = call.clock.now_ms + DEADLINE_MS
    assert call.run().headers[b'connection'] == b'close'
    call.application.end_ms = call.clock.now_ms
    assert call.run().status == 503
    assert len(call.relay.requests) == 1


@pytest.mark.parametrize('is_for_peers', [False, True])
def test_stopping_host_accepts_only_what_ends_before_it(
    is_for_peers: bool,
) -> None:
    """Guards against a request that is accepted and then interrupted."""
    limits = forward_fields.encode_limits(forward_fields.Limits(1, 1))
    call = Call(RELAYED, is_for_peers=is_for_peers, headers=[limits])
    call.application.end_ms = call.clock.now_ms + DEADLINE_MS - 1
    assert call.run().status == 503
    assert b'retry-after' in call.headers
    assert call.relay.requests == []
    call.application.end_ms += 1
    assert call.run().status == RELAYED.status


@pytest.mark.parametrize('path', ['/a/x', '/added/x'])
@pytest.mark.parametrize('version', [1, 2])
def test_peer_that_is_behind_does_not_decide(path: str, version: int) -> None:
    """Guards against a caller who gets the 404 of an older configuration."""
    limits = forward_fields.encode_limits(forward_fields.Limits(1, 2))
    call = Call(
        RELAYED,
        path=path,
        version=version,
        is_for_peers=True,
        headers=[limits],
    )
    expected = RELAYED.status if path == '/a/x' else 404
    if version < 2:
        expected = 503
    assert call.run().status == expected
    assert len(call.relay.requests) == (expected == RELAYED.status)


def test_every_request_has_a_result(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a request that ends without a log line."""
    caplog.set_level(logging.INFO)
    call = Call(RELAYED)
    call.run()

    async def run(*arguments: object) -> typing.Any:
        raise asyncio.CancelledError

    call.relay.run = run  # type: ignore[method-assign]
    with contextlib.suppress(asyncio.CancelledError):
        call.run()
    refused = Call(RELAYED, path='/unknown')
    refused.run()
    total = call.application.counts
    total.add(refused.application.counts)
    assert dataclasses.asdict(total) == {
        'received': 3,
        'served': 1,
        'refused': 1,
        'cut': 1,
    }
    assert total.in_progress == 0
    lines = [
        vars(record)['event_fields']['request_id']
        for record in caplog.records
        if record.message in ('request cut', 'request refused')
    ]
    assert lines == ['r1', 'r1']
