"""Periodic work that connects the parts of a daemon."""

from __future__ import annotations

from wigeonhatch.entry import control as controls
from wigeonhatch.entry import serving as servings
from wigeonhatch.metrics import collector
from wigeonhatch.metrics import drain_timer

INTERVAL_MS = 100


class Upkeep:
    """Advance splits and spillover, and announce loads and drains.

    Args:
        control: Control plane.
        serving: Data plane.
        metrics: Receives the durations of drains.
    """

    def __init__(
        self,
        control: controls.Control,
        serving: servings.Serving,
        metrics: collector.Metrics,
    ) -> None:
        self._control = control
        self._serving = serving
        self._drained: frozenset[str] = frozenset()
        self._acting_for: frozenset[str] = frozenset()
        self._drain_timer = drain_timer.DrainTimer(
            control.clock, metrics.on_drained
        )
        control.membership.subscribe(self._on_membership)

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            self.step()
            await self._control.clock.sleep_ms(INTERVAL_MS)

    def step(self) -> None:
        """Do what is due now."""
        control = self._control
        control.split_table.advance()
        self._serving.router.advance()
        control.membership.set_loads(control.slots.loads())
        self._on_membership()
        self._drain_timer.update(self._drained, control.slots.in_progress_on)
        acting_for = control.grantor.acting_for
        control.membership.set_acting_for(acting_for)
        current = control.current
        if acting_for != self._acting_for and current is not None:
            self._acting_for = acting_for
            self._serving.watch_targets(control, current)

    def _on_membership(self) -> None:
        draining = self._control.membership.draining()
        if draining != self._drained:
            self._drained = draining
            self._control.slots.set_drained(draining)


def count_violations(
    control: controls.Control, serving: servings.Serving | None
) -> dict[str, int]:
    """Count the violations of each invariant since the start.

    Args:
        control: Control plane.
        serving: Data plane, if it has started.
    """
    violations = {
        'slots': control.slots.violations,
        'shift_cap': control.split_table.violations,
        'failover_cap': control.spillover.violations,
        'config_version': control.node.store.violations,
    }
    if serving is not None:
        violations['key'] = serving.keys.violations
    return violations
