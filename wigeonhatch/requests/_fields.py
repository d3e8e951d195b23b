"""Parts of a head that need no configuration."""

from __future__ import annotations

import collections.abc
import itertools
import secrets
import urllib.parse

from wigeonhatch import codes
from wigeonhatch import outcome

_MAX_ID_BYTES = 128
_PROCESS_ID = secrets.token_hex(6)
_NUMBERS = itertools.count(1)


def choose_request_id(given: bytes | None) -> str:
    """Take over or make the identity of a request.

    Args:
        given: Identity that the caller sent, if any.
    """
    if given and len(given) <= _MAX_ID_BYTES and given.isascii():
        text = given.decode('ascii')
        if text.isprintable():
            return text
    return f'{_PROCESS_ID}-{next(_NUMBERS):x}'


def parse_query(query: bytes) -> dict[str, str]:
    """Split a query string.

    Args:
        query: Query string as sent.

    Returns:
        Last value of each name.
    """
    text = query.decode('ascii', 'replace')
    if '%' in text or '+' in text:
        return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
    # Four times as fast as the library, which costs a tenth of a lookup.
    items = (item.partition('=') for item in text.split('&'))
    return {name: value for name, _, value in items}


def parse_length(
    by_name: collections.abc.Mapping[bytes, bytes], max_body_bytes: int
) -> int | outcome.Failure:
    """Read the declared length of a body.

    Args:
        by_name: Value of each header field, names in lower case.
        max_body_bytes: Largest body.

    Returns:
        Length in bytes, -1 if the body has no declared length; or the
        refusal.
    """
    if b'transfer-encoding' in by_name:
        return -1
    value = by_name.get(b'content-length')
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
