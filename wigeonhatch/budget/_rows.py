"""Stored rows and timing of leases and takeovers."""

from __future__ import annotations

import collections.abc
import dataclasses
import secrets
import typing

import anyio

from wigeonhatch import decoding
from wigeonhatch.platform import interface

LEASE_MS = 2_000
TAKEOVER_MARGIN_MS = 200
"""Time that the standby waits after a lease expires. It covers clocks that run
at different rates and requests in transit to the target."""
COMMIT_TIMEOUT_MS = 1_000

ValueT = typing.TypeVar('ValueT')


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """Value of the row `lease/HOST`.

    Args:
        incarnation: Incarnation of the host that holds the lease.
        change_id: Unique identifier of the write.
    """

    incarnation: int
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverRow:
    """Value of the row `takeover/HOST`.

    Args:
        holder: Host that has taken over the slots.
        include_floor: Whether the takeover includes the floor slots.
        change_id: Unique identifier of the write.
    """

    holder: str
    include_floor: bool
    change_id: str


def lease_key(host: str) -> str:
    """Return the key of the lease row of a host."""
    return f'lease/{host}'


def takeover_key(host: str) -> str:
    """Return the key of the takeover row of a host."""
    return f'takeover/{host}'


def generate_change_id() -> str:
    """Generate a random identifier for a write."""
    return secrets.token_hex(8)


def decode(row: interface.Row | None, kind: type[ValueT]) -> ValueT | None:
    """Decode the value of a row.

    Args:
        row: Row as returned by the platform.
        kind: Dataclass of the value.

    Returns:
        The value; None if there is no row or it is malformed.
    """
    if row is None:
        return None
    try:
        return decoding.decode_json(row.value, kind)
    except decoding.DecodeError:
        return None


def is_lease_valid(row: interface.Row | None, platform_ms: int) -> bool:
    """Return whether the lease in a row may still be in use.

    Args:
        row: Lease row.
        platform_ms: Time of the platform in ms.
    """
    if row is None:
        return False
    return platform_ms < row.committed_ms + LEASE_MS + TAKEOVER_MARGIN_MS


async def commit(
    platform: interface.Platform,
    checks: list[interface.Check],
    writes: list[interface.Write],
) -> interface.CommitResult:
    """Commit with a timeout; the result of a timed-out commit is `Unknown`."""
    with anyio.move_on_after(COMMIT_TIMEOUT_MS / 1000):
        return await platform.commit(checks, writes)
    return interface.Unknown(f'no response within {COMMIT_TIMEOUT_MS} ms')


async def read(
    platform: interface.Platform, keys: collections.abc.Iterable[str]
) -> interface.ReadResult | interface.Unavailable:
    """Read rows with a timeout."""
    with anyio.move_on_after(COMMIT_TIMEOUT_MS / 1000):
        return await platform.read(list(keys))
    return interface.Unavailable(f'no response within {COMMIT_TIMEOUT_MS} ms')


async def scan(
    platform: interface.Platform, prefix: str
) -> interface.ReadResult | interface.Unavailable:
    """Read the rows with a key prefix, with a timeout."""
    with anyio.move_on_after(COMMIT_TIMEOUT_MS / 1000):
        return await platform.scan(prefix)
    return interface.Unavailable(f'no response within {COMMIT_TIMEOUT_MS} ms')


def row_version(row: interface.Row | None) -> int:
    """Return the version of a row, `ABSENT` if there is none."""
    return interface.ABSENT if row is None else row.version
