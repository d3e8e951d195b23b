"""Rows of the audit trail: keys, values and decoding."""

from __future__ import annotations

import dataclasses
import typing

from wigeonhatch import decoding
from wigeonhatch.config import diff
from wigeonhatch.platform import interface

MAX_DIFFERENCES = 500
MAX_REASON_LENGTH = 16_000
STEP_PREFIX = 'audit-step/'


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRecord:
    """Value of the row `audit/NNNNNNNN`: one accepted change.

    Args:
        version: Version that the change created.
        base_version: Version that it replaced; 0 for the first change.
        change_id: Identifier of the change.
        operator: Name that the operator gave; not authenticated.
        action: `apply`, `drain NAME` or `undrain NAME`.
        host: Entry host that accepted the change.
        accepted_ms: Wall-clock time of that host, ms since the Unix epoch.
        differences: Changed values, at most `MAX_DIFFERENCES`.
        omitted: Number of differences beyond that limit.
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

    The row also acts as a fence: a commit of this change fails if it exists.
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
    """Value of the row `audit-step/SERVICE/N`, written by the step writer.

    Args:
        service: Name of the service.
        step: Number of the step.
        host: Entry host that wrote the step.
        config_version: Version of the configuration that the step applies.
        moved: Number of buckets that changed region.
        wall_ms: Wall-clock time of that host, ms since the Unix epoch.
    """

    service: str
    step: int
    host: str
    config_version: int
    moved: int
    wall_ms: int


def audit_key(version: int) -> str:
    """Build the key of the audit record of a version.

    Args:
        version: Version of the configuration.
    """
    return f'audit/{version:08d}'


def refused_key(change_id: str) -> str:
    """Build the key of the record of a refused change.

    Args:
        change_id: Identifier of the change.
    """
    return f'refused/{change_id}'


def step_key(service: str, step: int) -> str:
    """Build the key of the audit record of a step of a traffic shift.

    Args:
        service: Name of the service.
        step: Number of the step.
    """
    return f'{STEP_PREFIX}{service}/{step:08d}'


_RecordT = typing.TypeVar('_RecordT')


def decode(
    row: interface.Row | None, record_type: type[_RecordT]
) -> _RecordT | None:
    """Decode the value of a row.

    Args:
        row: Row of the table; None if absent.
        record_type: Class of the value.

    Returns:
        The value; None if the row is absent or malformed.
    """
    if row is None:
        return None
    try:
        return decoding.decode_json(row.value, record_type)
    except decoding.DecodeError:
        return None
