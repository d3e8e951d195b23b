"""Target of the soak: slots, a queue, and faults that are set from outside."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random

from tests.faults import ledger as ledgers
from tests.faults import proxy as proxies
from wigeonhatch import clock as clocks

SLOTS = 4
QUEUE = 8
WORK_MS = 30
IDLE_S = 3.0
"""Idle time after which the target closes a connection."""


@dataclasses.dataclass
class Faults:
    """How a target misbehaves; nothing by default.

    Args:
        error_share: Part of the requests that run and fail.
        drop_share: Part that run and get a reset instead of a response.
        garble: `short`, `extra`, `late` or `noise` for spoilt responses.
        slow_x: Factor of the time of each request.
        is_health_wrong: Whether its health check says the opposite.
    """

    error_share: float = 0.0
    drop_share: float = 0.0
    garble: str = ''
    slow_x: float = 1.0
    is_health_wrong: bool = False


class Target:
    """One incarnation of a target behind a proxy.

    Args:
        name: Name in the platform's store.
        service: Service that it belongs to.
        domain: Failure domain.
        proxy: Proxy whose address it registers.
        ledger: Records what arrives.
        clock: Clock of the soak.
        rng: Source of randomness.
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
    ) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.proxy = proxy
        self.faults = Faults()
        self.is_draining = False
        self.started_ms = clock.now_ms
        self._ledger = ledger
        self._clock = clock
        self._rng = rng
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen, and take over the proxy."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 20
        )
        self.proxy.upstream = self._server.sockets[0].getsockname()[:2]

    def close(self) -> None:
        """End at once: all connections break."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def is_sound(self) -> bool:
        """Whether it answers all requests properly."""
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
            # The daemon has closed the connection, or idled too long, or the
            # run ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        async with asyncio.timeout(IDLE_S):
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
        named = fields.get('target-instance', self.name)
        if named != self.name:
            await self._answer(writer, 421, request_id, b'', 'Not-Executed: 1')
            return True
        self._ledger.on_arrival(request_id, self.name, self._clock.now_ms)
        if self._waiting >= QUEUE:
            await self._answer(writer, 503, request_id, b'', 'Not-Executed: 1')
            return True
        work = asyncio.ensure_future(
            self._run(
                writer,
                request_id,
                ledgers.hash_content(method, path, body),
            )
        )
        work.add_done_callback(
            lambda task: task.cancelled() or task.exception()
        )
        # A request is dropped when its connection closes.
        gone = asyncio.ensure_future(_wait_for_end(reader))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await work
            return False
        gone.cancel()
        return work.result()

    async def _run(
        self, writer: asyncio.StreamWriter, request_id: str, content: str
    ) -> bool:
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        run = ledgers.Run(self.name, self._clock.now_ms, self.is_sound)
        self._ledger.on_run(request_id, content, run)
        self._running += 1
        try:
            faults = self.faults
            await asyncio.sleep(WORK_MS * faults.slow_x / 1_000)
        finally:
            self._running -= 1
            self._slots.release()
        if self._rng.random() < faults.drop_share:
            return False
        is_error = self._rng.random() < faults.error_share
        run.status = 500 if is_error else 200
        data = ledgers.body_of(request_id, self.name)
        signature = ledgers.sign(request_id, self.name, run.status)
        return await self._answer(
            writer,
            run.status,
            request_id,
            data,
            f'Response-Signature: {signature}',
            faults.garble,
        )

    async def _report_health(self, writer: asyncio.StreamWriter) -> bool:
        is_good = not self.is_draining
        if self.faults.is_health_wrong:
            is_good = not is_good
        return await self._answer(
            writer,
            200 if is_good else 503,
            '',
            b'',
            f'Instance-Id: {self.name}',
        )

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        body: bytes,
        field: str,
        garble: str = '',
    ) -> bool:
        head = (
            f'HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n{field}\r\n'
            f'Server-Load: {self._running},{self._waiting},{SLOTS}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        ).encode()
        if garble == 'noise':
            head = b'\x00\x17no response at all\r\n\r\n' + head
        if garble == 'short':
            body = body[: len(body) // 2]
        if garble == 'extra':
            body += head + body
        writer.write(head + body)
        await writer.drain()
        if garble == 'late':
            # Arrives where the next response is expected.
            await asyncio.sleep(0.05)
            writer.write(head + body)
            await writer.drain()
        return garble in ('', 'extra', 'late')


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Wait for the end of a connection without reading what follows."""
    while not reader.at_eof():
        await asyncio.sleep(0.02)
