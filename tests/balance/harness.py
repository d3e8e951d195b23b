"""Picker and its dependencies on a manual clock."""

from __future__ import annotations

import collections.abc
import random

from wigeonhatch import clock as clocks
from wigeonhatch.balance import ejection
from wigeonhatch.balance import loads
from wigeonhatch.balance import picker as pickers
from wigeonhatch.balance import rate_budget
from wigeonhatch.balance import region_selector
from wigeonhatch.balance import statements
from wigeonhatch.balance import warmup
from wigeonhatch.requests import peer_forwarder
from wigeonhatch.requests import quarantine
from wigeonhatch.routes import model
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import crash_detector
from wigeonhatch.targets import reach as target_reach
from wigeonhatch.targets import registry

REGION_BY_DOMAIN = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
SERVICE_CONFIG = model.ServiceConfig('/health', 100, 3_000, 5.0)


def build_target(
    name: str,
    domain: str = 'a1',
    slots: int = 4,
    service: str = 'board',
    is_draining: bool = False,
    warmup_left_ms: int = 0,
    started_ms: int = 1,
    address: str = '127.0.0.1:9',
) -> registry.TargetRecord:
    """Build a registry entry of a target."""
    return registry.TargetRecord(
        name,
        service,
        address,
        domain,
        slots,
        is_draining,
        warmup_left_ms,
        started_ms,
    )


class PickerHarness:
    """Picker of the host `h1` in region `a`, and its dependencies.

    Args:
        targets: Listed targets.
        hosts: Live hosts.
        max_shift: Largest fraction of requests that moves in 2 s.
    """

    def __init__(
        self,
        targets: collections.abc.Iterable[registry.TargetRecord],
        hosts: collections.abc.Set[str] = frozenset({'h1'}),
        max_shift: float = 0.15,
        region_by_domain: dict[str, str] | None = None,
    ) -> None:
        self.clock = clocks.ManualClock()
        self.targets = registry.TargetRegistry(self.clock)
        self.targets.set_services({'board': SERVICE_CONFIG})
        self.targets.replace(targets)
        self.loads = loads.LoadTable(self.clock)
        self.ejections = ejection.EjectionTable(self.clock)
        self.warmups = warmup.WarmupBudget('h1', self.clock, lambda: hosts)
        self.quarantine = quarantine.QuarantineTable(
            'h1',
            lambda: quarantine.HostView(frozenset(hosts), frozenset(hosts)),
            self.clock,
        )
        self.statements = statements.StatementTable(self.targets, self.clock)
        self.limits = self.statements.rate_limits
        self.rates = rate_budget.RateBudget(
            'h1',
            self.limits,
            lambda _: rate_budget.HostGroup(frozenset(hosts), len(hosts)),
            self.clock,
        )
        self.picker = pickers.Picker(
            region_selector.RegionSelector(
                'a',
                region_by_domain or REGION_BY_DOMAIN,
                max_shift,
                self.targets,
                self.loads,
                self.ejections,
                lambda: (),
                random.Random(1),
            ),
            self.targets,
            self.loads,
            self.ejections,
            self.warmups,
            self.rates,
            self.statements.pauses,
            self.clock,
        )
        self.picker.configure({'board': SERVICE_CONFIG})
        self.picker.adjust_splits({})

    def detect_crashes(
        self, connector: crash_detector.Connector
    ) -> crash_detector.CrashDetector:
        """Build a detector that reports crashes to the quarantine."""
        return crash_detector.CrashDetector(
            connector, self.quarantine.on_crash, self.clock
        )

    def build_reach(
        self, connector: target_reach.Connector
    ) -> target_reach.TargetReach:
        """Build a detector of lost links."""
        return target_reach.TargetReach(
            connector,
            lambda: [list(self.targets.record_by_name)],
            lambda: None,
            self.clock,
            random.Random(1),
        )

    def build_forwarder(self) -> peer_forwarder.PeerForwarder:
        """Build a forwarder without peers."""
        return peer_forwarder.PeerForwarder(
            target_client.TargetClient(self.clock), lambda _: (), self.clock
        )

    def pick(
        self,
        affinity_key: bytes = b'k',
        wait_ms: float = 300.0,
        allowed_regions: frozenset[str] = frozenset(),
        excluded: collections.abc.Set[str] = frozenset(),
        can_retry: bool = True,
    ) -> pickers.Pick | pickers.NoTarget:
        """Select a target for a request of the service `board`."""
        query = pickers.Query(
            'board', affinity_key, allowed_regions, wait_ms, can_retry
        )
        return self.picker.pick(query, excluded)
