"""Parsing of durations such as `1500ms` or `2.5s`."""

from __future__ import annotations

import re

_DURATION = re.compile(r'(\d{1,12}(?:\.\d+)?)(ms|s)', re.ASCII)
_MS_BY_UNIT = {'ms': 1.0, 's': 1_000.0}


def parse_duration_ms(text: object) -> int:
    """Parse a duration.

    Args:
        text: Number of at most 12 integer digits with the unit `ms` or `s`.

    Returns:
        Duration in ms.

    Raises:
        ValueError: The text is not a duration.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f'{text!r:.40} is not a number followed by ms or s')
    return round(float(match[1]) * _MS_BY_UNIT[match[2]])
