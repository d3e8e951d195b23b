"""View of the control plane for operators and metrics."""

from __future__ import annotations

import collections
import collections.abc

from wigeonhatch.config import model
from wigeonhatch.entry import control_plane as control_planes
from wigeonhatch.metrics import collector
from wigeonhatch.operators import view
from wigeonhatch.steering import buckets

_PERCENT_PER_BUCKET = 100 / buckets.BUCKET_COUNT


class ControlPlaneView:
    """Implement `operators.view.DaemonView` and `metrics.GaugeSource`.

    Args:
        control: Control plane.
        violations: Returns the number of violations of each invariant.
    """

    def __init__(
        self,
        control: control_planes.ControlPlane,
        violations: collections.abc.Callable[[], dict[str, int]],
    ) -> None:
        self._control = control
        self._violations = violations

    @property
    def current(self) -> model.VersionedConfig | None:
        """Configuration in force on this host; None before the first."""
        return self._control.current

    def hosts(self) -> list[view.HostStatus]:
        """List all known hosts, this one included."""
        membership = self._control.membership
        return [self._describe_host(host) for host in membership.hosts]

    def splits(self) -> dict[str, view.SplitStatus]:
        """Return the split in force of each service."""
        current = self.current
        if current is None:
            return {}
        return {
            service: split
            for service in current.config.service_by_name
            if (split := self._describe_split(service)) is not None
        }

    def drains(self) -> dict[str, list[str]]:
        """Return the sources of each drain by host or target."""
        register = self._control.membership.drains
        sources: dict[str, list[str]] = {}
        current = self.current
        configured = current.config.drain_by_name if current else {}
        observed = (
            item.target for item in register.observations if item.draining
        )
        for source, names in (
            ('configuration', configured),
            ('host list', register.leaving.names),
            ('health', observed),
        ):
            for name in names:
                sources.setdefault(name, []).append(source)
        return sources

    def on_accepted(self, versioned: model.VersionedConfig) -> None:
        """Apply a version that the platform accepted and push it to peers."""
        self._control.node.store.offer(versioned)

    def config_version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        return self._control.node.store.version

    def slots(self) -> collections.abc.Iterable[collector.SlotGauge]:
        """Slots of the targets for which this host admits requests."""
        current = self.current
        if current is None:
            return
        region = current.config.find_region(self._control.settings.domain)
        for service, load in self._control.slots.loads().items():
            yield collector.SlotGauge(
                service, region, load.free, load.used, load.capacity
            )

    def violations(self) -> collections.abc.Mapping[str, int]:
        """Number of violations of each invariant since the start."""
        return self._violations()

    def _describe_host(self, host: str) -> view.HostStatus:
        membership = self._control.membership
        record = membership.record(host)
        if record is None:
            return view.HostStatus(host, False, 'unknown', 0)
        return view.HostStatus(
            host,
            membership.is_reachable(host),
            record.state.name.lower(),
            record.config_version,
            {
                service: view.LoadStatus(load.free, load.used, load.capacity)
                for service, load in record.load_by_service.items()
            },
            sorted(record.acting_for),
        )

    def _describe_split(self, service: str) -> view.SplitStatus | None:
        regions = self._control.split_table.in_force(service)
        if regions is None:
            return None
        stored = self._control.split_table.stored(service)
        counts = collections.Counter(regions)
        return view.SplitStatus(
            stored.step if stored else 0,
            {
                region: round(count * _PERCENT_PER_BUCKET, 2)
                for region, count in sorted(counts.items())
            },
        )
