"""HTTP stand-in for the platform: table, objects and host list."""

from __future__ import annotations

import typing
import urllib.parse

import fire  # type: ignore[import-untyped]
import msgspec

from wigeonhatch.platform import http_client
from wigeonhatch.platform import interface
from wigeonhatch.standins import _asgi
from wigeonhatch.standins import memory_platform


class PlatformApplication:
    """ASGI application of the platform stand-in.

    `POST /.standin/faults` sets `memory_platform.Faults` and
    `PUT /.standin/hosts` replaces the host list.
    """

    def __init__(self) -> None:
        self.platform = memory_platform.MemoryPlatform()

    async def __call__(
        self, scope: _asgi.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Handle one request."""
        path = scope['raw_path'].decode()
        method = scope['method']
        body = await _asgi.read_body(receive)
        if path.startswith('/.standin/'):
            await self._handle_control(path, body, send)
        elif path.startswith('/objects/'):
            name = urllib.parse.unquote(path.removeprefix('/objects/'))
            await self._handle_object(method, name, body, send)
        elif path == '/table/commit':
            await self._handle_commit(body, send)
        elif path == '/table/read':
            request = msgspec.json.decode(body, type=http_client.ReadRequest)
            await _respond(send, await self.platform.read(request.keys))
        elif path == '/table/scan':
            request = msgspec.json.decode(body, type=http_client.ReadRequest)
            await _respond(send, await self.platform.scan(request.prefix))
        elif path == '/hosts':
            await _respond(send, await self.platform.list_hosts())
        else:
            await _asgi.respond_json(send, 404, {'path': path})

    async def _handle_control(
        self, path: str, body: bytes, send: _asgi.Send
    ) -> None:
        if path == '/.standin/faults':
            self.platform.faults = msgspec.json.decode(
                body, type=memory_platform.Faults
            )
            await _asgi.respond_json(send, 200, self.platform.faults)
        elif path == '/.standin/hosts':
            state_by_name = msgspec.json.decode(
                body, type=dict[str, interface.HostState]
            )
            await _respond(send, self.platform.set_hosts(state_by_name))
        else:
            counts = dict(self.platform.count_by_operation)
            await _asgi.respond_json(send, 200, counts)

    async def _handle_object(
        self, method: str, name: str, body: bytes, send: _asgi.Send
    ) -> None:
        if method == 'PUT':
            await _respond(send, await self.platform.put_object(name, body))
            return
        content = await self.platform.get_object(name)
        if isinstance(content, bytes):
            await _asgi.respond(send, 200, content)
        elif content is None:
            await _asgi.respond_json(send, 404, {'name': name})
        else:
            await _respond(send, content)

    async def _handle_commit(self, body: bytes, send: _asgi.Send) -> None:
        request = msgspec.json.decode(body, type=http_client.CommitRequest)
        result = await self.platform.commit(request.checks, request.writes)
        if isinstance(result, interface.Committed):
            response = http_client.CommitResponse(
                False, result.platform_ms, version_by_key=result.version_by_key
            )
            await _asgi.respond_json(send, 200, response)
        elif isinstance(result, interface.Conflict):
            response = http_client.CommitResponse(
                True, result.platform_ms, row_by_key=result.row_by_key
            )
            await _asgi.respond_json(send, 200, response)
        else:
            await _respond(send, result)


async def _respond(send: _asgi.Send, result: typing.Any) -> None:
    if isinstance(result, interface.Unavailable):
        await _asgi.respond_json(send, 503, result)
    elif isinstance(result, interface.Unknown):
        # Closing without a response leaves the outcome unknown to the client.
        raise ConnectionError('injected fault: response lost')
    else:
        await _asgi.respond_json(send, 200, result)


def run(address: str = '127.0.0.1:7000') -> None:
    """Run the platform until SIGTERM.

    Args:
        address: `IP:PORT` to listen on.
    """
    _asgi.serve(PlatformApplication(), address)


if __name__ == '__main__':
    fire.Fire(run)
