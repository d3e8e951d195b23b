"""Start of a case: exit status 2 if it cannot run."""

from __future__ import annotations

import asyncio
import collections.abc
import sys

_CANNOT_RUN = 2


def run(
    case: collections.abc.Callable[
        [], collections.abc.Coroutine[None, None, int]
    ],
) -> None:
    """Run a case and exit with its status.

    Args:
        case: Runs the case; returns 1 if the rule was broken, else 0.
    """
    try:
        status = asyncio.run(case())
    except Exception as error:
        # An error of the script itself must not look like a broken rule.
        print(f'cannot run: {error!r}', file=sys.stderr)
        status = _CANNOT_RUN
    sys.exit(status)
