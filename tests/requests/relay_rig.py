"""Relay with in-memory targets, for tests."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import anyio

from tests.balance import harness as harnesses
from tests.routes import test_table
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import model as request_model
from wigeonhatch.requests import relay as relays
from wigeonhatch.requests import relay_model
from wigeonhatch.requests import retry
from wigeonhatch.routes import model
from wigeonhatch.targets import request as target_request

CODE = codes.ResultCode
SIGNED = (b'response-signature', b's')
NOT_RUN = (b'not-executed', b'1')


class Response:
    """In-memory response of a target."""

    def __init__(
        self,
        status: int = 200,
        headers: tuple[tuple[bytes, bytes], ...] = (SIGNED,),
        chunks: tuple[bytes | outcome.Failure, ...] = (b'ok',),
        request_id: bytes = b'r1',
    ) -> None:
        self.status = status
        self.headers = ((b'request-id', request_id), *headers)
        self.on_received: collections.abc.Callable[[], None] | None = None
        self._chunks = list(chunks)

    async def read(self) -> bytes | outcome.Failure | None:
        return self._chunks.pop(0) if self._chunks else None

    async def discard(self) -> None:
        self._chunks.clear()

    async def close(self) -> None:
        self._chunks.clear()


Step = collections.abc.Callable[[], Response] | outcome.Failure | None
"""Result of one attempt; with None, the target never responds."""


class Client:
    """Client whose targets respond as scripted."""

    def __init__(self, *steps: Step) -> None:
        self.steps = list(steps)
        self.targets: list[str] = []
        self.heads: list[target_request.RequestHead] = []
        self.on_send: collections.abc.Callable[[], None] = lambda: None
        self.closed_idle: list[str] = []
        self.has_crashed = False
        self.on_crash: collections.abc.Callable[[str], None] = lambda _: None

    async def send(
        self,
        target: str,
        head: target_request.RequestHead,
        body: object,
        deadline_ms: int,
    ) -> outcome.Success[typing.Any] | outcome.Failure:
        self.targets.append(target)
        self.heads.append(head)
        self.on_send()
        step = self.steps.pop(0)
        if step is None:
            await anyio.sleep_forever()
        if isinstance(step, outcome.Failure):
            return step
        assert step is not None
        return outcome.Success(step())

    async def accepts_connections(self, target: str) -> bool:
        """Whether the target can be reached."""
        return True

    async def refuses_connections(self, target: str) -> bool:
        """Whether the target has crashed; if so, it starts again."""
        if self.has_crashed:
            self.on_crash(target)
        return self.has_crashed

    def close_idle(self, target: str) -> None:
        """Record the call; there are no connections."""
        self.closed_idle.append(target)


class Forwarder:
    """Forwarder with one result for all requests; None without peers."""

    def __init__(self) -> None:
        self.result: relay_model.Response | relay_model.Refusal | None = None
        self.attempts_left: list[int] = []

    async def forward(
        self,
        request: object,
        body: object,
        control: object,
        attempts_left: int,
    ) -> relay_model.Response | relay_model.Refusal | None:
        self.attempts_left.append(attempts_left)
        return self.result


class Rig:
    """Relay with scripted targets."""

    def __init__(self, *steps: Step, retries: int = 10) -> None:
        self.scene = harnesses.PickerHarness(
            harnesses.build_target(f't{number}') for number in range(4)
        )
        self.client = Client(*steps)
        self.client.on_crash = self._restart
        self.control = request_model.RequestControl()
        self.reach = self.scene.build_reach(self.client)
        self.forwarder = Forwarder()
        self.relay = relays.Relay(
            self.scene.picker,
            self.scene.loads,
            self.scene.ejections,
            self.scene.warmups,
            self.scene.statements,
            self.scene.rates,
            self.scene.targets,
            typing.cast(typing.Any, self.client),
            self.scene.quarantine,
            self.scene.detect_crashes(self.client),
            self.reach,
            typing.cast(typing.Any, self.forwarder),
            lambda: retry.RetryBudget(0, lambda: retries),
            self.scene.clock,
        )

    def _restart(self, name: str) -> None:
        record = self.scene.targets.record_by_name[name]
        self.scene.targets.update(
            [dataclasses.replace(record, started_ms=record.started_ms + 1)], ()
        )

    def run(
        self,
        kind: model.RequestKind = model.RequestKind.IDEMPOTENT,
        within_s: float = 5,
        is_forwarded: bool = False,
    ) -> relay_model.Response | relay_model.Refusal:
        """Run one request."""
        route = dataclasses.replace(
            test_table.build_route('r', '/a/', ('board', 1)),
            kind=kind,
            objective_ms=600,
            has_affinity=True,
        )
        now_ms = self.scene.clock.now_ms
        request = relay_model.RelayRequest(
            b'r1',
            route,
            'board',
            1,
            'POST',
            b'/a/x',
            b'x.example',
            ((b'request-id', b'r1'),),
            b'key',
            now_ms,
            now_ms + 2_000,
            is_forwarded,
        )

        async def read_chunk() -> bytes | None | outcome.Failure:
            return None

        body = bodies.RequestBody(0, read_chunk, 100)
        body.is_received = True

        async def main() -> relay_model.Response | relay_model.Refusal:
            with anyio.fail_after(within_s):
                result = await self.relay.run(request, body, self.control)
            # Lets the examination of a lost target end.
            await anyio.sleep(0.01)
            return result

        result = anyio.run(main)
        counts = self.scene.loads.own_counts()
        assert counts == {}, 'a request is still counted'
        return result


def refused(
    result: relay_model.Response | relay_model.Refusal,
) -> tuple[codes.ResultCode, codes.Ran]:
    """Result code of a refusal, and whether the request ran."""
    assert isinstance(result, relay_model.Refusal)
    return result.failure.code, result.failure.ran


def shed() -> Response:
    """Refusal of a full target."""
    return Response(503, (NOT_RUN,))


def paused(retry_after: bytes) -> Response:
    """Refusal of a target that asks for a pause."""
    return Response(503, (NOT_RUN, (b'retry-after', retry_after)))


def leaving() -> Response:
    """Response of a target that leaves."""
    return Response(headers=(SIGNED, (b'server-leaving', b'1')))


LOST = outcome.Failure(CODE.TARGET_LOST, 'reset', codes.Ran.UNKNOWN)
CONNECT_FAILED = outcome.Failure(
    CODE.TARGET_CONNECT_FAILED, 'refused', codes.Ran.NOT_RUN
)
NON_IDEMPOTENT = model.RequestKind.NON_IDEMPOTENT
