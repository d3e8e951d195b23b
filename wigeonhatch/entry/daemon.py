"""The daemon of an entry host: a first, thin path from end to end."""

from __future__ import annotations

import random
import signal
import typing
import urllib.parse

import anyio
import httpcore
import msgspec
import pydantic

from wigeonhatch import settings as settings_module
from wigeonhatch.config import model
from wigeonhatch.entry import http_server
from wigeonhatch.platform import http_client
from wigeonhatch.platform import interface

_FORWARDED = (
    b'wigeonhatch-request-id',
    b'wigeonhatch-deadline-ms',
    b'idempotency-key',
    b'x-response-bytes',
    b'content-length',
)


class ThinApplication:
    """Answer lookups and send requests to any target with a free slot."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self._platform = http_client.HttpPlatform(settings.platform_url)
        self._config: model.SteeringConfig | None = None
        self._in_use_by_target: dict[str, int] = {}

    async def load(self) -> None:
        """Load the configuration from the platform."""
        result = await self._platform.read(['config/head'])
        if not isinstance(result, interface.ReadResult):
            raise RuntimeError('the platform is unavailable')
        head = msgspec.json.decode(result.row_by_key['config/head'].value)
        content = await self._platform.get_object(
            f'config/{head["change_id"]}'
        )
        assert isinstance(content, bytes)
        self._config = pydantic.TypeAdapter(
            model.SteeringConfig
        ).validate_json(content)

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Handle one request."""
        if self._config is None:
            await self.load()
        if scope['path'] == '/.wigeonhatch/v1/lookup':
            await self._look_up(scope, send)
        else:
            await self._pass(scope, receive, send)

    async def _look_up(self, scope: typing.Any, send: typing.Any) -> None:
        assert self._config is not None
        query = urllib.parse.parse_qs(scope['query_string'].decode())
        hosts = [
            {'host': name, 'address': host.caller_address}
            for name, host in self._config.host_by_name.items()
        ]
        random.shuffle(hosts)
        keys = [
            f'{hosts[0]["host"]}.{random.getrandbits(64):x}' for _ in range(16)
        ]
        body = msgspec.json.encode(
            {
                'service': query['service'][0],
                'hosts': hosts,
                'ttl_ms': model.LOOKUP_TTL_MS,
                'keys': keys,
            }
        )
        await _respond(send, 200, body)

    async def _pass(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        assert self._config is not None
        service = scope['path'].split('/')[1]
        for name, target in self._config.target_by_name.items():
            used = self._in_use_by_target.get(name, 0)
            if target.service == service and used < 1:
                self._in_use_by_target[name] = used + 1
                try:
                    await self._send_to(target, scope, receive, send)
                finally:
                    self._in_use_by_target[name] -= 1
                return
        await _respond(send, 503, b'{"name": "NO_CAPACITY"}')

    async def _send_to(
        self,
        target: model.Target,
        scope: typing.Any,
        receive: typing.Any,
        send: typing.Any,
    ) -> None:
        host, _, port = target.address.rpartition(':')
        origin = httpcore.Origin(b'http', host.encode(), int(port))
        fields = [item for item in scope['headers'] if item[0] in _FORWARDED]

        async def parts() -> typing.AsyncIterator[bytes]:
            while True:
                message = await receive()
                yield message.get('body', b'')
                if not message.get('more_body'):
                    return

        async with httpcore.AsyncHTTPConnection(origin) as connection:
            response = await connection.handle_async_request(
                httpcore.Request(
                    scope['method'],
                    f'http://{target.address}{scope["path"]}',
                    headers=[(b'host', target.address.encode()), *fields],
                    content=parts(),
                )
            )
            content = await response.aread()
        await _respond(send, response.status, content, response.headers)


async def _respond(
    send: typing.Any,
    status: int,
    body: bytes,
    headers: typing.Sequence[tuple[bytes, bytes]] = (),
) -> None:
    fields = [item for item in headers if item[0].lower().startswith(b'x-')]
    fields.append((b'content-length', str(len(body)).encode()))
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': fields}
    )
    await send({'type': 'http.response.body', 'body': body})


async def _main(settings: settings_module.Settings) -> None:
    server = http_server.build_server(
        ThinApplication(settings), settings.caller_address
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                break
        server.should_exit = True


def run_entry(settings: settings_module.Settings) -> int:
    """Run the daemon until SIGTERM.

    Args:
        settings: Checked settings.

    Returns:
        Exit status.
    """
    anyio.run(_main, settings, backend_options={'use_uvloop': True})
    return 0
