"""Tests of the detection of a host that has lost its links to targets."""

from __future__ import annotations

import random

import anyio
import pytest

from wigeonhatch import clock as clocks
from wigeonhatch.targets import reach as target_reach

OWN = ['o0', 'o1']
NEAR = [f'n{number}' for number in range(4)]
MAX_ROUNDS = 200
FAR = [f'f{number}' for number in range(8)]


class _Links:
    """Links of one host to its targets."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.reached = {*OWN, *NEAR, *FAR}
        self.probe_count = 0
        self.return_count = 0
        self.reach = target_reach.TargetReach(
            self,
            lambda: (OWN, NEAR, FAR),
            self._on_reached,
            self.clock,
            random.Random(1),
        )

    async def accepts_connections(self, target: str) -> bool:
        """Open a connection to a target."""
        self.probe_count += 1
        # Connections are established at different times.
        await anyio.sleep(0.001 * (self.probe_count % 3))
        return target in self.reached

    def _on_reached(self) -> None:
        self.return_count += 1

    def probe(self, rounds: int = 1) -> None:
        """Run rounds of probes."""
        for _ in range(rounds):
            anyio.run(self.reach.probe)
            self.clock.advance(target_reach.PROBE_INTERVAL_MS)

    def return_rounds(self) -> int:
        """Heal the links; count the rounds until the targets are reached."""
        self.reached = {*OWN, *NEAR, *FAR}
        rounds = 0
        while self.reach.is_lost:
            self.probe()
            rounds += 1
            assert rounds < MAX_ROUNDS
        return rounds

    def lose(self) -> None:
        """Lose all links."""
        self.reached = set()
        self.probe(target_reach.MAX_FAILED_ROUNDS)
        assert self.reach.is_lost


def test_host_without_links_is_detected() -> None:
    """Guards against a host that goes on to be named without any link."""
    links = _Links()
    links.lose()


@pytest.mark.parametrize('reached', [OWN, NEAR, FAR])
def test_host_that_reaches_some_targets_stays(reached: list[str]) -> None:
    """Guards against the withdrawal of a host because a region is down."""
    links = _Links()
    links.reached = set(reached)
    links.probe(5)
    assert not links.reach.is_lost


def test_single_round_proves_nothing() -> None:
    """Guards against the withdrawal of a host that was suspended."""
    links = _Links()
    for _ in range(5):
        links.reached = set()
        links.probe()
        links.reached = set(NEAR)
        links.probe()
    assert not links.reach.is_lost


def test_probes_run_only_on_suspicion() -> None:
    """Guards against connections on calm days."""

    async def main(links: _Links, failed: list[str]) -> None:
        with anyio.move_on_after(0.05):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(links.reach.run)
                await anyio.sleep(0.01)
                for target in failed:
                    links.reach.on_unreached(target)

    for failed, probes in (([], False), (NEAR[:1], False), (NEAR[:2], True)):
        links = _Links()
        anyio.run(main, links, failed)
        assert (links.probe_count > 0) is probes


def test_return_is_held_back_longer_after_each_loss() -> None:
    """Guards against a flapping link that makes a host come and go."""
    links = _Links()
    counts = []
    for _ in range(6):
        links.lose()
        counts.append(links.return_rounds())
    assert counts == sorted(counts)
    assert counts[-1] >= 8 * counts[0]
    limit = target_reach.MAX_HOLD_MS // target_reach.PROBE_INTERVAL_MS + 2
    assert counts[-1] <= limit
    links.clock.advance(target_reach.STABLE_MS)
    links.lose()
    assert links.return_rounds() == counts[0]


def test_failed_round_restarts_the_return() -> None:
    """Guards against a return between two losses."""
    links = _Links()
    links.lose()
    for _ in range(10):
        links.reached = {*OWN, *NEAR, *FAR}
        links.probe(2)
        links.reached = set()
        links.probe()
    assert links.reach.is_lost
    assert links.return_count == 0


def test_weight_returns_slowly() -> None:
    """Guards against a surge of callers at a host that returns."""
    links = _Links()
    assert links.reach.return_weight == 1.0
    links.lose()
    links.return_rounds()
    assert links.return_count == 1
    weights = []
    for _ in range(5):
        weights.append(links.reach.return_weight)
        links.clock.advance(target_reach.RETURN_MS // 4)
    assert weights == sorted(weights)
    assert weights[0] <= 0.4
    assert weights[-1] == 1.0
