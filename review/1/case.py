"""An entry of another writer holds bytes that cannot be read."""

from __future__ import annotations

import pathlib

from review.standins import foreign_entry
from review.standins import main
from review.standins import scene as scenes

DEPTH = 4_000
"""Levels of nesting; the entry is far below `row_bytes` (65,536)."""


def _build_entry(scene: scenes.Scene) -> bytes:
    del scene
    return b'{"tree":' + b'[' * DEPTH + b']' * DEPTH + b'}'


async def _run() -> int:
    folder = pathlib.Path(__file__).parent
    return await foreign_entry.run(folder, _build_entry)


if __name__ == '__main__':
    main.run(_run)
