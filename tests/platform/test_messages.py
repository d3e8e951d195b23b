"""Tests of the messages exchanged with callers and targets."""

from __future__ import annotations

import json

import pytest

from wigeonhatch.platform import messages


def test_attempt_headers_name_target_and_deadline() -> None:
    """Guards against targets that run requests beyond their deadlines."""
    headers = messages.attempt_headers(
        [(b'request-id', b'r'), (b'deadline-ms', b'4000')], 't1', 1_234
    )
    assert headers == (
        (b'request-id', b'r'),
        (b'deadline-ms', b'1234'),
        (b'target-instance', b't1'),
    )
    late_fields = dict(messages.attempt_headers([], 't1', -5))
    assert late_fields[b'deadline-ms'] == b'1'


def test_malformed_fields_are_ignored() -> None:
    """Guards against malformed header fields that fail a request."""
    caller_fields = messages.read_caller_fields({b'deadline-ms': b'soon'})
    assert caller_fields.timeout_ms is None
    target_fields = messages.read_target_fields(
        [(b'server-load', b'1,x,3'), (b'warmup-ms', b'-1')], 200
    )
    assert target_fields.load is None
    long_fields = messages.read_target_fields(
        [
            (b'server-load', b'1,2,' + b'9' * 5_000),
            (b'warmup-ms', b'9' * 5_000),
            (b'rate-limit', b'9' * 5_000),
        ],
        200,
    )
    assert long_fields.max_rate_per_s is None
    assert target_fields.warmup_left_ms == 0
    assert not target_fields.is_not_run


def test_target_fields() -> None:
    """Guards against a refusal of a target that is relayed as a response."""
    target_fields = messages.read_target_fields(
        [
            (b'request-id', b'r'),
            (b'not-executed', b'1'),
            (b'server-load', b'3,0,8'),
            (b'warmup-ms', b'250'),
        ],
        200,
    )
    assert target_fields.is_not_run
    assert not target_fields.is_signed
    assert target_fields.load == (3, 0, 8)
    assert target_fields.warmup_left_ms == 250


@pytest.mark.parametrize(
    ('value', 'expected'),
    [
        (b'3.9', 3.9),
        (b'0', 0.0),
        (b'', None),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'many', None),
    ],
)
def test_rate_limit_of_a_target(value: bytes, expected: float | None) -> None:
    """Guards against a rate limit that is not read, or a malformed one."""
    target_fields = messages.read_target_fields(
        [(b'server-limit', value)], 200
    )
    assert target_fields.max_rate_per_s == expected


@pytest.mark.parametrize(
    ('headers', 'is_leaving'),
    [
        ([(b'server-leaving', b'1')], True),
        ([(b'server-leaving', b'0')], False),
        ([], False),
    ],
)
def test_departure_of_a_target(
    headers: list[tuple[bytes, bytes]], is_leaving: bool
) -> None:
    """Guards against a departure that is not read."""
    for status in (200, 503):
        target_fields = messages.read_target_fields(headers, status)
        assert target_fields.is_leaving == is_leaving


DATE = b'Wed, 21 Oct 2015 07:28:00 GMT'
DAY_MS = 86_400_000


@pytest.mark.parametrize(
    ('value', 'pause_ms'),
    [
        (b'0.2', 200),
        (b'3', 3_000),
        (b' 60 ', 60_000),
        (b'0', 0),
        (b'9' * 400, DAY_MS),
        (b'Wed, 21 Oct 2015 07:28:05 GMT', 5_000),
        (b'Wed, 21 Oct 2015 07:28:05', 5_000),
        (b'Wed, 21 Oct 2015 07:27:00 GMT', 0),
        (b'Wed, 21 Oct 2099 07:28:00 GMT', DAY_MS),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'1e3', None),
        (b'', None),
        (b'soon', None),
        (b'Wed, 99 Oct 2015 07:28:00 GMT', None),
        (b'Wed, 21 Oct 99999999999 07:28:00 GMT', None),
        (b'\xff' * 400, None),
    ],
)
def test_pause_that_a_target_asks_for(
    value: bytes, pause_ms: int | None
) -> None:
    """Guards against a pause that is not read, or an unreadable one."""
    headers = [(b'retry-after', value), (b'date', DATE)]
    target_fields = messages.read_target_fields(headers, 503)
    assert target_fields.pause_ms == (pause_ms or 0)
    assert bool(target_fields.unusable) == (pause_ms is None)
    assert len(target_fields.unusable) <= 80
    assert messages.read_target_fields(headers, 200).pause_ms == 0


def test_date_without_the_time_of_the_response_is_unusable() -> None:
    """Guards against a pause that depends on the clock of the host."""
    for headers in ([], [(b'date', b'now')]):
        target_fields = messages.read_target_fields(
            [(b'retry-after', DATE), *headers], 503
        )
        assert target_fields.pause_ms == 0
        assert target_fields.unusable.startswith('retry-after: Wed')


def test_directory_and_retry_after() -> None:
    """Guards against lookup responses and delays that callers cannot parse."""
    assert json.loads(messages.encode_directory(['10.0.0.1:80'], 2_000)) == {
        'addresses': ['10.0.0.1:80'],
        'ttl': '2000ms',
    }
    assert messages.retry_after_header(250) == (b'retry-after', b'0.250')
