"""Helpers for the ASGI applications of the stand-ins."""

from __future__ import annotations

import collections.abc
import typing

import msgspec
import uvicorn

Scope = collections.abc.MutableMapping[str, typing.Any]
Receive = collections.abc.Callable[
    [],
    collections.abc.Awaitable[collections.abc.MutableMapping[str, typing.Any]],
]
Send = collections.abc.Callable[
    [collections.abc.MutableMapping[str, typing.Any]],
    collections.abc.Awaitable[None],
]


async def read_body(receive: Receive) -> bytes:
    """Read a complete request body."""
    chunks = []
    while True:
        message = await receive()
        if message['type'] != 'http.request':
            raise ConnectionError('client disconnected during the request')
        chunks.append(message.get('body', b''))
        if not message.get('more_body', False):
            return b''.join(chunks)


async def respond(
    send: Send,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> None:
    """Send a complete response."""
    fields = [(b'content-length', str(len(body)).encode())]
    fields.extend(headers or [])
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': fields}
    )
    await send({'type': 'http.response.body', 'body': body})


async def respond_json(
    send: Send,
    status: int,
    value: object,
    headers: collections.abc.Iterable[tuple[bytes, bytes]] = (),
) -> None:
    """Send a complete response with a JSON body."""
    await respond(
        send,
        status,
        msgspec.json.encode(value),
        [(b'content-type', b'application/json'), *headers],
    )


def serve(app: typing.Any, address: str, connections: int = 0) -> None:
    """Serve an application until SIGTERM.

    Args:
        app: ASGI application.
        address: `IP:PORT`.
        connections: Maximum number of connections; 0 for no limit.
    """
    host, _, port = address.rpartition(':')
    uvicorn.run(
        app,
        host=host,
        port=int(port),
        log_level='error',
        access_log=False,
        lifespan='off',
        http='httptools',
        loop='uvloop',
        limit_concurrency=connections or None,
        timeout_keep_alive=60,
    )
