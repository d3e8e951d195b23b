"""Answers without a length that are reset while an upload is being sent."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import socket
import struct
import sys
import typing

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import stand  # noqa: E402

ZONES = {'north-a': 'north', 'central-a': 'central'}
PLACES = list(ZONES)
UPLOAD_BYTES = 50_000
ANSWER_BYTES = 6_000
READ_BYTES = 16_384
PER_S = 40.0
RUN_S = 15.0
GARBLED_FROM_S = 5.0
GARBLED_S = 5.0
GARBLED_EVERY = 20
DELAY_S = 0.035
CHUNK_BYTES = 16_384
CHUNK_S = 0.01


def write_config(store: stand.Store) -> None:
    store.put(
        'op',
        'config',
        {
            'version': 'r3',
            'routes': {
                'photo': {
                    'host': 'shop.example',
                    'prefix': '/photo/',
                    'type': 'upload',
                    'timeout': '1500ms',
                    'target_latency': '250ms',
                    'priority': 1,
                    'service': 'album',
                    'max_attempts': 2,
                    'session_affinity': True,
                    'home_regions': [],
                }
            },
            'services': {
                'album': {
                    'health_path': '/health',
                    'max_conns': 330,
                    'protocol': 'h1',
                    'tls': False,
                    'warmup': '3s',
                    'warmup_per_s': 9.0,
                }
            },
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 67108864,
                'header_timeout': '3000ms',
                'idle_timeout': '15000ms',
            },
        },
    )


class Link:
    """Link to an instance of another region, with its delay and bandwidth.

    It passes on the ends and the resets of connections like all else.
    """

    def __init__(self, record: stand.Record) -> None:
        self.address = ''
        self._record = record
        self._upstream: tuple[str, int] = ('', 0)
        self._server: asyncio.Server | None = None

    async def open(self, upstream: tuple[str, int]) -> None:
        """Listen in front of an instance."""
        self._upstream = upstream
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        other: typing.Any = None
        try:
            back, other = await asyncio.open_connection(*self._upstream)
            await asyncio.gather(
                self._pass_on(reader, other, writer),
                self._pass_on(back, writer, other),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if other is not None:
                other.close()

    async def _pass_on(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: asyncio.StreamWriter,
    ) -> None:
        """Pass bytes on; reset the source if the other side was reset."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(DELAY_S if not writer_busy(writer) else 0)
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(CHUNK_S)
            await asyncio.sleep(DELAY_S)
            writer.write_eof()
        except OSError:
            await asyncio.sleep(DELAY_S)
            source.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            self._record.write('a reset is passed on')
            source.transport.abort()
            raise


def writer_busy(writer: asyncio.StreamWriter) -> bool:
    """Tell whether bytes are under way to the other side."""
    return bool(writer.transport.get_write_buffer_size())


class AlbumInstance(stand.Instance):
    """Instance whose answers have no length and end with the connection."""

    is_garbling = False
    garbled_until_s = 0.0
    answered_meanwhile = 0
    garbled: set[str] = set()

    async def start(
        self, warmup_s: float = 0.0, link: Link | None = None
    ) -> None:
        """Start behind a link, whose address the entry names."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=4_096
        )
        assert link is not None
        await link.open(self._server.sockets[0].getsockname()[:2])
        self.address = link.address
        self.cool(warmup_s)
        self._beats = asyncio.ensure_future(self._beat())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            await self._answer_upload(reader, writer)
        writer.close()

    async def _answer_upload(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(stand.HEADER_END)).decode('latin-1')
        fields = dict(
            line.lower().split(': ', 1)
            for line in head.split('\r\n')[1:]
            if line
        )
        request_id = fields['request-id']
        self._record.write(f'arrival {request_id} at {self.name}')
        is_garbled = False
        if self.is_garbling and stand.now_s() < self.garbled_until_s:
            AlbumInstance.answered_meanwhile += 1
            is_garbled = self.answered_meanwhile % GARBLED_EVERY == 0
        length = int(fields['content-length'])
        if not is_garbled:
            await reader.readexactly(length)
            await asyncio.sleep(self.work_s)
        body = whole_answer(request_id)
        writer.write(
            f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
            f'Response-Signature: {self.name}.{request_id}\r\n'
            'Connection: close\r\n\r\n'.encode()
        )
        if not is_garbled:
            writer.write(body)
            writer.write_eof()
            await writer.drain()
            await asyncio.sleep(0.2)
            return
        # It answers before it has read the body, sends a part and closes;
        # the rest of the upload reaches a closed connection.
        AlbumInstance.garbled.add(request_id)
        writer.write(body[: ANSWER_BYTES // 2])
        await writer.drain()
        self._record.write(
            f'{self.name} breaks off its answer to {request_id}'
        )
        writer.close()


def whole_answer(request_id: str) -> bytes:
    """Return the whole body of the answer to a request."""
    return (f'{request_id} ' * ANSWER_BYTES).encode()[:ANSWER_BYTES]


async def read_answer(
    address: tuple[str, int], request_id: str
) -> tuple[int, bool, bytes] | None:
    """Send an upload; return status, whether it is signed, and the body."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(
            f'POST /photo/1 HTTP/1.1\r\nHost: shop.example\r\n'
            f'Request-Id: {request_id}\r\nDeadline-Ms: 1500\r\n'
            f'Affinity-Key: {request_id}\r\n'
            f'Content-Length: {UPLOAD_BYTES}\r\n\r\n'.encode()
            + b'x' * UPLOAD_BYTES
        )
        answer = await stand.read_message(reader)
    finally:
        writer.transport.abort()
    if answer is None:
        return None
    line, fields, body = answer
    return int(line.split(' ')[1]), 'response-signature' in fields, body


async def main(is_troubled: bool) -> int:
    fleet = stand.Deployment(FOLDER, ZONES, PLACES, has_links=False)
    statuses: dict[int, int] = {}
    wrong: list[str] = []
    running: set[asyncio.Task[None]] = set()
    links: list[Link] = []

    async def upload(request_id: str, host: stand.Host) -> None:
        fleet.record.write(f'sent {request_id} to {host.name}')
        try:
            async with asyncio.timeout(1.5):
                answer = await read_answer(host.address, request_id)
        except (OSError, TimeoutError):
            answer = None
        status, is_signed, body = answer or (0, False, b'')
        statuses[status] = statuses.get(status, 0) + 1
        fleet.record.write(
            f'answered {request_id} {status} with {len(body)} bytes'
        )
        if status == 200 and not (
            is_signed and body == whole_answer(request_id)
        ):
            wrong.append(request_id)

    try:
        write_config(fleet.store)
        for number in range(8):
            instance = AlbumInstance(
                f'i-{number}',
                'album',
                list(ZONES)[number % 2],
                3,
                0.1,
                fleet.store,
                fleet.record,
            )
            # A share of 0.5.
            instance.is_garbling = is_troubled and number < 4
            link = Link(fleet.record)
            links.append(link)
            await instance.start(link=link)
            fleet.instances.append(instance)
        await fleet.start()
        for number in range(int(RUN_S * PER_S)):
            if number == int(GARBLED_FROM_S * PER_S):
                AlbumInstance.garbled_until_s = stand.now_s() + GARBLED_S
            host = fleet.hosts[number % len(fleet.hosts)]
            task = asyncio.ensure_future(upload(f'u{number}', host))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1 / PER_S)
        await asyncio.wait(running, timeout=6)
        text = (
            f'answers cut short {len(AlbumInstance.garbled)}, taken for whole '
            f'by clients {len(wrong)}; answers {statuses}'
        )
        fleet.record.write(text)
        print(text)
        if statuses.get(200, 0) < RUN_S * PER_S / 2:
            return 2
        return 1 if wrong else 0
    finally:
        for link in links:
            link.close()
        fleet.close()


stand.run_case(main)
