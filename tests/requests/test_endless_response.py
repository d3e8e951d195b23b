"""Tests of targets that send bytes without end, over real connections.

Such a target never ends a head or a body, quickly or byte by byte, until the
host closes the connection.
"""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import tracemalloc

import anyio
import pytest

from tests.balance import harness as harnesses
from tests.routes import test_table
from tests.targets import scripted
from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import model as request_model
from wigeonhatch.requests import relay as relays
from wigeonhatch.requests import relay_model
from wigeonhatch.requests import response_buffer
from wigeonhatch.requests import retry
from wigeonhatch.routes import model
from wigeonhatch.targets import _stream
from wigeonhatch.targets import client as target_client

CLOCK = clocks.Clock()
DEADLINE_MS = 1_000
MAX_LATE_MS = 500
"""Time after the deadline within which callers are to get an answer."""
MAX_MEMORY_BYTES = 256_000_000
"""Memory of a host in the plan for the next two years."""
MAX_RESPONSE_COPIES = 2
NON_IDEMPOTENT = model.RequestKind.NON_IDEMPOTENT
IDEMPOTENT = model.RequestKind.IDEMPOTENT

OK = b'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n'
CHUNKED = OK + b'Transfer-Encoding: chunked\r\n\r\n'
ENDLESS = {
    'status line': (b'', b'a'),
    'header line': (OK + b'X-A: ', b'a'),
    'header fields': (OK, b'X-A: b\r\n'),
    'informational heads': (b'', b'HTTP/1.1 102 Processing\r\n\r\n'),
    'long body': (OK + b'Content-Length: 1000000000000\r\n\r\n', b'a'),
    'body of a failure': (
        b'HTTP/1.1 500 X\r\nRequest-Id: r1\r\n'
        b'Content-Length: 1000000000000\r\n\r\n',
        b'a',
    ),
    'small chunks': (CHUNKED, b'2\r\nab\r\n'),
    'chunk size': (CHUNKED, b'0'),
    'chunk extension': (CHUNKED + b'1;x=', b'a'),
    'trailer fields': (CHUNKED + b'0\r\n', b'X-A: b\r\n'),
    'close-delimited body': (OK + b'\r\n', b'a'),
}
"""Start of the response, and what follows without end."""
PAUSE_S = {'quick': 0.0, 'slow': 0.01}
QUICK_BYTES = 32_768
FEW_BYTES = 16_384


def send_endlessly(start: bytes, part: bytes, pace: str) -> scripted.Script:
    """Send parts until the connection is closed."""
    block = part * (QUICK_BYTES // len(part)) if pace == 'quick' else part

    async def script(
        request: scripted.ReceivedRequest, writer: scripted.Writer
    ) -> None:
        writer.write(start)
        while True:
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(PAUSE_S[pace])

    return script


class _Rig:
    """Relay with a client that is connected to one scripted target.

    Args:
        target: Target whose address all listed targets have.
        names: Names of the listed targets.
    """

    def __init__(
        self,
        target: scripted.ScriptedTarget,
        names: collections.abc.Sequence[str],
    ) -> None:
        self.names = names
        self.scene = harnesses.PickerHarness(
            harnesses.build_target(name, slots=100) for name in names
        )
        self.client = target_client.TargetClient(
            CLOCK, accepts_close_delimited=True
        )
        self.client.set_targets(
            {name: (target.address, 100) for name in names}
        )
        self.relay = relays.Relay(
            self.scene.picker,
            self.scene.loads,
            self.scene.ejections,
            self.scene.warmups,
            self.scene.statements,
            self.scene.rates,
            self.scene.targets,
            self.client,
            self.scene.quarantine,
            self.scene.detect_crashes(self.client),
            self.scene.build_reach(self.client),
            self.scene.build_forwarder(),
            lambda: retry.RetryBudget(0, lambda: 1),
            CLOCK,
        )

    async def run(
        self, kind: model.RequestKind
    ) -> relay_model.Response | relay_model.Refusal:
        """Run one request; it has to end in time and free its slot."""
        route = dataclasses.replace(
            test_table.build_route('r', '/a/', ('board', 1)),
            kind=kind,
            objective_ms=600,
        )
        started_ms = CLOCK.now_ms
        request = relay_model.RelayRequest(
            b'r1',
            route,
            'board',
            1,
            'GET',
            b'/a/x',
            b'x.example',
            ((b'request-id', b'r1'),),
            b'',
            started_ms,
            started_ms + DEADLINE_MS,
        )
        body = bodies.RequestBody(0, _read_nothing, 100)
        body.is_received = True
        result = await self.relay.run(
            request, body, request_model.RequestControl()
        )
        assert CLOCK.now_ms - started_ms <= DEADLINE_MS + MAX_LATE_MS
        return result

    def count_connections(self) -> int:
        """Count the open connections to all targets."""
        return sum(self.client.connection_count(name) for name in self.names)


async def _read_nothing() -> bytes | None | outcome.Failure:
    return None


@contextlib.asynccontextmanager
async def _connected(
    *scripts: scripted.Script, names: collections.abc.Sequence[str] = ('t0',)
) -> collections.abc.AsyncIterator[tuple[_Rig, scripted.ScriptedTarget]]:
    async with scripted.ScriptedTarget(*scripts) as target:
        rig = _Rig(target, names)
        yield rig, target
        rig.client.close()


@contextlib.contextmanager
def _measured() -> collections.abc.Iterator[collections.abc.Callable[[], int]]:
    """Measure the peak of the memory allocated in Python, in bytes."""
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize('pace', list(PAUSE_S))
@pytest.mark.parametrize('name', list(ENDLESS))
@scripted.run_on_uvloop
async def test_endless_response_ends_in_time(name: str, pace: str) -> None:
    """Guards against a host that reads an endless response past its deadline.

    Memory stays bounded, the slot and the connection are freed, and a request
    that may have run is not sent twice nor called "not run".
    """
    script = send_endlessly(*ENDLESS[name], pace)
    async with _connected(script) as (rig, target):
        with _measured() as read_peak:
            result = await rig.run(NON_IDEMPOTENT)
            peak_bytes = read_peak()
        assert isinstance(result, relay_model.Refusal)
        assert result.failure.ran is not codes.Ran.NOT_RUN
        assert rig.scene.loads.own_counts() == {}
        assert len(target.requests) == 1
        assert peak_bytes <= (
            MAX_RESPONSE_COPIES * response_buffer.MAX_BUFFERED_RESPONSE_BYTES
        )
        await scripted.until(
            lambda: target.open_count == rig.count_connections() == 0
        )


@pytest.mark.parametrize('name', ['informational heads', 'small chunks'])
@scripted.run_on_uvloop
async def test_endless_response_leaves_time_to_other_tasks(name: str) -> None:
    """Guards against one target that holds up all requests of a host.

    Between two steps of another task, the parser gets few bytes.
    """
    script = send_endlessly(*ENDLESS[name], 'quick')
    read_bytes: list[int] = [0]
    read = _stream.TargetStream.read

    async def count_bytes(
        stream: _stream.TargetStream,
        max_bytes: int,
        timeout: float | None = None,
    ) -> bytes:
        data = await read(stream, max_bytes, timeout)
        read_bytes[-1] += len(data)
        return data

    async def take_steps() -> None:
        while True:
            await asyncio.sleep(0)
            read_bytes.append(0)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(_stream.TargetStream, 'read', count_bytes)
        async with _connected(script) as (rig, _):
            task = asyncio.ensure_future(take_steps())
            await rig.run(NON_IDEMPOTENT)
            task.cancel()
    assert 0 < max(read_bytes) <= FEW_BYTES


@pytest.mark.parametrize('pace', list(PAUSE_S))
@scripted.run_on_uvloop
async def test_refused_request_is_retried_at_once(pace: str) -> None:
    """Guards against a wait for the endless body of a target's refusal."""
    start = (
        b'HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n'
        b'Content-Length: 4000\r\n\r\n'
    )
    served = scripted.send_raw(OK + b'Content-Length: 2\r\n\r\nok')
    async with _connected(
        send_endlessly(start, b'a', pace), served, names=('t0', 't1')
    ) as (rig, target):
        result = await rig.run(NON_IDEMPOTENT)
        assert isinstance(result, relay_model.Response)
        assert rig.scene.loads.own_counts() == {}
        await scripted.until(
            lambda: target.open_count == rig.count_connections() == 0
        )


@scripted.run_on_uvloop
async def test_bytes_on_an_idle_connection_close_it() -> None:
    """Guards against idle connections that fill the memory of the host."""
    start = OK + b'Content-Length: 2\r\n\r\nok'

    async def script(
        request: scripted.ReceivedRequest, writer: scripted.Writer
    ) -> None:
        writer.write(start)
        await writer.drain()
        await asyncio.sleep(0.05)
        await send_endlessly(b'', b'a', 'quick')(request, writer)

    async with _connected(script) as (rig, target):
        assert isinstance(await rig.run(IDEMPOTENT), relay_model.Response)
        await scripted.until(lambda: target.open_count == 0)


@scripted.run_on_uvloop
async def test_endless_bodies_share_the_memory() -> None:
    """Guards against a host that runs out of memory by many endless bodies."""
    names = [f't{number}' for number in range(40)]
    start, part = ENDLESS['long body']
    almost = part * (response_buffer.MAX_BUFFERED_RESPONSE_BYTES - 2**20)
    script = send_endlessly(start + almost, part, 'slow')
    async with _connected(script, names=names) as (rig, _):
        with _measured() as read_peak:
            async with anyio.create_task_group() as tasks:
                for _ in names:
                    tasks.start_soon(rig.run, NON_IDEMPOTENT)
            peak_bytes = read_peak()
        assert peak_bytes <= MAX_MEMORY_BYTES // 2
        assert rig.scene.loads.own_counts() == {}
        await scripted.until(lambda: rig.count_connections() == 0)
