"""Tests of the translation of header fields."""

from __future__ import annotations

import json

from wigeonhatch.platform import messages


def test_attempt_states_target_and_time_left() -> None:
    """Guards against targets that work on for longer than callers wait."""
    headers = messages.attempt_headers(
        [(b'request-id', b'r'), (b'deadline-ms', b'4000')], 't1', 1_234
    )
    assert headers == (
        (b'request-id', b'r'),
        (b'deadline-ms', b'1234'),
        (b'target-instance', b't1'),
    )
    late = dict(messages.attempt_headers([], 't1', -5))
    assert late[b'deadline-ms'] == b'1'


def test_malformed_fields_are_ignored() -> None:
    """Guards against header fields that fail a request."""
    said = messages.read_caller_fields({b'deadline-ms': b'soon'})
    assert said.timeout_ms is None
    fields = messages.read_target_fields(
        [(b'server-load', b'1,x,3'), (b'warmup-ms', b'-1')]
    )
    assert fields.load is None
    assert fields.warmup_left_ms == 0
    assert not fields.is_not_run


def test_target_fields() -> None:
    """Guards against a refusal that is taken for a response."""
    fields = messages.read_target_fields(
        [
            (b'request-id', b'r'),
            (b'not-executed', b'1'),
            (b'server-load', b'3,0,8'),
            (b'warmup-ms', b'250'),
        ]
    )
    assert fields.is_not_run
    assert not fields.is_signed
    assert fields.load == (3, 0, 8)
    assert fields.warmup_left_ms == 250


def test_directory_and_delay() -> None:
    """Guards against lookups and delays that callers cannot read."""
    assert json.loads(messages.encode_directory(['10.0.0.1:80'], 2_000)) == {
        'addresses': ['10.0.0.1:80'],
        'ttl': '2000ms',
    }
    assert messages.retry_after_header(250) == (b'retry-after', b'0.250')
