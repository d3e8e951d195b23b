"""Short soak tests with fixed seeds."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from tests.faults import run

SEEDS = (3, 5)
"""Seed 3 has only planned events; seed 5 has all events."""


@pytest.mark.parametrize('seed', SEEDS)
def test_bounds_hold(tmp_path: pathlib.Path, seed: int) -> None:
    """Guards against violated bounds under external faults."""
    result = asyncio.run(run.run_seed(seed, tmp_path, hosts=6, seconds=8.0))
    assert result.violations == []
    assert result.request_count > 0
