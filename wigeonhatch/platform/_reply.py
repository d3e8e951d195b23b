"""Responses to HTTP calls, and classification of transport errors."""

from __future__ import annotations

import collections.abc
import dataclasses
import re
import typing

import httpcore

from wigeonhatch import decoding
from wigeonhatch.platform import interface
from wigeonhatch.platform import names

NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.ConnectionNotAvailable,
)
"""Errors raised before any byte of the request was sent."""
MAYBE_SENT = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
"""Errors after which the request may have been sent and taken effect."""
_ERA = re.compile(rb'[0-9]{1,6}')
_T = typing.TypeVar('_T')


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Status and body of an HTTP response."""

    status: int
    body: bytes


def read_era(
    headers: collections.abc.Iterable[tuple[bytes, bytes]],
) -> int | None:
    """Read the era of the store from the header fields of a response.

    Args:
        headers: Pairs of a name and a value.

    Returns:
        Number that rises each time that the store is restored from a copy;
        None if the field is missing or malformed.
    """
    for name, value in headers:
        if name.lower() == names.STORE_ERA and _ERA.fullmatch(value):
            return int(value)
    return None


def decode(
    reply: Reply | interface.Unavailable | interface.Unknown,
    body_type: type[_T],
) -> _T | interface.Unavailable:
    """Decode the body of a successful response.

    Args:
        reply: Response, or the reason why there is none.
        body_type: Type to decode the body into.

    Returns:
        The decoded body; `Unavailable` for any other response.
    """
    if not isinstance(reply, Reply):
        return interface.Unavailable(reply.detail)
    if reply.status != 200:
        return interface.Unavailable(f'HTTP status {reply.status}')
    try:
        return decoding.decode_json(reply.body, body_type)
    except decoding.DecodeError as error:
        return interface.Unavailable(f'malformed answer: {error}')
