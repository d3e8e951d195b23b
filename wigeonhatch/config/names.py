"""Names of hosts, targets, services, regions and customers."""

from __future__ import annotations

import re

# Names appear in paths of URLs, in keys of rows and, joined by a slash, in
# keys of links.
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}', re.ASCII)
ALLOWED_FORMAT = (
    '1 to 63 letters, digits, ".", "_" and "-", starting with a letter or '
    'digit'
)


def is_name(text: str) -> bool:
    """Tell whether a text may be a name.

    Args:
        text: Any text.
    """
    return _NAME.fullmatch(text) is not None
