"""Messages between the command line and the operator interface."""

from __future__ import annotations

import dataclasses
import typing

CHANGE_ID_PATTERN = r'[0-9A-Za-z]{8,64}'
MAX_BODY_BYTES = 48_000_000
"""Holds a folder of the maximum size in base64, with its file names."""
BODY_TIMEOUT_MS = 10_000
HANDLING_TIMEOUT_MS = 30_000
MAX_CONFIRM_WAIT_MS = 5_000
APPLY_PATH = '/v1/apply'
DRAIN_PATH = '/v1/drain'
UNDRAIN_PATH = '/v1/undrain'
CONFIG_PATH = '/v1/config'
STATUS_PATH = '/v1/status'
AUDIT_PATH = '/v1/audit'
CHANGE_PATH = '/v1/change'
CONFIRMATION_PATH = '/v1/confirmation'
METRICS_PATH = '/metrics'


@dataclasses.dataclass(frozen=True)
class ApplyBody:
    """Body of `POST /v1/apply`.

    Args:
        change_id: Unique identifier; 8 to 64 letters and digits.
        operator: Name of the operator for the audit trail.
        files: Content of each file by name.
        base_version: Base of the change; None for the accepted version.
    """

    change_id: str
    operator: str
    files: dict[str, bytes]
    base_version: int | None = None


@dataclasses.dataclass(frozen=True)
class DrainBody:
    """Body of `POST /v1/drain` and `POST /v1/undrain`."""

    change_id: str
    operator: str
    name: str


@dataclasses.dataclass(frozen=True)
class Reply:
    """Body of every response except `GET /metrics`.

    Args:
        code: Number of the result code.
        name: Name of the result code.
        ran: Whether the request took effect.
        retryable: Whether the request may be retried unchanged.
        detail: Human-readable explanation; empty on success.
        request_id: Identifier of the request in the log.
        value: Result; None on failure.
    """

    code: int
    name: str
    ran: str
    retryable: bool
    detail: str
    request_id: str
    value: typing.Any = None
