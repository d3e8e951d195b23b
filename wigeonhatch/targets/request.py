"""Data of requests to targets."""

from __future__ import annotations

import dataclasses

from wigeonhatch import outcome
from wigeonhatch.requests import headers as fields


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """Head of a request to a target.

    Args:
        method: HTTP method.
        path: Path with query, as sent.
        headers: End-to-end header fields, without `Host` and the length.
        body_length: Length of the body in bytes; -1 if unknown.
        host_name: Value of the `Host` field; the target's address if empty.
    """

    method: str
    path: bytes
    headers: fields.HeaderTuple
    body_length: int
    host_name: bytes = b''


class BodyInterrupted(Exception):
    """Raised by the iterator of a request body that cannot continue.

    Args:
        failure: Reason for the interruption.
    """

    def __init__(self, failure: outcome.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure
