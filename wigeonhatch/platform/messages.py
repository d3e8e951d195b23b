"""Header fields and bodies exchanged with callers and targets."""

from __future__ import annotations

import collections.abc
import dataclasses
import math

import msgspec

from wigeonhatch.platform import _retry_after
from wigeonhatch.platform import names

Headers = collections.abc.Iterable[tuple[bytes, bytes]]
_MAX_DEADLINE_DIGITS = 9
_UNAVAILABLE = 503
_MAX_LOGGED_BYTES = 80


@dataclasses.dataclass(frozen=True, slots=True)
class CallerFields:
    """Header fields of a request from a caller.

    Args:
        request_id: ID of this attempt, assigned by the caller.
        affinity_key: Key for session affinity; empty for none.
        timeout_ms: Time for which the caller waits; None if not stated.
    """

    request_id: bytes
    affinity_key: bytes
    timeout_ms: int | None

    @property
    def id_text(self) -> str:
        """Request ID as text, for the log and refusals."""
        return self.request_id.decode('ascii', 'replace')


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFields:
    """Header fields of a response from a target.

    Args:
        request_id: ID of the request that was answered; empty if absent.
        is_not_run: Whether the target states that it did not run it.
        is_signed: Whether the response carries a signature.
        load: Running requests, queued requests and slots, if reported.
        warmup_left_ms: Remaining warm-up time; 0 if not reported.
        max_rate_per_s: Requests per second that the target accepts from all
            hosts together; None if it states no limit.
        is_leaving: Whether the target states that it shuts down. It accepts
            no new requests, from any host, for the rest of its incarnation.
        pause_ms: Time for which a target that refuses a request asks this
            host for no others, in ms; 0 if it does not.
        unusable: Name and value of a field that cannot be read, for the log;
            empty if there is none.
    """

    request_id: bytes
    is_not_run: bool
    is_signed: bool
    load: tuple[int, int, int] | None
    warmup_left_ms: int
    max_rate_per_s: float | None
    is_leaving: bool = False
    pause_ms: int = 0
    unusable: str = ''


def read_caller_fields(by_name: dict[bytes, bytes]) -> CallerFields:
    """Read the header fields of a caller's request.

    Args:
        by_name: Value of each field by its name in lower case.
    """
    return CallerFields(
        by_name.get(names.REQUEST_ID, b''),
        by_name.get(names.AFFINITY_KEY, b''),
        _parse_digits(by_name.get(names.DEADLINE_MS)),
    )


def read_target_fields(headers: Headers, status: int) -> TargetFields:
    """Read the header fields of a target's response.

    Args:
        headers: Pairs of a name in lower case and a value.
        status: HTTP status of the response.
    """
    by_name = dict(headers)
    retry_after = by_name.get(names.RETRY_AFTER)
    pause_ms: int | None = 0
    if status == _UNAVAILABLE and retry_after is not None:
        pause_ms = _retry_after.parse_ms(retry_after, by_name.get(names.DATE))
    unusable = b''
    if retry_after is not None and pause_ms is None:
        unusable = b'%b: %b' % (names.RETRY_AFTER, retry_after)
    return TargetFields(
        by_name.get(names.REQUEST_ID, b''),
        names.NOT_RUN in by_name,
        names.SIGNATURE in by_name,
        _parse_load(by_name.get(names.LOAD_REPORT)),
        _parse_digits(by_name.get(names.WARMUP_LEFT_MS)) or 0,
        _parse_rate(by_name.get(names.RATE_LIMIT)),
        by_name.get(names.LEAVING, b'0').strip() != b'0',
        pause_ms or 0,
        unusable[:_MAX_LOGGED_BYTES].decode('ascii', 'replace'),
    )


def attempt_headers(
    end_to_end: collections.abc.Iterable[tuple[bytes, bytes]],
    target: str,
    remaining_ms: int,
) -> tuple[tuple[bytes, bytes], ...]:
    """Build the header fields of one attempt.

    Args:
        end_to_end: Fields of the caller to pass on, names in lower case.
        target: Name of the only target that may run the request.
        remaining_ms: Time until the deadline of the request in ms.
    """
    return (
        *forwarded_headers(end_to_end, remaining_ms),
        (names.TARGET_NAME, target.encode()),
    )


def forwarded_headers(
    end_to_end: collections.abc.Iterable[tuple[bytes, bytes]],
    remaining_ms: int,
) -> tuple[tuple[bytes, bytes], ...]:
    """Build the header fields of a request that any target may run.

    Args:
        end_to_end: Fields of the caller to pass on, names in lower case.
        remaining_ms: Time until the deadline of the request in ms.
    """
    passed_on = (
        item
        for item in end_to_end
        if item[0] not in (names.DEADLINE_MS, names.TARGET_NAME)
    )
    return (
        *passed_on,
        (names.DEADLINE_MS, b'%d' % max(1, remaining_ms)),
    )


def retry_after_header(delay_ms: int) -> tuple[bytes, bytes]:
    """Build the `retry-after` field of a refusal.

    Args:
        delay_ms: Time after which the caller may retry in ms.
    """
    return names.RETRY_AFTER, b'%.3f' % (delay_ms / 1_000)


def encode_directory(
    addresses: collections.abc.Sequence[str], ttl_ms: int
) -> bytes:
    """Encode the response to a lookup of hosts.

    Args:
        addresses: `IP:PORT` of each host.
        ttl_ms: Time for which a caller may cache the response in ms.
    """
    return msgspec.json.encode(
        {'addresses': list(addresses), 'ttl': f'{ttl_ms}ms'}
    )


def _parse_digits(value: bytes | None) -> int | None:
    if value is None or not value.isdigit():
        return None
    return int(value[:_MAX_DEADLINE_DIGITS])


def _parse_rate(value: bytes | None) -> float | None:
    try:
        rate_per_s = float(value or b'nan')
    except ValueError:
        return None
    if not math.isfinite(rate_per_s) or rate_per_s < 0:
        return None
    return rate_per_s


def _parse_load(value: bytes | None) -> tuple[int, int, int] | None:
    items = (value or b'').split(b',')
    counts = [_parse_digits(item.strip()) for item in items]
    match counts:
        case [int(running), int(queued), int(slots)]:
            return running, queued, slots
    return None
