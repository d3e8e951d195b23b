"""Value of the `Retry-After` field in a response of a target."""

from __future__ import annotations

import datetime
import email.utils
import re

MAX_MS = 86_400_000
"""Longest delay that is read, in ms; longer ones count as a day."""
_SECONDS = re.compile(rb'[0-9]+(\.[0-9]*)?')


def parse_ms(value: bytes, date: bytes | None) -> int | None:
    """Parse a delay, which is given in seconds or as an HTTP date.

    Args:
        value: Value of the field.
        date: Value of the `Date` field of the same response, which a date is
            compared with, so that the clock of this host does not matter.

    Returns:
        The delay in ms; 0 if it is over. None if it cannot be read.
    """
    text = value.strip()
    if _SECONDS.fullmatch(text):
        return int(min(float(text) * 1_000, MAX_MS))
    until, now = _parse_date(text), _parse_date(date or b'')
    if until is None or now is None:
        return None
    delay_ms = (until - now) / datetime.timedelta(milliseconds=1)
    return int(min(max(0.0, delay_ms), MAX_MS))


def _parse_date(text: bytes) -> datetime.datetime | None:
    try:
        parsed = email.utils.parsedate_to_datetime(text.decode('latin-1'))
    except (ValueError, OverflowError):
        return None
    # HTTP dates are in UTC even if they do not say so.
    return parsed.replace(tzinfo=parsed.tzinfo or datetime.UTC)
