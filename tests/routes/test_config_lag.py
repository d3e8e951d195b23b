"""Tests of comparing the configuration with those of the peers."""

from __future__ import annotations

from wigeonhatch import clock as clocks
from wigeonhatch.routes import config_lag


def test_lag_counts_from_the_first_newer_announcement() -> None:
    """Guards against a delay that each further announcement starts again."""
    clock = clocks.ManualClock()
    lag = config_lag.ConfigLag(clock)
    assert lag.on_config(3) == 0
    lag.on_peer_version(2)
    assert not lag.is_behind
    clock.advance(700)
    lag.on_peer_version(5)
    clock.advance(200)
    lag.on_peer_version(6)
    assert (lag.newest_version, lag.behind_ms, lag.age_ms) == (6, 200, 900)
    assert lag.on_config(6) == 200
    assert not lag.is_behind
    assert (lag.behind_ms, lag.age_ms) == (0, 0)


def test_host_that_catches_up_in_part_is_still_behind() -> None:
    """Guards against a host that takes any change for the newest one."""
    clock = clocks.ManualClock()
    lag = config_lag.ConfigLag(clock)
    lag.on_config(3)
    lag.on_peer_version(9)
    clock.advance(100)
    lag.on_config(5)
    assert lag.is_behind
    clock.advance(50)
    assert lag.behind_ms == 50
