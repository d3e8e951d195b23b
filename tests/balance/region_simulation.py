"""Simulation of a site with three regions, its hosts, targets and callers.

Region `c` has an eighth of the slots and a third of the traffic, so that most
of its requests run elsewhere. Targets start without cached state.
"""

from __future__ import annotations

import collections
import collections.abc
import heapq
import random

from tests.balance import harness as harnesses
from tests.balance import simulation
from wigeonhatch.balance import ejection
from wigeonhatch.balance import picker as pickers
from wigeonhatch.balance import rate_budget
from wigeonhatch.balance import region_selector
from wigeonhatch.balance import shift_limit
from wigeonhatch.balance import warmup
from wigeonhatch.targets import registry
from wigeonhatch.tracing import region_shift

MAX_SHIFT = 0.15
CACHED_MS = 400
UNCACHED_MS = 1_300
OBJECTIVE_MS = 800
TIMEOUT_MS = 6_000
LATE_WORTH = 0.2
SLOTS = 6
KEYS = 300
CACHED_KEYS = 20
START_MS = 2_000
"""Start of the traffic; the hosts start before."""
TARGETS_BY_DOMAIN = {
    'board': {'a1': 9, 'a2': 9, 'b1': 11, 'b2': 11, 'c1': 5},
    'ledger': {'a1': 4, 'a2': 4, 'b1': 5, 'b2': 5, 'c1': 2},
    'album': {'a1': 2, 'a2': 2, 'b1': 2, 'b2': 2, 'c1': 1},
}
MIX = {'board': 0.68, 'ledger': 0.23, 'album': 0.09}

Rates = collections.abc.Mapping[tuple[str, str], float]
"""Requests per second by region of the callers and service."""
Traffic = collections.abc.Callable[[int], Rates]
"""Rates at a time in ms since the start of the traffic."""


class Target:
    """Target with slots, a queue and a cache of affinity keys."""

    def __init__(self, record: registry.TargetRecord) -> None:
        self.record = record
        self._free_at_ms = [0] * record.slots
        self._cached: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def serve(self, now_ms: int, key: int) -> tuple[int, int]:
        """Serve a request.

        Returns:
            Its end in ms, and its duration without the wait for a slot.
        """
        start_ms = max(now_ms, heapq.heappop(self._free_at_ms))
        duration_ms = CACHED_MS if key in self._cached else UNCACHED_MS
        self._cached[key] = None
        self._cached.move_to_end(key)
        if len(self._cached) > CACHED_KEYS:
            self._cached.popitem(last=False)
        heapq.heappush(self._free_at_ms, start_ms + duration_ms)
        return start_ms + duration_ms, duration_ms


class Stack:
    """Selection of targets on one incarnation of a host.

    Args:
        host: The incarnation.
        site: Its site.
    """

    def __init__(self, host: simulation.Host, site: Site) -> None:
        clock = site.clock
        hosts = frozenset({host.name})
        self.host = host
        self.targets = host.targets
        services = {name: harnesses.SERVICE_CONFIG for name in MIX}
        self.targets.set_services(services)
        self.targets.replace(site.listed_targets())
        ejections = ejection.EjectionTable(clock)
        self.regions = region_selector.RegionSelector(
            host.region,
            simulation.REGION_BY_DOMAIN,
            site.max_shift,
            self.targets,
            host.loads,
            ejections,
            host.fractions.find_peers,
            random.Random(f'{host.name}/{clock.now_ms}'),
        )
        self.picker = pickers.Picker(
            self.regions,
            self.targets,
            host.loads,
            ejections,
            warmup.WarmupBudget(host.name, clock, lambda: hosts),
            rate_budget.RateBudget(
                host.name,
                host.limits,
                lambda _: rate_budget.HostGroup(hosts, 1),
                clock,
            ),
            host.statements.pauses,
            clock,
        )
        self.picker.configure(services)

    def adjust(self) -> None:
        """Move the fractions one step."""
        self.picker.adjust_splits(self.host.fleet.peers.region_by_host())
        self.host.fractions.refresh(self.regions.fraction_by_region)

    def pick(self, service: str, key: int) -> pickers.Pick | pickers.NoTarget:
        """Select a target for a request that has just arrived."""
        duration_ms = self.host.loads.duration_ms(service, True)
        wait_ms = OBJECTIVE_MS - duration_ms
        if wait_ms <= 0:
            wait_ms = (TIMEOUT_MS - duration_ms) / 2
        return self.picker.pick(
            pickers.Query(service, b'%d' % key, frozenset(), wait_ms),
            frozenset(),
        )


class Site(simulation.Simulation):
    """Three regions whose callers send requests to the hosts of theirs.

    Args:
        hosts: Number of hosts; a fifth of them, or one, is in region `c`.
            Targets and traffic grow with them.
        seed: Seed of arrivals and disturbances.
        traffic: Rates of the requests.
    """

    def __init__(self, hosts: int, seed: int, traffic: Traffic) -> None:
        super().__init__(hosts, seed)
        self.max_shift = MAX_SHIFT
        self.scale = max(1, hosts // 15)
        self.targets: dict[str, Target] = {}
        self.leaving: set[str] = set()
        for service, count_by_domain in TARGETS_BY_DOMAIN.items():
            for domain, count in count_by_domain.items():
                self.add_targets(service, domain, count * self.scale)
        self.placements: list[region_shift.Placement] = []
        self.sent: collections.Counter[tuple[str, int]] = collections.Counter()
        self.worth: collections.defaultdict[tuple[str, int], float] = (
            collections.defaultdict(float)
        )
        self._traffic = traffic
        self._stack_by_host: dict[str, Stack] = {}
        self._due: dict[tuple[str, str], float] = {}
        self._arrivals = random.Random(seed)

    def add_targets(self, service: str, domain: str, count: int) -> None:
        """Start targets of a service in a failure domain."""
        for _ in range(count):
            record = harnesses.build_target(
                f'{domain}-{service}-{len(self.targets)}',
                domain,
                SLOTS,
                service,
            )
            self.targets[record.name] = Target(record)

    def drain_targets(self, domain: str, fraction: float) -> None:
        """Drain a fraction of the targets of each service in a domain."""
        for service in MIX:
            names = [
                item.record.name
                for item in self.targets.values()
                if item.record.domain == domain
                and item.record.service == service
                and item.record.name not in self.leaving
            ]
            for name in names[: round(len(names) * fraction)]:
                self.leaving.add(name)
        self.announce_targets()

    def announce_targets(self) -> None:
        """Tell all hosts the present targets."""
        for stack in self._stack_by_host.values():
            stack.targets.replace(self.listed_targets())

    def listed_targets(self) -> list[registry.TargetRecord]:
        """Targets that accept requests."""
        return [
            item.record
            for name, item in self.targets.items()
            if name not in self.leaving
        ]

    def stack(self, host: simulation.Host) -> Stack:
        """Selection of a host's present incarnation."""
        stack = self._stack_by_host.get(host.name)
        if stack is None or stack.host is not host:
            stack = self._stack_by_host[host.name] = Stack(host, self)
        return stack

    def on_step(self, host: simulation.Host, now_ms: int) -> None:
        """Move the fractions of a host."""
        if now_ms % shift_limit.ADJUST_INTERVAL_MS == 0:
            self.stack(host).adjust()

    def on_message(
        self,
        host: simulation.Host,
        message: collections.abc.Callable[[], None],
        now_ms: int,
    ) -> None:
        """Let a host receive a response."""
        message()

    def on_tick(self, now_ms: int) -> None:
        """Let callers send the requests that are due."""
        if now_ms < START_MS:
            return
        for key, rate in self._traffic(now_ms - START_MS).items():
            due = self._due.get(key, self._arrivals.random())
            due += rate * self.scale * simulation.STEP_MS / 1_000
            while due >= 1:
                due -= 1
                self._send_request(now_ms, *key)
            self._due[key] = due

    def _send_request(self, now_ms: int, region: str, service: str) -> None:
        hosts = [
            host
            for host in self.host_by_name.values()
            if host.region == region
            and now_ms >= max(host.down_until_ms, host.frozen_until_ms)
            and now_ms >= host.started_ms + 400
        ]
        second = (now_ms - START_MS) // 1_000
        self.sent[region, second] += 1
        if not hosts:
            return
        stack = self.stack(self._arrivals.choice(hosts))
        affinity_key = self._arrivals.randrange(KEYS)
        pick = stack.pick(service, affinity_key)
        if isinstance(pick, pickers.NoTarget):
            return
        loads = stack.host.loads
        name, is_home = pick.target.name, pick.is_home
        has_slot = loads.in_progress(name) < pick.target.slots
        loads.start(name)
        end_ms, duration_ms = self.targets[name].serve(now_ms, affinity_key)

        def on_response() -> None:
            loads.finish(name)
            if has_slot:
                loads.record_duration(service, is_home, duration_ms)

        self.push(end_ms - now_ms, stack.host.name, on_response)
        self.placements.append(
            region_shift.Placement(
                now_ms - START_MS,
                region,
                stack.picker.region_of(pick.target.domain),
            )
        )
        is_in_time = end_ms - now_ms <= OBJECTIVE_MS
        self.worth[region, second] += 1.0 if is_in_time else LATE_WORTH
