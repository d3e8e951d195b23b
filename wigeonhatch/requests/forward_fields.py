"""Header fields between a host and the peer that runs a request for it."""

from __future__ import annotations

import dataclasses
import re

from wigeonhatch import codes
from wigeonhatch.requests import headers as fields

_LIMITS = re.compile(rb'([0-9]{1,4}) ([0-9]{1,15})')
_RAN_BY_NAME = {ran.name.encode(): ran for ran in codes.Ran}


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a forwarded request.

    Args:
        attempts_left: Targets to which it may still be sent.
        config_version: Lowest version of the configuration that may be
            applied to it.
    """

    attempts_left: int
    config_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What a peer decided on a forwarded request.

    Args:
        code: Result code; OK for the response of a target.
        ran: Whether the request ran.
        retry_after_ms: Time after which the caller may retry in ms.
    """

    code: codes.ResultCode
    ran: codes.Ran
    retry_after_ms: int


def encode_limits(limits: Limits) -> tuple[bytes, bytes]:
    """Build the field with the limits of a forwarded request.

    Args:
        limits: The limits.
    """
    value = b'%d %d' % (limits.attempts_left, limits.config_version)
    return fields.FORWARDED, value


def parse_limits(value: bytes | None) -> Limits | None:
    """Parse the field with the limits of a forwarded request.

    Args:
        value: Value of the field; None if it is absent.

    Returns:
        The limits; None if the field is absent or malformed.
    """
    match = _LIMITS.fullmatch(value or b'')
    if match is None:
        return None
    return Limits(max(1, int(match[1])), int(match[2]))


def encode_decision(decision: Decision) -> tuple[bytes, bytes]:
    """Build the field with the decision on a forwarded request.

    Args:
        decision: The decision.
    """
    value = b'%d %b %d' % (
        decision.code,
        decision.ran.name.encode(),
        decision.retry_after_ms,
    )
    return fields.DECISION, value


def find_decision(headers: fields.HeaderTuple) -> Decision | None:
    """Find the decision of a peer in the fields of its response.

    Args:
        headers: Names in lower case, and values.

    Returns:
        The decision; None if the field is absent or malformed.
    """
    items = (fields.find(headers, fields.DECISION) or b'').split()
    if len(items) != 3 or items[1] not in _RAN_BY_NAME:
        return None
    try:
        return Decision(
            codes.ResultCode(int(items[0])),
            _RAN_BY_NAME[items[1]],
            int(items[2]),
        )
    except ValueError:
        return None


def remove_decision(headers: fields.HeaderTuple) -> fields.HeaderTuple:
    """Remove the decision from the fields of a response.

    Args:
        headers: Names in lower case, and values.
    """
    return tuple(item for item in headers if item[0] != fields.DECISION)
