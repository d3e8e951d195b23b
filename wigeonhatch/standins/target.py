"""Stand-in for a target: serves requests in slots, with injected faults."""

from __future__ import annotations

import contextlib
import dataclasses
import hashlib
import typing

import anyio
import fire  # type: ignore[import-untyped]
import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch.standins import _asgi

_CHUNK_BYTES = 65_536


@dataclasses.dataclass
class Faults:
    """Injected faults; none by default.

    Args:
        delay_ms: Extra delay before each response, in ms.
        refuse: Reject each request as not run.
        hang: Never respond.
        cut_after_bytes: Close after this many body bytes; -1 for never.
        omit_bytes: Send this many bytes less than the declared length.
        state: State in health responses.
        reported_in_use: Load in health responses; -1 for the actual load.
        mute_health: Never respond to health requests.
    """

    delay_ms: int = 0
    refuse: bool = False
    hang: bool = False
    cut_after_bytes: int = -1
    omit_bytes: int = 0
    state: str = 'ok'
    reported_in_use: int = -1
    mute_health: bool = False


@dataclasses.dataclass
class Stats:
    """Counters since the start."""

    served: int = 0
    refused_full: int = 0
    cancelled: int = 0
    in_use: int = 0
    max_in_use: int = 0
    bytes_received: int = 0
    last_request_ms: int = 0
    runs_by_key: dict[str, int] = dataclasses.field(default_factory=dict)


def expected_body(request_id: str, size: int) -> bytes:
    """Compute the response body for a request.

    Args:
        request_id: Identifier of the request.
        size: Length of the body in bytes.

    Returns:
        Bytes derived from both, so that a caller detects a wrong body.
    """
    seed = hashlib.blake2b(request_id.encode(), digest_size=32).digest()
    return (seed * (size // len(seed) + 1))[:size]


class TargetApplication:
    """ASGI application of one target.

    Args:
        name: Name of the target.
        slots: Maximum number of concurrent requests.
        service_ms: Processing time of a request, in ms.
    """

    def __init__(self, name: str, slots: int, service_ms: float) -> None:
        self.name = name
        self.slots = slots
        self.service_ms = service_ms
        self.faults = Faults()
        self.stats = Stats()
        self._clock = clocks.Clock()

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Handle one request."""
        path = scope['path']
        if path == '/health':
            await self._report_health(send)
        elif path == '/.standin/stats':
            await _asgi.respond_json(send, 200, self.stats)
        elif path == '/.standin/faults':
            body = await _asgi.read_body(receive)
            self.faults = msgspec.json.decode(body, type=Faults)
            await _asgi.respond_json(send, 200, self.faults)
        else:
            await self._admit(scope, receive, send)

    async def _report_health(self, send: _asgi.Send) -> None:
        if self.faults.mute_health:
            await anyio.sleep_forever()
        in_use = self.stats.in_use
        if self.faults.reported_in_use >= 0:
            in_use = self.faults.reported_in_use
        await _asgi.respond_json(
            send,
            200,
            {
                'state': self.faults.state,
                'in_use': in_use,
                'slots': self.slots,
            },
        )

    async def _admit(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        if self.faults.refuse or self.stats.in_use >= self.slots:
            if not self.faults.refuse:
                self.stats.refused_full += 1
            await _asgi.respond(
                send, 503, b'', [(b'wigeonhatch-ran', b'not run')]
            )
            return
        self.stats.in_use += 1
        self.stats.last_request_ms = self._clock.now_ms
        self.stats.max_in_use = max(self.stats.max_in_use, self.stats.in_use)
        slot_release = contextlib.ExitStack()
        slot_release.callback(self._release_slot)
        with slot_release:
            async with anyio.create_task_group() as tasks:
                await self._serve(scope, receive, send, tasks, slot_release)
                tasks.cancel_scope.cancel()

    def _release_slot(self) -> None:
        self.stats.in_use -= 1

    async def _serve(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
        tasks: typing.Any,
        slot_release: contextlib.ExitStack,
    ) -> None:
        headers = dict(scope['headers'])
        request_id = headers.get(b'wigeonhatch-request-id', b'').decode()
        key = headers.get(b'idempotency-key', b'').decode()
        size = int(headers.get(b'x-response-bytes', b'256'))
        while True:
            message = await receive()
            if message['type'] != 'http.request':
                self.stats.cancelled += 1
                return
            self.stats.bytes_received += len(message.get('body', b''))
            if not message.get('more_body', False):
                break
        if key:
            runs = self.stats.runs_by_key
            runs[key] = runs.get(key, 0) + 1
        tasks.start_soon(self._cancel_on_disconnect, receive, tasks)
        if self.faults.hang:
            await anyio.sleep_forever()
        await anyio.sleep((self.service_ms + self.faults.delay_ms) / 1000)
        body = expected_body(request_id, size)
        fields = [
            (b'x-target', self.name.encode()),
            (b'x-request-id', request_id.encode()),
        ]
        # Releases the slot before the response ends: the client may send its
        # next request as soon as it has received the end.
        slot_release.close()
        self.stats.served += 1
        await self._send_body(send, body, fields)

    async def _cancel_on_disconnect(
        self, receive: _asgi.Receive, tasks: typing.Any
    ) -> None:
        message = await receive()
        if message['type'] == 'http.disconnect':
            self.stats.cancelled += 1
            tasks.cancel_scope.cancel()

    async def _send_body(
        self,
        send: _asgi.Send,
        body: bytes,
        fields: list[tuple[bytes, bytes]],
    ) -> None:
        end = len(body) - self.faults.omit_bytes
        if self.faults.cut_after_bytes >= 0:
            end = min(end, self.faults.cut_after_bytes)
        fields = [(b'content-length', str(len(body)).encode()), *fields]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': fields}
        )
        for start in range(0, end, _CHUNK_BYTES):
            data = body[start : min(start + _CHUNK_BYTES, end)]
            await send(
                {'type': 'http.response.body', 'body': data, 'more_body': True}
            )
        if end < len(body):
            # uvicorn closes the connection if the response body is too short.
            raise ConnectionError('injected fault: response truncated')
        await send({'type': 'http.response.body', 'body': b''})


def run(
    name: str,
    address: str,
    slots: int,
    connections: int = 400,
    service_ms: float = 20.0,
) -> None:
    """Run one target until SIGTERM.

    Args:
        name: Name of the target.
        address: `IP:PORT` to listen on.
        slots: Maximum number of concurrent requests.
        connections: Maximum number of connections.
        service_ms: Processing time of a request, in ms.
    """
    app = TargetApplication(str(name), slots, service_ms)
    _asgi.serve(app, address, connections)


if __name__ == '__main__':
    fire.Fire(run)
