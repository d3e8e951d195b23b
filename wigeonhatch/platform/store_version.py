"""Versions of a store that may be restored from an older copy.

A restored store gives versions out again. The era tells its histories apart;
it precedes the number, so that versions of a later era compare as newer.
"""

from __future__ import annotations

import typing

import msgspec

_ERA_FACTOR = 10**12
Number = typing.Annotated[int, msgspec.Meta(ge=0, lt=_ERA_FACTOR)]
"""Version number of the store within an era."""


def combine(era: int, number: int) -> int:
    """Combine an era with a version number of the store."""
    return era * _ERA_FACTOR + number


def era_of(version: int) -> int:
    """Era of a combined version."""
    return version // _ERA_FACTOR


def number_of(version: int) -> int:
    """Version number of the store within its era."""
    return version % _ERA_FACTOR
