"""Faults of the links from one daemon to all targets, inside its process.

The mode stands in a file: `hang` stalls connections and lets new ones wait,
`reset` resets them and refuses new ones, `refuse` only refuses new ones.
"""

from __future__ import annotations

import asyncio
import collections.abc
import json
import pathlib
import typing

from wigeonhatch.targets import _stream

SUFFIX = '.links'
MODES = ('hang', 'reset', 'refuse')
TARGET_IP = '127.0.0.1'
_POLL_S = 0.02
_HANG_S = 60.0


class _Links:
    """Connections to targets, and the fault that applies to them."""

    def __init__(self, path: pathlib.Path, store_address: str) -> None:
        self.mode = ''
        self._path = path
        self._store_address = store_address
        self._transports: list[asyncio.Transport] = []
        self._open = _stream.open_connection
        self._write = _stream.TargetStream.write
        self._task: asyncio.Task[None] | None = None

    async def open(
        self,
        build_protocol: collections.abc.Callable[[], typing.Any],
        host: str,
        port: int,
    ) -> tuple[asyncio.Transport, typing.Any]:
        """Open a connection unless the links are cut."""
        if self._task is None:
            self._task = asyncio.ensure_future(self._poll())
        is_target = host == TARGET_IP
        if is_target and f'{host}:{port}' != self._store_address:
            if self.mode == 'hang':
                await asyncio.sleep(_HANG_S)
            if self.mode:
                raise ConnectionRefusedError('links are cut')
        transport, protocol = await self._open(build_protocol, host, port)
        if is_target:
            self._transports.append(transport)
        return transport, protocol

    async def write(
        self,
        stream: typing.Any,
        buffer: bytes,
        timeout: float | None = None,
    ) -> None:
        """Write to a target; nothing arrives while the links hang."""
        if self.mode == 'hang' and stream._transport in self._transports:
            stream.sent_bytes += len(buffer)
            return
        await self._write(stream, buffer, timeout)

    async def _poll(self) -> None:
        while True:
            mode = self._path.read_text() if self._path.exists() else ''
            if mode != self.mode:
                self.mode = mode
                self._apply()
            await asyncio.sleep(_POLL_S)

    def _apply(self) -> None:
        self._transports = [
            item for item in self._transports if not item.is_closing()
        ]
        for transport in self._transports:
            if self.mode == 'hang':
                transport.pause_reading()
            elif self.mode != 'refuse':
                transport.abort()


def install(settings_path: str) -> None:
    """Let a file beside the settings control the links of the daemon.

    Args:
        settings_path: Path of the settings.
    """
    path = pathlib.Path(settings_path)
    settings = json.loads(path.read_text())
    links = _Links(path.with_suffix(SUFFIX), settings['store_address'])
    _stream.open_connection = links.open  # type: ignore[assignment]

    async def write(
        stream: _stream.TargetStream,
        buffer: bytes,
        timeout: float | None = None,
    ) -> None:
        await links.write(stream, buffer, timeout)

    _stream.TargetStream.write = write  # type: ignore[method-assign]
