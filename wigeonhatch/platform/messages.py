"""Translate callers' and targets' messages of the platform."""

from __future__ import annotations

import collections.abc
import dataclasses

import msgspec

from wigeonhatch.platform import names

Headers = collections.abc.Iterable[tuple[bytes, bytes]]
_MAX_DEADLINE_DIGITS = 9


@dataclasses.dataclass(frozen=True, slots=True)
class CallerFields:
    """What the header fields of a caller's request say.

    Args:
        request_id: Identity of this attempt of the caller.
        affinity_key: Object that the request concerns; empty for none.
        timeout_ms: Time for which the caller waits; None if not said.
    """

    request_id: bytes
    affinity_key: bytes
    timeout_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFields:
    """What the header fields of a target's response say.

    Args:
        request_id: Identity of the request that it answers; empty if absent.
        is_not_run: Whether the target states that it did not run it.
        is_signed: Whether the target vouches for the response.
        load: Running requests, waiting requests and slots, if reported.
        warmup_left_ms: Time for which the target stays cold; 0 if not said.
    """

    request_id: bytes
    is_not_run: bool
    is_signed: bool
    load: tuple[int, int, int] | None
    warmup_left_ms: int


def read_caller_fields(by_name: dict[bytes, bytes]) -> CallerFields:
    """Read the header fields of a caller's request.

    Args:
        by_name: Value of each field, names in lower case.
    """
    return CallerFields(
        by_name.get(names.REQUEST_ID, b''),
        by_name.get(names.AFFINITY_KEY, b''),
        _read_number(by_name.get(names.DEADLINE_MS)),
    )


def read_target_fields(headers: Headers) -> TargetFields:
    """Read the header fields of a target's response.

    Args:
        headers: Names in lower case, and values.
    """
    by_name = dict(headers)
    return TargetFields(
        by_name.get(names.REQUEST_ID, b''),
        names.NOT_RUN in by_name,
        names.SIGNATURE in by_name,
        _read_load(by_name.get(names.LOAD_REPORT)),
        _read_number(by_name.get(names.WARMUP_LEFT_MS)) or 0,
    )


def attempt_headers(
    end_to_end: collections.abc.Iterable[tuple[bytes, bytes]],
    target: str,
    left_ms: int,
) -> tuple[tuple[bytes, bytes], ...]:
    """Build the header fields of one attempt.

    Args:
        end_to_end: Fields of the caller, names in lower case.
        target: Name of the target that alone may run the request.
        left_ms: Time that is left for the request in ms.
    """
    kept = (
        item
        for item in end_to_end
        if item[0] not in (names.DEADLINE_MS, names.TARGET_NAME)
    )
    return (
        *kept,
        (names.DEADLINE_MS, b'%d' % max(1, left_ms)),
        (names.TARGET_NAME, target.encode()),
    )


def retry_after_header(delay_ms: int) -> tuple[bytes, bytes]:
    """Tell a refused caller when to come back.

    Args:
        delay_ms: Time to wait in ms.
    """
    return names.RETRY_AFTER, b'%.3f' % (delay_ms / 1_000)


def encode_directory(
    addresses: collections.abc.Sequence[str], ttl_ms: int
) -> bytes:
    """Encode the hosts that a caller may use.

    Args:
        addresses: `IP:PORT` of each host.
        ttl_ms: Time for which the answer holds in ms.
    """
    return msgspec.json.encode(
        {'addresses': list(addresses), 'ttl': f'{ttl_ms}ms'}
    )


def _read_number(value: bytes | None) -> int | None:
    if value is None or not value.isdigit():
        return None
    return int(value[:_MAX_DEADLINE_DIGITS])


def _read_load(value: bytes | None) -> tuple[int, int, int] | None:
    parts = (value or b'').split(b',')
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return running, waiting, slots
