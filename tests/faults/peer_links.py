"""Cuts of the links from other daemons to one, inside its process.

A file names the addresses of the peers whose datagrams are lost, and whose
responses to calls do not arrive.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import typing

from wigeonhatch.peers import peer_call
from wigeonhatch.peers import state_link

SUFFIX = '.peers'
_POLL_S = 0.02


class _PeerLinks:
    """Peers from which nothing arrives."""

    def __init__(self, path: pathlib.Path) -> None:
        self.cut_ips: frozenset[str] = frozenset()
        self._path = path
        self._get = peer_call.get
        self._receive = state_link.StateLink.datagram_received
        self._task: asyncio.Task[None] | None = None

    def receive(
        self, link: state_link.StateLink, data: bytes, addr: typing.Any
    ) -> None:
        """Drop a datagram of a peer whose link is cut."""
        if self._task is None:
            self._task = asyncio.ensure_future(self._poll())
        if addr[0] not in self.cut_ips:
            self._receive(link, data, addr)

    async def get(self, ip: str, port: int, path: str) -> bytes:
        """Read from a peer; the response over a link that is cut is lost.

        Raises:
            PeerCallError: The link is cut, or the call failed.
        """
        if ip in self.cut_ips:
            await asyncio.sleep(peer_call.PHASE_TIMEOUT_MS / 1_000)
            raise peer_call.PeerCallError('the link is cut')
        return await self._get(ip, port, path)

    async def _poll(self) -> None:
        while True:
            if self._path.exists():
                text = self._path.read_text()
                self.cut_ips = frozenset(json.loads(text or '[]'))
            await asyncio.sleep(_POLL_S)


def install(settings_path: str) -> None:
    """Let a file beside the settings cut links from peers to the daemon.

    Args:
        settings_path: Path of the settings.
    """
    links = _PeerLinks(pathlib.Path(settings_path).with_suffix(SUFFIX))
    peer_call.get = links.get

    def receive(
        link: state_link.StateLink, data: bytes, addr: typing.Any
    ) -> None:
        links.receive(link, data, addr)

    state_link.StateLink.datagram_received = receive  # type: ignore
