"""Minimal HTTP/1.1 over asyncio streams."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses

MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Message:
    """Request or response.

    Args:
        start: First line, without its line break.
        fields: Header fields, names in lower case.
        body: Complete body.
    """

    start: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(' ')[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a declared length.

    Args:
        reader: Stream to read from.

    Raises:
        asyncio.IncompleteReadError: The connection ended before.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = head.split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get('content-length', 0)))
    return Message(lines[0], fields, body)


def encode(start: str, fields: dict[str, str], body: bytes = b'') -> bytes:
    """Encode a message.

    Args:
        start: First line, without its line break.
        fields: Header fields without the length.
        body: Body.
    """
    lines = [start]
    lines += [f'{name}: {value}' for name, value in fields.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


async def get(
    ip: str, port: int, path: str, timeout_s: float = 1.0
) -> Message | None:
    """Get a path over a new connection.

    Args:
        ip: Address of the server.
        port: Port of the server.
        path: Path with query.
        timeout_s: Time for the whole exchange.

    Returns:
        The response; None if there was none in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            with contextlib.closing(writer):
                writer.write(encode(f'GET {path} HTTP/1.1', {'Host': ip}))
                return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


Serve = collections.abc.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    collections.abc.Awaitable[None],
]


async def listen(serve: Serve, ip: str, port: int = 0) -> asyncio.Server:
    """Serve connections; the end of one of them is no error.

    Args:
        serve: Serves one connection.
        ip: Address to listen on.
        port: Port; 0 for a free one.
    """

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(run, ip, port, limit=MAX_HEAD_BYTES)
