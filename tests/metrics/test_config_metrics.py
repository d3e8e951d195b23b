"""Tests of the metrics of the configuration."""

from __future__ import annotations

from wigeonhatch import clock as clocks
from wigeonhatch.metrics import collector
from wigeonhatch.metrics import config_metrics


def test_host_that_is_behind_shows_it() -> None:
    """Guards against a late host that looks like one that is up to date."""
    clock = clocks.ManualClock()
    metrics = collector.Metrics(clock)
    config = config_metrics.ConfigMetrics(clock, metrics.registry)
    config.lag.on_config(3)
    config.lag.on_peer_version(7)
    clock.advance(1_200)
    lines = metrics.expose().decode().splitlines()
    assert 'wigeonhatch_config_version 3.0' in lines
    assert 'wigeonhatch_config_newest_version 7.0' in lines
    assert 'wigeonhatch_config_behind_seconds 1.2' in lines
    config.on_config(7)
    lines = metrics.expose().decode().splitlines()
    assert 'wigeonhatch_config_behind_seconds 0.0' in lines
    assert 'wigeonhatch_config_delay_seconds_bucket{le="1.0"} 0.0' in lines
    assert 'wigeonhatch_config_delay_seconds_bucket{le="1.5"} 1.0' in lines
