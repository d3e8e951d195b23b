"""Simulation of hosts that share the rate limit of one target.

Each host sends as often as its share allows. Hosts exchange their states with
the delays of the links; they are cut off, frozen and restarted meanwhile.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import heapq
import random
import typing

import pytest

from tests.balance import harness as harnesses
from wigeonhatch import clock as clocks
from wigeonhatch.balance import loads
from wigeonhatch.balance import rate_budget
from wigeonhatch.balance import rate_limits
from wigeonhatch.entry import edge_settings
from wigeonhatch.entry import fleet as fleets
from wigeonhatch.peers import state_link

REGION_BY_DOMAIN = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c'}
DOMAINS = tuple(REGION_BY_DOMAIN)
TARGET = harnesses.build_target('t1', 'a1')
BOUNDS = edge_settings.Bounds('6s', 0.2, 60.0, '5s')  # type: ignore
STEP_MS = 20
REMOTE_INTERVALS = state_link.INTERVALS_PER_REMOTE_SEND
SETTLING_MS = 4_000
END_MS = 14_000
WINDOW_MS = 4_000
NOTICE_MS = 500
MIN_USE = 0.3
"""Fraction of the limit that is used; a third of the hosts is cut off."""
RESPONSE_MS = 60
LATENCY_MS = {True: 0, False: 40}
"""Latency in ms of datagrams within a region, and between regions."""


class _Host:
    """State of one incarnation of a host."""

    def __init__(self, number: int, simulation: _Simulation) -> None:
        self.name = f'h{number}'
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.region = REGION_BY_DOMAIN[self.domain]
        self.informed_ms: int | None = None
        self.down_until_ms = 0
        self.frozen_until_ms = 0
        self.muted: frozenset[str] = frozenset()
        self.limits = rate_limits.RateLimitTable(simulation.clock)
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
            loads.LoadTable(simulation.clock),
            self.limits,
            lambda: state_link.HostReport(True, True, 0, 1.0, 1, {}),
            lambda state: None,
            simulation.clock,
        )
        self.fleet._incarnation += simulation.clock.now_ms
        self.fleet._link = typing.cast(typing.Any, self)
        self.rates = rate_budget.RateBudget(
            self.name, self.limits, self.fleet.find_senders, simulation.clock
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
    state: state_link.HostState | None


class _Simulation:
    """Hosts, their links and the target.

    Args:
        hosts: Number of hosts.
        rate_per_s: Limit that the target states from the start.
        seed: Seed of the disturbances.
    """

    def __init__(self, hosts: int, rate_per_s: float, seed: int) -> None:
        self.clock = clocks.ManualClock(0)
        self.rng = random.Random(seed)
        self.rate_per_s: float | None = rate_per_s
        self.host_by_name = {
            f'h{number}': _Host(number, self) for number in range(hosts)
        }
        self.arrivals: list[int] = []
        self.uninformed: collections.Counter[str] = collections.Counter()
        self._deliveries: list[_Delivery] = []
        self._serial = 0

    def run(
        self, disturb: collections.abc.Callable[[_Simulation, int], None]
    ) -> None:
        """Run until `END_MS`.

        Args:
            disturb: Called once a second with the time in ms.
        """
        for now_ms in range(0, END_MS, STEP_MS):
            if now_ms % 1_000 == 0 and now_ms >= SETTLING_MS:
                disturb(self, now_ms)
            self._deliver(now_ms)
            for host in list(self.host_by_name.values()):
                if now_ms < max(host.down_until_ms, host.frozen_until_ms):
                    continue
                if now_ms % state_link.INTERVAL_MS == 0:
                    host.fleet._send(())
                if host.rates.has_token(TARGET):
                    host.rates.take_token(TARGET)
                    self._on_arrival(host, now_ms)
            self.clock.advance(STEP_MS)

    def restart(self, host: _Host, down_ms: int) -> None:
        """Start a new incarnation of a host that knows nothing."""
        number = int(host.name[1:])
        self.host_by_name[host.name] = _Host(number, self)
        self.host_by_name[host.name].down_until_ms = (
            self.clock.now_ms + down_ms
        )

    def broadcast(self, sender: _Host, state: state_link.HostState) -> None:
        """Send a state to the hosts that hear its sender."""
        for host in self.host_by_name.values():
            is_near = host.region == sender.region
            is_turn = is_near or state.sequence % REMOTE_INTERVALS == 0
            if host is sender or sender.name in host.muted or not is_turn:
                continue
            self._push(LATENCY_MS[is_near], host.name, state)

    def largest_excess(self) -> float:
        """Most requests in a window, as a fraction of those allowed."""
        assert self.rate_per_s is not None
        allowed = 1.5 * self.rate_per_s * WINDOW_MS / 1_000 + 5
        arrivals = self.arrivals
        largest = max(
            (sum(0 <= end - at < WINDOW_MS for at in arrivals))
            for end in (*arrivals, 0)
        )
        return largest / allowed

    def _on_arrival(self, host: _Host, now_ms: int) -> None:
        informed_ms = host.informed_ms
        if informed_ms is not None and now_ms - informed_ms >= NOTICE_MS:
            self.arrivals.append(now_ms)
        else:
            self.uninformed[host.name] += 1
        self._push(RESPONSE_MS, host.name, None)

    def _push(
        self, delay_ms: int, host: str, state: state_link.HostState | None
    ) -> None:
        self._serial += 1
        at_ms = self.clock.now_ms + delay_ms
        heapq.heappush(
            self._deliveries, _Delivery(at_ms, self._serial, host, state)
        )

    def _deliver(self, now_ms: int) -> None:
        while self._deliveries and self._deliveries[0].at_ms <= now_ms:
            item = heapq.heappop(self._deliveries)
            host = self.host_by_name[item.host]
            if now_ms < host.frozen_until_ms:
                self._push(
                    host.frozen_until_ms - now_ms, item.host, item.state
                )
            elif now_ms < host.down_until_ms:
                continue
            elif item.state is not None:
                host.fleet._on_state(item.state)
            else:
                if host.informed_ms is None:
                    host.informed_ms = now_ms
                host.limits.on_response(TARGET, self.rate_per_s)


def calm(simulation: _Simulation, now_ms: int) -> None:
    """Disturb nothing."""


def restarts(simulation: _Simulation, now_ms: int) -> None:
    """Restart a few hosts each second."""
    hosts = sorted(simulation.host_by_name)
    for name in simulation.rng.sample(hosts, max(1, len(hosts) // 10)):
        simulation.restart(
            simulation.host_by_name[name], simulation.rng.randint(200, 2_500)
        )


def freezes(simulation: _Simulation, now_ms: int) -> None:
    """Freeze a few hosts for some time each second."""
    hosts = sorted(simulation.host_by_name)
    for name in simulation.rng.sample(hosts, max(1, len(hosts) // 10)):
        simulation.host_by_name[name].frozen_until_ms = (
            now_ms + simulation.rng.randint(500, 4_000)
        )


def isolation(simulation: _Simulation, now_ms: int) -> None:
    """Cut a third of the hosts off from all others, and heal the cuts."""
    names = frozenset(simulation.host_by_name)
    is_cut = now_ms // 4_000 % 2 == 1
    for number, host in enumerate(simulation.host_by_name.values()):
        is_isolated = is_cut and number % 3 == 0
        cut_off = {f'h{n}' for n in range(0, len(names), 3)} - {host.name}
        muted = names if is_isolated else frozenset(cut_off if is_cut else ())
        host.muted = muted


def halves(simulation: _Simulation, now_ms: int) -> None:
    """Part the hosts into two groups, and heal the cut."""
    is_cut = now_ms // 4_000 % 2 == 1
    groups = [
        frozenset(n for n in simulation.host_by_name if int(n[1:]) % 2 == half)
        for half in (0, 1)
    ]
    for host in simulation.host_by_name.values():
        other = groups[host.name in groups[0]]
        host.muted = other if is_cut else frozenset()


Disturb = collections.abc.Callable[[_Simulation, int], None]
SCENARIOS: tuple[Disturb, ...] = (calm, restarts, freezes, isolation, halves)


@pytest.mark.parametrize('disturb', SCENARIOS)
@pytest.mark.parametrize(
    ('hosts', 'rate_per_s'),
    [(7, 0.4), (7, 1.1), (7, 3.7), (7, 30.0), (60, 1.1)],
)
def test_hosts_keep_the_limit_together(
    hosts: int, rate_per_s: float, disturb: Disturb
) -> None:
    """Guards against hosts that exceed a target's limit together."""
    simulation = _Simulation(hosts, rate_per_s, seed=1)
    simulation.run(disturb)
    assert simulation.largest_excess() <= 1.0
    sent = len(simulation.arrivals) / (END_MS / 1_000)
    assert sent >= MIN_USE * rate_per_s


@pytest.mark.parametrize('rate_per_s', [0.4, 1.1, 30.0])
def test_limit_ends_with_the_statement(rate_per_s: float) -> None:
    """Guards against hosts that renew an ended limit by their reports."""
    simulation = _Simulation(7, rate_per_s, seed=1)

    def lift(simulation: _Simulation, now_ms: int) -> None:
        if now_ms >= 8_000:
            simulation.rate_per_s = None

    simulation.run(lift)
    assert all(
        host.limits.rate_per_s(TARGET) is None
        for host in simulation.host_by_name.values()
    )
