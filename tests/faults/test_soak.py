"""Short runs of the soak with fixed seeds."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from tests.faults import run

SEEDS = (3, 5)
"""Planned work alone, and all faults."""


@pytest.mark.parametrize('seed', SEEDS)
def test_promises_hold(tmp_path: pathlib.Path, seed: int) -> None:
    """Guards against promises that break under faults from outside."""
    result = asyncio.run(run.play(seed, tmp_path, hosts=6, seconds=8.0))
    assert result.violations == []
    assert result.attempts > 0
