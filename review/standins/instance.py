"""Stand-in for an instance (target) of a service."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import random
import time
import typing

from review.standins import http1

_MAX_QUEUED = 12


class Instance:
    """Instance that runs requests in slots and signs its answers.

    Args:
        name: Its ID.
        service: Name of its service.
        zone: Failure domain.
        slots: Requests that it runs at the same time.
        work_s: Times that requests take, drawn at random.
        record: Called with the ID of a request, a word and details.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        slots: int,
        work_s: typing.Sequence[float],
        record: typing.Callable[[str, str, str], None],
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.address = ''
        self._slots = slots
        self._work_s = work_s
        self._rng = random.Random(name)
        self._record = record
        self._born_ms = int(time.time() * 1_000)
        self._running = 0
        self._queued = 0
        self._free = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free loopback port."""
        self._server = await http1.listen(self._serve, '127.0.0.1')
        ip, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{ip}:{port}'

    def close(self) -> None:
        """Stop to listen."""
        if self._server is not None:
            self._server.close()

    def describe(self) -> dict[str, typing.Any]:
        """Entry in the platform's list."""
        return {
            'address': self.address,
            'born': self._born_ms,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'concurrency': self._slots,
            },
            'status': {
                'state': 'ready',
                'sequence': 1,
                'warmup_left': '0ms',
            },
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await http1.read_message(reader)
            method, path, _ = request.start.split(' ')
            request_id = request.fields.get('request-id', '')
            named = request.fields.get('target-instance', self.name)
            fields = {
                'Request-Id': request_id,
                'Instance-Id': self.name,
                'Server-Load': f'{self._running},{self._queued},{self._slots}',
            }
            if path == '/health':
                writer.write(http1.encode('HTTP/1.1 200 OK', fields))
            elif named != self.name:
                self._record(request_id, '421', self.name)
                fields['Not-Executed'] = '1'
                writer.write(http1.encode('HTTP/1.1 421 X', fields))
            elif self._queued >= _MAX_QUEUED:
                self._record(request_id, 'not run', self.name)
                fields['Not-Executed'] = '1'
                writer.write(http1.encode('HTTP/1.1 503 X', fields))
            else:
                await self._run(reader, writer, request_id, fields)
            await writer.drain()

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        fields: dict[str, str],
    ) -> None:
        self._queued += 1
        async with self._free:
            self._queued -= 1
            self._running += 1
            self._record(request_id, 'runs', self.name)
            work = asyncio.ensure_future(
                asyncio.sleep(self._rng.choice(self._work_s))
            )
            gone = asyncio.ensure_future(_wait_for_end(reader))
            try:
                await asyncio.wait(
                    {work, gone}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                self._running -= 1
                is_done = work.done()
                for task in (work, gone):
                    task.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        await task
            if not is_done:
                self._record(request_id, 'dropped', self.name)
                raise ConnectionResetError
            body = make_body(request_id)
            fields['Response-Signature'] = sign(request_id, self.name)
            self._record(request_id, 'ran', self.name)
            writer.write(http1.encode('HTTP/1.1 200 OK', fields, body))


def sign(request_id: str, name: str) -> str:
    """Signature of the answer of an instance to a request."""
    text = f'{request_id}/{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).hexdigest()


def make_body(request_id: str) -> bytes:
    """Body of the answer to a request."""
    return f'{request_id} ran. '.encode() * 10


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Wait until the other side closes; no bytes may be consumed."""
    while not reader.at_eof():
        await asyncio.sleep(0.02)
