"""Metrics of the configuration in force and of those of the peers."""

from __future__ import annotations

import collections.abc

import prometheus_client
from prometheus_client import core
from prometheus_client import registry as registries

from wigeonhatch import clock as clocks
from wigeonhatch.routes import config_lag

_DELAY_BUCKETS_S = (0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 6.0, 15.0, 60.0)


class ConfigMetrics:
    """Collect the versions of the configuration, and how late changes are.

    Args:
        clock: Source of monotonic time.
        registry: Registry that collects the metrics.

    Attributes:
        lag: Compares this host with its peers.
    """

    def __init__(
        self, clock: clocks.Clock, registry: registries.CollectorRegistry
    ) -> None:
        self.lag = config_lag.ConfigLag(clock)
        self._delays = prometheus_client.Histogram(
            'wigeonhatch_config_delay_seconds',
            'Time from a peer announcing a configuration until it was in '
            'force on this host.',
            buckets=_DELAY_BUCKETS_S,
            registry=registry,
        )
        registry.register(self)

    def on_config(self, version: int) -> None:
        """Record that a newer configuration is in force.

        Args:
            version: Its version.
        """
        self._delays.observe(self.lag.on_config(version) / 1_000)

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yield the gauges; called by the Prometheus registry."""
        yield core.GaugeMetricFamily(
            'wigeonhatch_config_version',
            'Version of the configuration in force.',
            self.lag.version,
        )
        yield core.GaugeMetricFamily(
            'wigeonhatch_config_newest_version',
            'Newest version in force at this host or at a peer.',
            self.lag.newest_version,
        )
        yield core.GaugeMetricFamily(
            'wigeonhatch_config_behind_seconds',
            'Time since a peer announced a newer configuration.',
            self.lag.behind_ms / 1_000,
        )
