"""Simulation of hosts that share the rate limit of one target.

Each host sends as often as its share allows. Hosts exchange their states with
the delays of the links; they are cut off, frozen and restarted meanwhile.
"""

from __future__ import annotations

import collections
import typing

import pytest

from tests.balance import harness as harnesses
from tests.balance import simulation as simulations

TARGET = harnesses.build_target('t1', 'a1')
WINDOW_MS = 4_000
NOTICE_MS = 500
MIN_USE = 0.3
"""Fraction of the limit that is used; a third of the hosts is cut off."""
RESPONSE_MS = 60


class _Simulation(simulations.Simulation):
    """Hosts that send to a target with a rate limit.

    Args:
        hosts: Number of hosts.
        rate_per_s: Limit that the target states from the start.
        seed: Seed of the disturbances.
    """

    def __init__(self, hosts: int, rate_per_s: float, seed: int) -> None:
        super().__init__(hosts, seed)
        self.rate_per_s: float | None = rate_per_s
        self.arrivals: list[int] = []
        self.uninformed: collections.Counter[str] = collections.Counter()

    def on_step(self, host: simulations.Host, now_ms: int) -> None:
        """Send a request if the share of the host allows it."""
        if host.rates.has_token(TARGET):
            host.rates.take_token(TARGET)
            self._on_arrival(host, now_ms)

    def on_message(
        self, host: simulations.Host, message: typing.Any, now_ms: int
    ) -> None:
        """Receive the response to a request."""
        if host.informed_ms is None:
            host.informed_ms = now_ms
        host.limits.on_response(TARGET, self.rate_per_s)

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

    def _on_arrival(self, host: simulations.Host, now_ms: int) -> None:
        informed_ms = host.informed_ms
        if informed_ms is not None and now_ms - informed_ms >= NOTICE_MS:
            self.arrivals.append(now_ms)
        else:
            self.uninformed[host.name] += 1
        self.push(RESPONSE_MS, host.name, None)


@pytest.mark.parametrize('disturb', simulations.SCENARIOS)
@pytest.mark.parametrize(
    ('hosts', 'rate_per_s'),
    [(7, 0.4), (7, 1.1), (7, 3.7), (7, 30.0), (60, 1.1)],
)
def test_hosts_keep_the_limit_together(
    hosts: int, rate_per_s: float, disturb: simulations.Disturb
) -> None:
    """Guards against hosts that exceed a target's limit together."""
    simulation = _Simulation(hosts, rate_per_s, seed=1)
    simulation.run(disturb)
    assert simulation.largest_excess() <= 1.0
    sent = len(simulation.arrivals) / (simulations.END_MS / 1_000)
    assert sent >= MIN_USE * rate_per_s


@pytest.mark.parametrize('rate_per_s', [0.4, 1.1, 30.0])
def test_limit_ends_with_the_statement(rate_per_s: float) -> None:
    """Guards against hosts that renew an ended limit by their reports."""
    simulation = _Simulation(7, rate_per_s, seed=1)

    def lift(_: simulations.Simulation, now_ms: int) -> None:
        if now_ms >= 8_000:
            simulation.rate_per_s = None

    simulation.run(lift)
    assert all(
        host.limits.rate_per_s(TARGET) is None
        for host in simulation.host_by_name.values()
    )
