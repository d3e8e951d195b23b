"""Rendezvous hashing."""

from __future__ import annotations

import collections.abc

import xxhash


def rank(names: collections.abc.Iterable[str], key: str) -> list[str]:
    """Rank candidates by rendezvous (highest random weight) hashing.

    Args:
        names: Names of the candidates.
        key: Key that is hashed with each name.

    Returns:
        The candidates, highest score first; the same on every host.
    """

    def score(name: str) -> tuple[int, str]:
        text = f'{key}\0{name}'
        return xxhash.xxh3_64_intdigest(text.encode()), name

    return sorted(names, key=score, reverse=True)
