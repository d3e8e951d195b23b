"""Parsing of request head fields that needs no configuration."""

from __future__ import annotations

import collections.abc
import itertools
import secrets
import urllib.parse

from wigeonhatch import codes
from wigeonhatch import outcome

_MAX_ID_BYTES = 128
_ID_PREFIX = secrets.token_hex(6)
_SERIALS = itertools.count(1)


def choose_request_id(caller_id: bytes | None) -> str:
    """Return the caller's request ID if it is usable, else generate one.

    Args:
        caller_id: Request ID that the caller sent, if any.
    """
    if caller_id and len(caller_id) <= _MAX_ID_BYTES and caller_id.isascii():
        text = caller_id.decode('ascii')
        if text.isprintable():
            return text
    return f'{_ID_PREFIX}-{next(_SERIALS):x}'


def parse_query(query: bytes) -> dict[str, str]:
    """Split a query string.

    Args:
        query: Query string, still percent-encoded.

    Returns:
        Last value of each name.
    """
    text = query.decode('ascii', 'replace')
    if '%' in text or '+' in text:
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
    # Four times as fast as urllib, which takes a tenth of a lookup's time.
    items = (item.partition('=') for item in text.split('&'))
    return {name: value for name, _, value in items}


def parse_length(
    header_by_name: collections.abc.Mapping[bytes, bytes], max_body_bytes: int
) -> int | outcome.Failure:
    """Parse the declared length of a body.

    Args:
        header_by_name: Value of each header field, names in lower case.
        max_body_bytes: Largest accepted body in bytes.

    Returns:
        Length in bytes, -1 if the body has no declared length; or the
        refusal.
    """
    if b'transfer-encoding' in header_by_name:
        return -1
    value = header_by_name.get(b'content-length')
    if value is None:
        return 0
    if not value.isdigit():
        return outcome.Failure(
            codes.ResultCode.BAD_REQUEST, 'content-length is no number'
        )
    length = int(value[:20])
    if length > max_body_bytes:
        return outcome.Failure(
            codes.ResultCode.BODY_TOO_LARGE,
            f'{length} bytes, the limit is {max_body_bytes}',
        )
    return length
