"""Short soak tests with fixed seeds."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from tests.faults import run

HOSTS_BY_SEED = {3: 6, 5: 6, 1707: 4, 9438: 4, 9439: 4}
"""Seed 3 has only planned events; seed 5 has all events. With seed 1707, a
stopping host received SIGHUP, ended at once and cut a request. With 9438 (and
9410), the evacuation of a target that left was not ended by the soak; with
9439, the start of a target differed from one row to the next."""


@pytest.mark.parametrize('seed', HOSTS_BY_SEED)
def test_bounds_hold(tmp_path: pathlib.Path, seed: int) -> None:
    """Guards against violated bounds under external faults."""
    hosts = HOSTS_BY_SEED[seed]
    result = asyncio.run(run.run_seed(seed, tmp_path, hosts, seconds=8.0))
    assert result.violations == []
    assert result.request_count > 0
