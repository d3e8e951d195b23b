"""Syntax of the names of hosts, targets, services and other entities."""

from __future__ import annotations

import re

# Names must be safe in URL paths and row keys, and must not contain the slash
# that joins two region names in the key of a link.
_NAME_PATTERN = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}', re.ASCII)
ALLOWED_FORMAT = (
    '1 to 63 letters, digits, ".", "_" and "-", starting with a letter or '
    'digit'
)


def is_name(text: str) -> bool:
    """Return whether a text is a valid name.

    Args:
        text: Text to check.
    """
    return _NAME_PATTERN.fullmatch(text) is not None
