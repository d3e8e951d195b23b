"""Interface of the platform, independent of its protocol."""

from __future__ import annotations

import dataclasses
import enum
import typing

ABSENT = 0
"""Version of a row that does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row of the table.

    Args:
        key: Key of the row.
        value: Encoded value.
        version: Increases by one with each write; never reused for a key.
        committed_ms: Platform time of the last write in ms.
    """

    key: str
    value: bytes
    version: int
    committed_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """Rows that were read, and the platform time of the read."""

    row_by_key: dict[str, Row]
    platform_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Precondition on the version of a row; `ABSENT` if it must not exist."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """New value of a row; None deletes it."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect."""

    version_by_key: dict[str, int]
    platform_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A check failed and nothing was written; holds the current rows."""

    row_by_key: dict[str, Row]
    platform_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform could not be reached; nothing was written."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The response was lost; the write may have taken effect."""

    detail: str


CommitResult = Committed | Conflict | Unavailable | Unknown


class HostState(enum.StrEnum):
    """State of a machine in the platform's host list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class HostList:
    """Machines known to the platform, possibly stale.

    Args:
        version: Number that increases with each change of the list.
        state_by_name: State of each host and target, by name.
    """

    version: int
    state_by_name: dict[str, HostState]


class Platform(typing.Protocol):
    """Operations that the platform offers."""

    async def read(self, keys: list[str]) -> ReadResult | Unavailable:
        """Read rows; the result may be stale and omits absent rows."""
        ...

    async def scan(self, prefix: str) -> ReadResult | Unavailable:
        """Read all rows whose keys start with a prefix, possibly stale."""
        ...

    async def commit(
        self, checks: list[Check], writes: list[Write]
    ) -> CommitResult:
        """Write rows in one transaction if all checks hold.

        A commit without writes validates that its checks hold now.
        """
        ...

    async def get_object(self, name: str) -> bytes | None | Unavailable:
        """Read an object; None if it does not exist."""
        ...

    async def put_object(
        self, name: str, content: bytes
    ) -> None | Unavailable | Unknown:
        """Store an object; None on success."""
        ...

    async def list_hosts(self) -> HostList | Unavailable:
        """Read the list of live and leaving machines, possibly stale."""
        ...
