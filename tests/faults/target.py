"""Target of the soak test, with slots, a queue and injected faults."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import random

from tests.faults import crash_rule
from tests.faults import ledger as ledgers
from tests.faults import proxy as proxies
from wigeonhatch import clock as clocks

SLOTS = 4
MAX_QUEUED = 8
SERVICE_MS = 30
CRASH_DELAY_MS = 15
"""Time from the start of a deadly request to the crash of the target."""
IDLE_TIMEOUT_S = 3.0
"""Idle time after which the target closes a connection."""


@dataclasses.dataclass
class Faults:
    """Injected faults of a target; none by default.

    Args:
        error_fraction: Fraction of requests that run and get status 500.
        reset_fraction: Fraction that run and get a connection reset.
        corruption: `truncated`, `duplicate`, `late` or `malformed` responses.
        slowdown: Factor on the processing time of each request.
        is_health_inverted: Whether health checks return the wrong status.
    """

    error_fraction: float = 0.0
    reset_fraction: float = 0.0
    corruption: str = ''
    slowdown: float = 1.0
    is_health_inverted: bool = False


class Target:
    """Incarnation of a target behind a proxy.

    Args:
        name: Name of its row in the platform's store.
        service: Name of its service.
        domain: Failure domain.
        proxy: Proxy in front of it, whose address is registered.
        ledger: Records its requests.
        clock: Clock of the soak test.
        rng: Random number generator.
        on_crash: Called with the content of a request that crashes it.
    """

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        proxy: proxies.Proxy,
        ledger: ledgers.Ledger,
        clock: clocks.Clock,
        rng: random.Random,
        on_crash: collections.abc.Callable[[Target, str], None],
    ) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.proxy = proxy
        self.faults = Faults()
        self.is_draining = False
        self.is_departure_stated = False
        self.retry_after = ''
        self.rate_limit_per_s: float | None = None
        self._pause_ms = 0
        self.started_ms = clock.now_ms
        self.born_ms = clock.wall_ms
        self._ledger = ledger
        self._clock = clock
        self._rng = rng
        self._on_crash = on_crash
        self._running = 0
        self._queued = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Start listening and become the upstream of the proxy."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 20
        )
        self.proxy.upstream = self._server.sockets[0].getsockname()[:2]

    def limit_rate(self, rate_per_s: float) -> None:
        """State a rate limit in all responses from now on."""
        self.rate_limit_per_s = rate_per_s
        self._ledger.rate_rule.begin(self.name, rate_per_s, self._clock.now_ms)

    def lift_rate_limit(self) -> None:
        """Stop to state a rate limit."""
        self.rate_limit_per_s = None
        self._ledger.rate_rule.end(self.name)

    def ask_for_pause(self, retry_after: str, pause_ms: int) -> None:
        """Refuse all requests from now on and ask each host for a pause.

        Args:
            retry_after: Value of the field `Retry-After`.
            pause_ms: Pause that it means, in ms.
        """
        self.retry_after = retry_after
        self._pause_ms = pause_ms

    def close(self) -> None:
        """Stop immediately and abort all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def is_healthy(self) -> bool:
        """Whether no fault is injected."""
        return self.faults == Faults()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The daemon closed the connection, the idle timeout expired or the
            # run ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, path, _ = lines[0].split(' ', 2)
        fields = dict(
            line.lower().split(': ', 1) for line in lines[1:] if line
        )
        body = await reader.readexactly(int(fields.get('content-length', 0)))
        if path == '/health':
            return await self._report_health(writer)
        request_id = fields['request-id']
        instance = fields.get('target-instance', self.name)
        if instance != self.name:
            await self._reply(writer, 421, request_id, b'', 'Not-Executed: 1')
            return True
        self._ledger.on_arrival(request_id, self.name, self._clock.now_ms)
        if self.retry_after or self._queued >= MAX_QUEUED:
            await self._reply(writer, 503, request_id, b'', 'Not-Executed: 1')
            return True
        run = asyncio.ensure_future(
            self._run(
                writer,
                request_id,
                ledgers.hash_content(method, path, body),
                crash_rule.DEADLY_PATH in path,
            )
        )
        run.add_done_callback(
            lambda task: task.cancelled() or task.exception()
        )
        # The target cancels a request when its connection closes.
        closed = asyncio.ensure_future(_wait_for_disconnect(reader))
        await asyncio.wait({run, closed}, return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            run.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await run
            return False
        closed.cancel()
        return run.result()

    async def _run(
        self,
        writer: asyncio.StreamWriter,
        request_id: str,
        content: str,
        is_deadly: bool,
    ) -> bool:
        self._queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._queued -= 1
        run = ledgers.Run(self.name, self._clock.now_ms, self.is_healthy)
        self._ledger.on_run(request_id, content, run)
        self._running += 1
        try:
            faults = self.faults
            if is_deadly:
                await asyncio.sleep(CRASH_DELAY_MS / 1_000)
                self._on_crash(self, content)
                return False
            await asyncio.sleep(SERVICE_MS * faults.slowdown / 1_000)
        finally:
            self._running -= 1
            self._slots.release()
        if self._rng.random() < faults.reset_fraction:
            return False
        is_error = self._rng.random() < faults.error_fraction
        run.status = 500 if is_error else 200
        body = ledgers.make_body(request_id, self.name)
        signature = ledgers.sign(request_id, self.name, run.status)
        return await self._reply(
            writer,
            run.status,
            request_id,
            body,
            f'Response-Signature: {signature}',
            faults.corruption,
        )

    async def _report_health(self, writer: asyncio.StreamWriter) -> bool:
        is_ready = not (self.is_draining or self.is_departure_stated)
        if self.faults.is_health_inverted:
            is_ready = not is_ready
        return await self._reply(
            writer,
            200 if is_ready else 503,
            '',
            b'',
            'Content-Type: text/plain',
        )

    async def _reply(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        body: bytes,
        field: str,
        corruption: str = '',
    ) -> bool:
        request = self._ledger.request_by_id.get(request_id)
        now_ms = self._clock.now_ms
        if self.rate_limit_per_s is not None:
            field += f'\r\nServer-Limit: {self.rate_limit_per_s}'
            if request is not None:
                self._ledger.rate_rule.on_response(
                    self.name, request.host, now_ms
                )
        if self.retry_after and status == 503:
            field += f'\r\nRetry-After: {self.retry_after}'
            if request is not None:
                self._ledger.statement_rule.on_pause(
                    self.name, request.host, now_ms, self._pause_ms
                )
        if self.is_departure_stated:
            field += '\r\nServer-Leaving: 1\r\nConnection: close'
        head = (
            f'HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n{field}\r\n'
            f'Instance-Id: {self.name}\r\n'
            f'Server-Load: {self._running},{self._queued},{SLOTS}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode()
        if corruption == 'malformed':
            head = b'\x00\x17no response at all\r\n\r\n' + head
        if corruption == 'truncated':
            body = body[: len(body) // 2]
        if corruption == 'duplicate':
            body += head + body
        writer.write(head + body)
        await writer.drain()
        if corruption == 'late':
            # Arrives when the daemon expects the next response.
            await asyncio.sleep(0.05)
            writer.write(head + body)
            await writer.drain()
        return corruption in ('', 'duplicate', 'late')


async def _wait_for_disconnect(reader: asyncio.StreamReader) -> None:
    """Wait until the peer disconnects, without consuming data."""
    while not reader.at_eof():
        await asyncio.sleep(0.02)
