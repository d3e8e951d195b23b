"""Replies of HTTP calls and the errors of calls without one."""

from __future__ import annotations

import dataclasses
import typing

import httpcore
import msgspec

from wigeonhatch.platform import interface

NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.ConnectionNotAvailable,
)
"""Errors after which nothing can have reached the platform."""
BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
"""Errors after which a write may have taken effect."""
_T = typing.TypeVar('_T')


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of a reply."""

    status: int
    body: bytes


def decode(
    reply: Reply | interface.Unavailable | interface.Unknown,
    wanted: type[_T],
) -> _T | interface.Unavailable:
    """Decode the body of a successful reply.

    Args:
        reply: Reply, or why there is none.
        wanted: Type of the body.

    Returns:
        The body; `Unavailable` for any other reply.
    """
    if not isinstance(reply, Reply):
        return interface.Unavailable(reply.detail)
    if reply.status != 200:
        return interface.Unavailable(f'HTTP status {reply.status}')
    try:
        return msgspec.json.decode(reply.body, type=wanted)
    except msgspec.DecodeError as error:
        return interface.Unavailable(f'malformed answer: {error}')
