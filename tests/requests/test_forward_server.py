"""Tests of the server of forwarded requests."""

from __future__ import annotations

import typing

import anyio
import pytest

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch import settings
from wigeonhatch.peers import peers_pb2
from wigeonhatch.requests import forward_server

DEADLINE_MS = 1_000


class Config:
    """Configuration with one service."""

    class current:
        """Version in force."""

        class config:
            """Its content."""

            service_by_name = {'s': None}


class Stream:
    """Stream with one request that has no body."""

    def __init__(self) -> None:
        head = peers_pb2.ForwardHead(
            request_id='r1', service='s', deadline_ms=DEADLINE_MS
        )
        self.replies: list[peers_pb2.ForwardReply] = []
        self._messages = [
            peers_pb2.ForwardRequest(head=head),
            peers_pb2.ForwardRequest(end=True),
        ]

    async def recv_message(self) -> peers_pb2.ForwardRequest:
        """Head or end of the request."""
        return self._messages.pop(0)

    async def send_message(
        self, message: peers_pb2.ForwardReply, **options: object
    ) -> None:
        """Record a reply."""
        self.replies.append(message)


class Runner:
    """Runner that counts the requests that it runs."""

    def __init__(self) -> None:
        self.count = 0

    async def run_local(self, *arguments: object) -> typing.Any:
        """Count a request."""
        self.count += 1
        return outcome.Failure(codes.ResultCode.NO_CAPACITY)


@pytest.mark.parametrize('left_ms', [None, DEADLINE_MS, DEADLINE_MS - 1])
def test_stopping_host_accepts_only_what_it_can_finish(
    left_ms: int | None,
) -> None:
    """Guards against a forwarded request that a stop interrupts."""
    clock = clocks.ManualClock()
    runner = Runner()
    server = forward_server.ForwardServer(
        clock,
        typing.cast(typing.Any, Config),
        typing.cast(typing.Any, runner),
        typing.cast(typing.Any, None),
        settings.Limits(),
    )
    server.end_ms = None if left_ms is None else clock.now_ms + left_ms
    stream = Stream()
    anyio.run(server.handle, stream)
    is_refused = stream.replies[-1].end.code == codes.ResultCode.NOT_READY
    assert is_refused == (left_ms == DEADLINE_MS - 1)
    assert runner.count == (not is_refused)
