"""Simulation of hosts that receive a request which crashes targets.

The request arrives at random hosts, again and again. Hosts exchange their
states with the delays of the links; they are cut off, frozen and restarted.
"""

from __future__ import annotations

import collections.abc
import typing
import weakref

import pytest

from tests.balance import simulation as simulations
from tests.entry import fake_store
from tests.faults import bounds
from wigeonhatch import clock as clocks
from wigeonhatch.entry import quarantine_store
from wigeonhatch.requests import quarantine
from wigeonhatch.standins import row_store

DEADLY = 7
SHARED = 8
"""Fingerprint of a page that many callers request."""
RUN_MS = 60
ALONE = quarantine.HostView(frozenset({'h1'}), frozenset({'h1'}))


class _Simulation(simulations.Simulation):
    """Hosts at which a deadly request arrives from `SETTLING_MS` on."""

    def __init__(self, hosts: int, arrivals_per_s: float, seed: int) -> None:
        super().__init__(hosts, seed)
        self.late_sends = 0
        self.crashed_ms: list[int] = []
        self._store = fake_store.FakeStore(row_store.RowStore())
        self._view_by_host: weakref.WeakKeyDictionary[
            simulations.Host, quarantine_store.QuarantineStore
        ] = weakref.WeakKeyDictionary()
        self._chance = arrivals_per_s * simulations.STEP_MS / 1_000 / hosts

    def on_step(self, host: simulations.Host, now_ms: int) -> None:
        """Send the request to a target if the quarantine allows it."""
        if now_ms < simulations.SETTLING_MS:
            return
        if now_ms % quarantine_store.INTERVAL_MS == 0:
            _complete(self._find_view(host).run_once())
        if self.rng.random() >= self._chance:
            return
        if host.quarantine.check(DEADLY) is not None:
            return
        host.quarantine.on_start(DEADLY)
        self.push(RUN_MS, host.name, host)
        limit = bounds.FREE_CRASHES
        is_late = len(self.crashed_ms) >= limit and (
            now_ms - self.crashed_ms[limit - 1] > bounds.CONVERGENCE_MS
        )
        undisturbed_ms = now_ms - max(host.started_ms, host.frozen_until_ms)
        if is_late and undisturbed_ms > bounds.CONVERGENCE_MS:
            self.late_sends += 1

    def _find_view(
        self, host: simulations.Host
    ) -> quarantine_store.QuarantineStore:
        if host not in self._view_by_host:
            self._view_by_host[host] = quarantine_store.QuarantineStore(
                host.name,
                typing.cast(typing.Any, self._store),
                host.quarantine,
                host.fleet.selector.find_repeat_hosts,
                self.clock,
            )
        return self._view_by_host[host]

    def on_message(
        self, host: simulations.Host, message: typing.Any, now_ms: int
    ) -> None:
        """Lose the request, as its target has crashed."""
        self.crashed_ms.append(now_ms)
        if message is host:
            host.quarantine.on_end(DEADLY)
            host.quarantine.on_crash(
                DEADLY, (f't{len(self.crashed_ms)}', now_ms)
            )


def _complete(
    coroutine: collections.abc.Coroutine[None, None, None],
) -> None:
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError('the coroutine waits')


def lasting_isolation(simulation: simulations.Simulation, now_ms: int) -> None:
    """Cut a third of the hosts off from all others until the end."""
    names = list(simulation.host_by_name)
    isolated = frozenset(names[::3])
    for host in simulation.host_by_name.values():
        host.muted = frozenset(names) if host.name in isolated else isolated


@pytest.mark.parametrize(
    'disturb', [*simulations.SCENARIOS, lasting_isolation]
)
@pytest.mark.parametrize(
    ('hosts', 'arrivals_per_s', 'seed'),
    [(7, 12, 1), (7, 12, 2), (7, 3, 1), (7, 3, 2), (60, 12, 1), (60, 12, 2)],
)
def test_all_hosts_together_stop_a_deadly_request(
    hosts: int,
    arrivals_per_s: float,
    seed: int,
    disturb: simulations.Disturb,
) -> None:
    """Guards against hosts that each crash targets of their own."""
    simulation = _Simulation(hosts, arrivals_per_s, seed)
    simulation.run(disturb)
    assert len(simulation.crashed_ms) >= bounds.FREE_CRASHES
    assert simulation.late_sends <= bounds.MAX_LATE_SENDS


class _Table:
    """Quarantine of one host that is alone."""

    def __init__(self, view: quarantine.HostView = ALONE) -> None:
        self.clock = clocks.ManualClock()
        self.table = quarantine.QuarantineTable('h1', lambda: view, self.clock)
        self._crash_count = 0

    def crash(self, fingerprint: int, count: int) -> None:
        """Crash further targets with a request."""
        for _ in range(count):
            self._crash_count += 1
            self.table.on_crash(fingerprint, (f't{self._crash_count}', 1))

    def is_refused(self, fingerprint: int) -> bool:
        """Whether the request may not be sent."""
        return self.table.check(fingerprint) is not None


def test_requests_beside_a_deadly_one_are_sent() -> None:
    """Guards against the refusal of a request that two crashes have met."""
    scene = _Table()
    scene.crash(DEADLY, 2)
    assert not scene.is_refused(DEADLY)
    scene.crash(DEADLY, 1)
    assert scene.is_refused(DEADLY)
    assert not scene.is_refused(SHARED)


def test_response_clears_a_request() -> None:
    """Guards against a shared page that is refused due to other requests."""
    scene = _Table()
    for _ in range(5):
        scene.crash(SHARED, 2)
        scene.clock.advance(10)
        scene.table.on_served(SHARED)
        scene.clock.advance(10)
    assert not scene.is_refused(SHARED)


def test_response_at_a_peer_clears_a_request() -> None:
    """Guards against a request that only one host knows to be harmless."""
    scene, peer = _Table(), _Table()
    scene.crash(SHARED, 3)
    peer.table.on_report(scene.table.build_report())
    assert peer.is_refused(SHARED)
    scene.clock.advance(100)
    scene.table.on_served(SHARED)
    peer.clock.advance(100)
    peer.table.on_report(scene.table.build_report())
    assert not peer.is_refused(SHARED)


def test_older_reports_do_not_renew_a_quarantine() -> None:
    """Guards against peers that report crashes from before a response."""
    scene, peer = _Table(), _Table()
    scene.crash(SHARED, 3)
    report = scene.table.build_report()
    scene.clock.advance(100)
    scene.table.on_served(SHARED)
    scene.clock.advance(100)
    peer.table.on_report(report)
    peer.clock.advance(200)
    scene.table.on_report(peer.table.build_report())
    assert not scene.is_refused(SHARED)


def test_suspect_runs_once_at_a_time() -> None:
    """Guards against concurrent repeats that each crash a target."""
    scene = _Table()
    scene.crash(DEADLY, 2)
    scene.table.on_start(DEADLY)
    assert scene.is_refused(DEADLY)
    scene.table.on_end(DEADLY)
    assert not scene.is_refused(DEADLY)


def test_innocent_request_is_tried_again() -> None:
    """Guards against an innocent request that is refused for good."""
    scene = _Table()
    scene.crash(SHARED, 3)
    scene.clock.advance(quarantine.FIRST_TRIAL_MS)
    assert not scene.is_refused(SHARED)
    scene.table.on_start(SHARED)
    assert scene.is_refused(SHARED)
    scene.table.on_served(SHARED)
    scene.table.on_end(SHARED)
    assert not scene.is_refused(SHARED)


def test_trials_are_bounded() -> None:
    """Guards against a deadly request that is tried for ever."""
    scene = _Table()
    scene.crash(DEADLY, 3)
    trials = 0
    for _ in range(2_000):
        scene.clock.advance(1_000)
        scene.table.expire()
        if not scene.is_refused(DEADLY):
            trials += 1
            scene.crash(DEADLY, 1)
    assert trials == quarantine.MAX_TRIALS


def test_one_host_tries_a_request() -> None:
    """Guards against a trial at each host."""
    names = frozenset(f'h{number}' for number in range(60))
    view = quarantine.HostView(names, names)
    clock = clocks.ManualClock()
    tables = [
        quarantine.QuarantineTable(name, lambda: view, clock) for name in names
    ]
    for table in tables:
        for number in range(3):
            table.on_crash(DEADLY, (f't{number}', 1))
    clock.advance(quarantine.FIRST_TRIAL_MS)
    assert sum(table.check(DEADLY) is None for table in tables) == 1


def test_host_that_hears_no_peer_refuses_sooner() -> None:
    """Guards against a full limit at each host that is cut off."""
    known = frozenset(f'h{number}' for number in range(7))
    scene = _Table(quarantine.HostView(frozenset({'h1'}), known))
    scene.crash(DEADLY, 1)
    assert scene.is_refused(DEADLY)


def test_memory_and_reports_are_bounded() -> None:
    """Guards against a flood of lost requests that hides the deadly one."""
    scene = _Table()
    scene.crash(DEADLY, 3)
    for fingerprint in range(100, 100 + 2 * quarantine.MAX_ENTRIES):
        scene.crash(fingerprint, 1)
    assert len(scene.table._entry_by_fingerprint) == quarantine.MAX_ENTRIES
    report = scene.table.build_report()
    assert len(report) == quarantine.MAX_STATEMENTS
    assert DEADLY in {item.fingerprint for item in report}
    assert scene.is_refused(DEADLY)
    scene.clock.advance(quarantine.RETENTION_MS + 1)
    scene.table.expire()
    assert scene.table._entry_by_fingerprint == {}
