"""HTTP calls between hosts that read each other's state."""

from __future__ import annotations

import anyio
import httpcore

PHASE_TIMEOUT_MS = 700
"""Timeout of each phase of a call; a round trip takes up to 90 ms."""
CALL_TIMEOUT_MS = 1_500
"""Timeout of a whole call, so that a trickle of bytes does not prolong it."""


class PeerCallError(Exception):
    """The peer did not answer the call."""


async def get(ip: str, port: int, path: str) -> bytes:
    """Read a resource of a peer.

    Args:
        ip: Address of the peer.
        port: Port on which it serves its state.
        path: Path and query.

    Returns:
        Body of the response.

    Raises:
        PeerCallError: There was no whole response with status 200 in time.
    """
    timeouts = dict.fromkeys(
        ('connect', 'read', 'write', 'pool'), PHASE_TIMEOUT_MS / 1_000
    )
    try:
        with anyio.fail_after(CALL_TIMEOUT_MS / 1_000):
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    'GET',
                    f'http://{ip}:{port}{path}',
                    extensions={'timeout': timeouts},
                )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        TimeoutError,
    ) as error:
        raise PeerCallError(type(error).__name__) from error
    if response.status != 200:
        raise PeerCallError(f'HTTP status {response.status}')
    return response.content
