"""Periodic maintenance of a daemon."""

from __future__ import annotations

from wigeonhatch.entry import control_plane as control_planes
from wigeonhatch.entry import data_plane as data_planes
from wigeonhatch.metrics import collector
from wigeonhatch.metrics import drain_timer

INTERVAL_MS = 100


class MaintenanceLoop:
    """Advance splits and spillover, and publish loads and drains.

    Args:
        control: Control plane.
        data_plane: Data plane.
        metrics: Receives the durations of drains.
    """

    def __init__(
        self,
        control: control_planes.ControlPlane,
        data_plane: data_planes.DataPlane,
        metrics: collector.Metrics,
    ) -> None:
        self._control = control
        self._data_plane = data_plane
        self._draining: frozenset[str] = frozenset()
        self._acting_for: frozenset[str] = frozenset()
        self._drain_timer = drain_timer.DrainTimer(
            control.clock, metrics.on_drained
        )
        control.membership.subscribe(self._on_membership)

    async def run(self) -> None:
        """Run the maintenance periodically until cancelled."""
        while True:
            self.run_once()
            await self._control.clock.sleep_ms(INTERVAL_MS)

    def run_once(self) -> None:
        """Run one round of maintenance."""
        control = self._control
        control.split_table.advance()
        control.node.quarantine.expire()
        self._data_plane.router.advance()
        control.membership.set_loads(control.slots.loads())
        self._on_membership()
        self._drain_timer.update(self._draining, control.slots.in_progress_on)
        acting_for = control.grantor.acting_for
        control.membership.set_acting_for(acting_for)
        current = control.current
        if acting_for != self._acting_for and current is not None:
            self._acting_for = acting_for
            self._data_plane.watch_targets(control, current)

    def _on_membership(self) -> None:
        draining = self._control.membership.draining()
        if draining != self._draining:
            self._draining = draining
            self._control.slots.set_drained(draining)


def count_violations(
    control: control_planes.ControlPlane,
    data_plane: data_planes.DataPlane | None,
) -> dict[str, int]:
    """Count the violations of each invariant since the start.

    Args:
        control: Control plane.
        data_plane: Data plane; None before it has started.
    """
    violations = {
        'slots': control.slots.violations,
        'shift_cap': control.split_table.violations,
        'failover_cap': control.spillover.violations,
        'config_version': control.node.store.violations,
    }
    if data_plane is not None:
        violations['key'] = data_plane.keys.violations
    return violations
