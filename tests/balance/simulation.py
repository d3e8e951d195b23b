"""Simulation of hosts that exchange their states.

Datagrams take the time of the links; hosts are cut off, frozen and restarted.
"""

from __future__ import annotations

import abc
import collections.abc
import dataclasses
import heapq
import random
import typing

from wigeonhatch import clock as clocks
from wigeonhatch.balance import loads
from wigeonhatch.balance import rate_budget
from wigeonhatch.balance import statements
from wigeonhatch.entry import edge_settings
from wigeonhatch.entry import fleet as fleets
from wigeonhatch.peers import region_fractions
from wigeonhatch.peers import state_link
from wigeonhatch.requests import quarantine
from wigeonhatch.targets import registry

REGION_BY_DOMAIN = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c'}
DOMAINS = tuple(REGION_BY_DOMAIN)
BOUNDS = edge_settings.Bounds('6s', 0.2, 60.0, '5s')  # type: ignore
STEP_MS = 20
REMOTE_INTERVALS = state_link.INTERVALS_PER_REMOTE_SEND
SETTLING_MS = 4_000
END_MS = 14_000
LATENCY_MS = {True: 0, False: 40}
"""Latency in ms of datagrams within a region, and between regions."""


class Host:
    """State of one incarnation of a host."""

    def __init__(self, number: int, simulation: Simulation) -> None:
        self.name = f'h{number}'
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.region = REGION_BY_DOMAIN[self.domain]
        self.started_ms = simulation.clock.now_ms
        self.informed_ms: int | None = None
        self.down_until_ms = 0
        self.frozen_until_ms = 0
        self.muted: frozenset[str] = frozenset()
        self.loads = loads.LoadTable(simulation.clock)
        self.targets = registry.TargetRegistry(simulation.clock)
        self.statements = statements.StatementTable(
            self.targets, simulation.clock
        )
        self.limits = self.statements.rate_limits
        self.quarantine = quarantine.QuarantineTable(
            self.name,
            lambda: self.fleet.selector.find_repeat_hosts(),
            simulation.clock,
        )
        ip = f'10.0.{number // 200}.{number % 200}'
        settings = edge_settings.EdgeSettings(
            self.name,
            ip,
            self.domain,
            self.region,
            REGION_BY_DOMAIN,
            f'{ip}:80',
            f'{ip}:81',
            f'{ip}:82',
            f'{ip}:83',
            84,
            85,
            '10.9.9.9:80',
            BOUNDS,
        )
        self.fleet = fleets.Fleet(
            settings,
            typing.cast(typing.Any, None),
            self.loads,
            self.statements,
            self.quarantine,
            lambda: state_link.HostReport(
                True,
                True,
                0,
                1.0,
                1,
                {},
                fractions_by_region=self.fractions.report,
            ),
            lambda state: None,
            lambda data: None,
            simulation.clock,
        )
        self.fractions = region_fractions.RegionFractions(
            self.region, self.fleet.peers
        )
        self.fleet._incarnation += simulation.clock.now_ms
        self.fleet._link = typing.cast(typing.Any, self)
        self.rates = rate_budget.RateBudget(
            self.name,
            self.limits,
            self.fleet.selector.find_senders,
            simulation.clock,
        )
        self._simulation = simulation

    def send(self, state: state_link.HostState, _: object) -> None:
        """Deliver a state to the other hosts, in place of the socket."""
        self._simulation.broadcast(self, state)


@dataclasses.dataclass(order=True)
class _Delivery:
    at_ms: int
    serial: int
    host: str
    message: typing.Any = dataclasses.field(compare=False)


class Simulation(abc.ABC):
    """Hosts and their links.

    Args:
        hosts: Number of hosts.
        seed: Seed of the disturbances.
    """

    def __init__(self, hosts: int, seed: int) -> None:
        self.clock = clocks.ManualClock(0)
        self.rng = random.Random(seed)
        self.host_by_name = {
            f'h{number}': Host(number, self) for number in range(hosts)
        }
        self._deliveries: list[_Delivery] = []
        self._serial = 0

    @abc.abstractmethod
    def on_step(self, host: Host, now_ms: int) -> None:
        """Let a host that runs act."""

    @abc.abstractmethod
    def on_message(self, host: Host, message: typing.Any, now_ms: int) -> None:
        """Let a host receive a message that is not the state of a peer."""

    def on_tick(self, now_ms: int) -> None:
        """Let what is outside the hosts act."""

    def run(self, disturb: Disturb, end_ms: int = END_MS) -> None:
        """Run until a time.

        Args:
            disturb: Called once a second with the time in ms.
            end_ms: End in ms.
        """
        for now_ms in range(0, end_ms, STEP_MS):
            if now_ms % 1_000 == 0 and now_ms >= SETTLING_MS:
                disturb(self, now_ms)
            self._deliver(now_ms)
            for host in list(self.host_by_name.values()):
                if now_ms < max(host.down_until_ms, host.frozen_until_ms):
                    continue
                if now_ms % state_link.INTERVAL_MS == 0:
                    host.fleet._send(())
                self.on_step(host, now_ms)
            self.on_tick(now_ms)
            self.clock.advance(STEP_MS)

    def restart(self, host: Host, down_ms: int) -> None:
        """Start a new incarnation of a host that knows nothing."""
        number = int(host.name[1:])
        started = self.host_by_name[host.name] = Host(number, self)
        started.down_until_ms = self.clock.now_ms + down_ms
        started.started_ms = started.down_until_ms

    def broadcast(self, sender: Host, state: state_link.HostState) -> None:
        """Send a state to the hosts that hear its sender."""
        for host in self.host_by_name.values():
            is_near = host.region == sender.region
            is_turn = is_near or state.sequence % REMOTE_INTERVALS == 0
            if host is sender or sender.name in host.muted or not is_turn:
                continue
            self.push(LATENCY_MS[is_near], host.name, state)

    def push(self, delay_ms: int, host: str, message: typing.Any) -> None:
        """Deliver a message to a host later."""
        self._serial += 1
        at_ms = self.clock.now_ms + delay_ms
        heapq.heappush(
            self._deliveries, _Delivery(at_ms, self._serial, host, message)
        )

    def _deliver(self, now_ms: int) -> None:
        while self._deliveries and self._deliveries[0].at_ms <= now_ms:
            item = heapq.heappop(self._deliveries)
            host = self.host_by_name[item.host]
            if now_ms < host.frozen_until_ms:
                self.push(
                    host.frozen_until_ms - now_ms, item.host, item.message
                )
            elif now_ms < host.down_until_ms:
                continue
            elif isinstance(item.message, state_link.HostState):
                host.fleet._on_state(item.message)
            else:
                self.on_message(host, item.message, now_ms)


Disturb = collections.abc.Callable[[Simulation, int], None]


def calm(simulation: Simulation, now_ms: int) -> None:
    """Disturb nothing."""


def restarts(simulation: Simulation, now_ms: int) -> None:
    """Restart a few hosts each second."""
    hosts = sorted(simulation.host_by_name)
    for name in simulation.rng.sample(hosts, max(1, len(hosts) // 10)):
        simulation.restart(
            simulation.host_by_name[name], simulation.rng.randint(200, 2_500)
        )


def freezes(simulation: Simulation, now_ms: int) -> None:
    """Freeze a few hosts for some time each second."""
    hosts = sorted(simulation.host_by_name)
    for name in simulation.rng.sample(hosts, max(1, len(hosts) // 10)):
        simulation.host_by_name[name].frozen_until_ms = (
            now_ms + simulation.rng.randint(500, 4_000)
        )


def isolation(simulation: Simulation, now_ms: int) -> None:
    """Cut a third of the hosts off from all others, and heal the cuts."""
    names = frozenset(simulation.host_by_name)
    is_cut = now_ms // 4_000 % 2 == 1
    for number, host in enumerate(simulation.host_by_name.values()):
        is_isolated = is_cut and number % 3 == 0
        cut_off = {f'h{n}' for n in range(0, len(names), 3)} - {host.name}
        muted = names if is_isolated else frozenset(cut_off if is_cut else ())
        host.muted = muted


def halves(simulation: Simulation, now_ms: int) -> None:
    """Part the hosts into two groups, and heal the cut."""
    is_cut = now_ms // 4_000 % 2 == 1
    groups = [
        frozenset(n for n in simulation.host_by_name if int(n[1:]) % 2 == half)
        for half in (0, 1)
    ]
    for host in simulation.host_by_name.values():
        other = groups[host.name in groups[0]]
        host.muted = other if is_cut else frozenset()


SCENARIOS: tuple[Disturb, ...] = (calm, restarts, freezes, isolation, halves)
