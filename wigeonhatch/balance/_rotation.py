"""Selection of a part of a list, another one after each interval."""

from __future__ import annotations

import collections.abc
import itertools
import typing

INTERVAL_MS = 200
"""Time after which the next part is selected."""
_T = typing.TypeVar('_T')


def select(
    items: collections.abc.Sequence[_T], count: int, now_ms: int
) -> tuple[_T, ...]:
    """Select items in turn, so that all have been selected after some time.

    Args:
        items: All items.
        count: Maximum number of selected items.
        now_ms: Monotonic time in ms.
    """
    if len(items) <= count:
        return tuple(items)
    start = now_ms // INTERVAL_MS * count % len(items)
    return tuple(
        itertools.islice(itertools.chain(items[start:], items[:start]), count)
    )
