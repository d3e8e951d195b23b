"""Metrics of the configuration in force and of those of the peers."""

from __future__ import annotations

import collections.abc

import prometheus_client
from prometheus_client import core
from prometheus_client import registry as registries

from wigeonhatch.routes import config_lag

_DELAY_BUCKETS_S = (0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 6.0, 15.0, 60.0)


class ConfigMetrics:
    """Collect the versions of the configuration, and how late changes are.

    Args:
        lag: Compares this host with its peers.
        registry: Registry that collects the metrics.
    """

    def __init__(
        self, lag: config_lag.ConfigLag, registry: registries.CollectorRegistry
    ) -> None:
        self._lag = lag
        self._delays = prometheus_client.Histogram(
            'wigeonhatch_config_delay_seconds',
            'Time from a peer announcing a configuration until it was in '
            'force on this host.',
            buckets=_DELAY_BUCKETS_S,
            registry=registry,
        )
        registry.register(self)

    def on_change(self, behind_ms: int) -> None:
        """Record a change of the configuration.

        Args:
            behind_ms: Time for which this host was behind its peers in ms.
        """
        self._delays.observe(behind_ms / 1_000)

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yield the gauges; called by the Prometheus registry."""
        yield core.GaugeMetricFamily(
            'wigeonhatch_config_version',
            'Version of the configuration in force.',
            self._lag.version,
        )
        yield core.GaugeMetricFamily(
            'wigeonhatch_config_newest_version',
            'Newest version in force at this host or at a peer.',
            self._lag.newest_version,
        )
        yield core.GaugeMetricFamily(
            'wigeonhatch_config_behind_seconds',
            'Time since a peer announced a newer configuration.',
            self._lag.behind_ms / 1_000,
        )
