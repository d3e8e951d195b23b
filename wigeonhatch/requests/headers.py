"""Header fields of requests and responses."""

from __future__ import annotations

import collections.abc

Headers = collections.abc.Iterable[tuple[bytes, bytes]]
HeaderTuple = tuple[tuple[bytes, bytes], ...]

DEADLINE = b'wigeonhatch-deadline-ms'
KEY = b'idempotency-key'
NON_IDEMPOTENT = b'wigeonhatch-non-idempotent'
CUSTOMER = b'wigeonhatch-customer'
REQUEST_ID = b'wigeonhatch-request-id'
CLIENT = b'wigeonhatch-client'
BUCKET = b'wigeonhatch-bucket'
CODE = b'wigeonhatch-code'
RAN = b'wigeonhatch-ran'
FORWARDED = b'wigeonhatch-forwarded'
DECISION = b'wigeonhatch-decision'
NOT_RUN_VALUE = b'not run'

_HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    }
)
# Not forwarded: set anew for each attempt, from validated values.
_RESERVED_REQUEST = frozenset(
    {
        DEADLINE,
        CUSTOMER,
        REQUEST_ID,
        CLIENT,
        BUCKET,
        CODE,
        RAN,
        FORWARDED,
        b'content-length',
        b'expect',
        b'host',
    }
)
# Not forwarded, so that a target cannot imitate a refusal by this program.
_RESERVED_RESPONSE = frozenset({CODE, RAN})
_DROPPED_REQUEST = _HOP_BY_HOP | _RESERVED_REQUEST
_DROPPED_RESPONSE = _HOP_BY_HOP | _RESERVED_RESPONSE


def _connection_options(headers: HeaderTuple) -> frozenset[bytes]:
    names = {
        token.strip().lower()
        for name, value in headers
        if name == b'connection'
        for token in value.split(b',')
    }
    return frozenset(names - {b'close', b'keep-alive', b''})


def _drop(headers: HeaderTuple, dropped: frozenset[bytes]) -> HeaderTuple:
    connection_options = _connection_options(headers)
    if connection_options:
        dropped |= connection_options
    return tuple(item for item in headers if item[0] not in dropped)


def filter_request(headers: Headers) -> HeaderTuple:
    """Select the header fields that a target receives unchanged.

    Args:
        headers: Names in lower case, and values.
    """
    return _drop(tuple(headers), _DROPPED_REQUEST)


def filter_response(headers: Headers) -> HeaderTuple:
    """Select the header fields that a caller receives.

    Args:
        headers: Names in any case, and values.

    Returns:
        Names in lower case, and values.
    """
    lowered = tuple((name.lower(), value) for name, value in headers)
    return _drop(lowered, _DROPPED_RESPONSE)


def find(headers: Headers, field_name: bytes) -> bytes | None:
    """Find the first value of a header field.

    Args:
        headers: Names in lower case, and values.
        field_name: Name in lower case.
    """
    for name, value in headers:
        if name == field_name:
            return value
    return None
