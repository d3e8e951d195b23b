"""Rendezvous hashing."""

from __future__ import annotations

import collections.abc

import xxhash


def rank(names: collections.abc.Iterable[str], subject: str) -> list[str]:
    """Order names by rendezvous hashing.

    Args:
        names: Candidates.
        subject: What the candidates are ranked for.

    Returns:
        The candidates, best first; the same on every host.
    """

    def weigh(name: str) -> tuple[int, str]:
        text = f'{subject}\0{name}'
        return xxhash.xxh3_64_intdigest(text.encode()), name

    return sorted(names, key=weigh, reverse=True)
