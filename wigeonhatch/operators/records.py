"""Rows of the audit trail."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from wigeonhatch.config import diff
from wigeonhatch.platform import interface

MAX_DIFFERENCES = 500
MAX_REASON_LENGTH = 16_000
STEP_PREFIX = 'audit-step/'


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRecord:
    """Value of the row `audit/NNNNNNNN`: one accepted change.

    Args:
        version: Version that the change made.
        base_version: Version that it was made from; 0 for the first.
        change_id: Identifies the change.
        operator: Name that the operator gave; not authenticated.
        action: `apply`, `drain NAME` or `undrain NAME`.
        host: Entry host that accepted the change.
        accepted_ms: Time on that host since the Unix epoch in ms.
        differences: What changed, at most `MAX_DIFFERENCES` values.
        omitted: Number of further differences.
    """

    version: int
    base_version: int
    change_id: str
    operator: str
    action: str
    host: str
    accepted_ms: int
    differences: list[diff.Difference] = dataclasses.field(
        default_factory=list
    )
    omitted: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedRecord:
    """Value of the row `refused/ID`: one change that was not accepted.

    A row with this key also keeps the change from being accepted later.
    """

    change_id: str
    operator: str
    action: str
    host: str
    refused_ms: int
    base_version: int
    code: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AuditStep:
    """Value of the row `audit-step/SERVICE/N`, as the step writer stores it.

    Args:
        service: Name of the service.
        step: Number of the step.
        host: Entry host that wrote the step.
        config_version: Configuration that the step follows.
        moved: Buckets that changed region.
        wall_ms: Time on that host since the Unix epoch in ms.
    """

    service: str
    step: int
    host: str
    config_version: int
    moved: int
    wall_ms: int


def audit_key(version: int) -> str:
    """Name the row of the change that made a version.

    Args:
        version: Version of the configuration.
    """
    return f'audit/{version:08d}'


def refused_key(change_id: str) -> str:
    """Name the row of a refused change.

    Args:
        change_id: Identifies the change.
    """
    return f'refused/{change_id}'


def step_key(service: str, step: int) -> str:
    """Name the row of a step of a shift.

    Args:
        service: Name of the service.
        step: Number of the step.
    """
    return f'{STEP_PREFIX}{service}/{step:08d}'


_RecordT = typing.TypeVar('_RecordT')


def decode(row: interface.Row | None, kind: type[_RecordT]) -> _RecordT | None:
    """Decode a row.

    Args:
        row: Row of the table, or None.
        kind: Class of the value.

    Returns:
        The value; None if the row is absent or malformed.
    """
    if row is None:
        return None
    try:
        return msgspec.json.decode(row.value, type=kind)
    except msgspec.DecodeError:
        return None
