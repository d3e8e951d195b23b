"""Rows and timing of leases and takeovers."""

from __future__ import annotations

import collections.abc
import dataclasses
import secrets
import typing

import anyio
import msgspec

from wigeonhatch.platform import interface

LEASE_MS = 2_000
MARGIN_MS = 200
"""Time that the standby waits after the end of a lease, for clocks that run
at different rates and for requests on their way to the target."""
COMMIT_TIMEOUT_MS = 1_000

ValueT = typing.TypeVar('ValueT')


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """Value of `lease/HOST`.

    Args:
        incarnation: Incarnation of the host that holds the lease.
        change_id: Identifies the write.
    """

    incarnation: int
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverRow:
    """Value of `takeover/HOST`.

    Args:
        holder: Host that uses the slots.
        include_floor: Whether it uses the floor slots as well.
        change_id: Identifies the write.
    """

    holder: str
    include_floor: bool
    change_id: str


def lease_key(host: str) -> str:
    """Name the row of a host's lease from the table."""
    return f'lease/{host}'


def takeover_key(host: str) -> str:
    """Name the row of a host's takeover."""
    return f'takeover/{host}'


def draw_change_id() -> str:
    """Draw an identifier for a write."""
    return secrets.token_hex(8)


def decode(row: interface.Row | None, kind: type[ValueT]) -> ValueT | None:
    """Decode the value of a row.

    Args:
        row: Row as the platform returned it.
        kind: Dataclass of the value.

    Returns:
        The value; None if there is no row or it is malformed.
    """
    if row is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=kind)
    except msgspec.MsgspecError:
        return None


def is_valid(row: interface.Row | None, platform_ms: int) -> bool:
    """Tell whether a lease from the table may still be in use.

    Args:
        row: Row of the lease.
        platform_ms: Time of the platform in ms.
    """
    if row is None:
        return False
    return platform_ms < row.committed_ms + LEASE_MS + MARGIN_MS


async def commit(
    platform: interface.Platform,
    checks: list[interface.Check],
    writes: list[interface.Write],
) -> interface.CommitResult:
    """Commit with a time limit; a commit that exceeds it is `Unknown`."""
    with anyio.move_on_after(COMMIT_TIMEOUT_MS / 1000):
        return await platform.commit(checks, writes)
    return interface.Unknown(f'no response within {COMMIT_TIMEOUT_MS} ms')


async def read(
    platform: interface.Platform, keys: collections.abc.Iterable[str]
) -> interface.ReadResult | interface.Unavailable:
    """Read rows with a time limit."""
    with anyio.move_on_after(COMMIT_TIMEOUT_MS / 1000):
        return await platform.read(list(keys))
    return interface.Unavailable(f'no response within {COMMIT_TIMEOUT_MS} ms')


async def scan(
    platform: interface.Platform, prefix: str
) -> interface.ReadResult | interface.Unavailable:
    """Read rows by prefix with a time limit."""
    with anyio.move_on_after(COMMIT_TIMEOUT_MS / 1000):
        return await platform.scan(prefix)
    return interface.Unavailable(f'no response within {COMMIT_TIMEOUT_MS} ms')


def version_of(row: interface.Row | None) -> int:
    """Name the version of a row, `ABSENT` if there is none."""
    return interface.ABSENT if row is None else row.version
