"""Baseline proxy for benchmarks: round robin, no budgets, no shared state."""

from __future__ import annotations

import itertools
import json
import pathlib
import typing
import urllib.parse

import fire  # type: ignore[import-untyped]
import httpcore
import msgspec

from wigeonhatch.standins import _asgi

_FORWARDED = (
    b'wigeonhatch-request-id',
    b'idempotency-key',
    b'x-response-bytes',
    b'content-length',
)
_CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
)


class BaselineApplication:
    """Forwards each request to the next target of its service.

    Args:
        document: Merged configuration.
        offset: Index of the first target in the rotation.
    """

    def __init__(
        self, document: dict[str, typing.Any], offset: int = 0
    ) -> None:
        self._hosts = [
            {'host': name, 'address': host['caller_address']}
            for name, host in document['host_by_name'].items()
        ]
        self._rotation = itertools.count(offset)
        self._targets_by_service: dict[str, itertools.cycle[str]] = {}
        for service in document['service_by_name']:
            addresses = [
                target['address']
                for target in document['target_by_name'].values()
                if target['service'] == service
            ]
            start = offset % len(addresses)
            rotated = addresses[start:] + addresses[:start]
            self._targets_by_service[service] = itertools.cycle(rotated)
        self._idle_by_address: dict[
            str, list[httpcore.AsyncHTTPConnection]
        ] = {}

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Handle one request."""
        if scope['path'] == '/.wigeonhatch/v1/lookup':
            await self._look_up(scope, send)
            return
        service = scope['path'].split('/')[1]
        address = next(self._targets_by_service[service])
        body = await _asgi.read_body(receive)
        await self._forward(address, scope, body, send)

    async def _look_up(self, scope: _asgi.Scope, send: _asgi.Send) -> None:
        query = urllib.parse.parse_qs(scope['query_string'].decode())
        first = next(self._rotation) % len(self._hosts)
        hosts = self._hosts[first:] + self._hosts[:first]
        serial = next(self._rotation)
        keys = [f'{hosts[0]["host"]}.{serial}.{n}' for n in range(16)]
        await _asgi.respond_json(
            send,
            200,
            {
                'service': query['service'][0],
                'hosts': hosts,
                'ttl_ms': 5_000,
                'keys': keys,
            },
        )

    async def _forward(
        self,
        address: str,
        scope: _asgi.Scope,
        body: bytes,
        send: _asgi.Send,
    ) -> None:
        fields = [item for item in scope['headers'] if item[0] in _FORWARDED]
        fields.append((b'host', address.encode()))
        idle = self._idle_by_address.setdefault(address, [])
        connection = idle.pop() if idle else _connect(address)
        try:
            response = await connection.handle_async_request(
                httpcore.Request(
                    scope['method'],
                    f'http://{address}{scope["path"]}',
                    headers=fields,
                    content=body,
                )
            )
            response_body = await response.aread()
            await response.aclose()
        except _CONNECTION_ERRORS as error:
            await connection.aclose()
            name = type(error).__name__
            await _asgi.respond_json(send, 502, {'name': name})
            return
        idle.append(connection)
        headers = [
            item for item in response.headers if item[0].startswith(b'x-')
        ]
        if response.status == 503:
            response_body = msgspec.json.encode({'name': 'TARGET_SHED'})
        await _asgi.respond(send, response.status, response_body, headers)


def _connect(address: str) -> httpcore.AsyncHTTPConnection:
    host, _, port = address.rpartition(':')
    origin = httpcore.Origin(b'http', host.encode(), int(port))
    return httpcore.AsyncHTTPConnection(origin, keepalive_expiry=50)


def run(config: str, address: str, offset: int = 0) -> None:
    """Run the proxy until SIGTERM.

    Args:
        config: Path of the file with the merged configuration.
        address: `IP:PORT` to listen on.
        offset: Index of the first target in the rotation.
    """
    document = json.loads(pathlib.Path(config).read_text())
    _asgi.serve(BaselineApplication(document, offset), address)


if __name__ == '__main__':
    fire.Fire(run)
