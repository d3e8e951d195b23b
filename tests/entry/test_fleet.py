"""Tests of the membership of a host in the fleet."""

from __future__ import annotations

import collections
import typing

import anyio
import msgspec

from tests.balance import harness as harnesses
from tests.entry import fake_store
from wigeonhatch import clock as clocks
from wigeonhatch.balance import departures as departure_tables
from wigeonhatch.balance import loads
from wigeonhatch.balance import rate_budget
from wigeonhatch.balance import statements
from wigeonhatch.entry import edge_settings
from wigeonhatch.entry import fleet as fleets
from wigeonhatch.peers import readers
from wigeonhatch.peers import row_share
from wigeonhatch.peers import state_link
from wigeonhatch.platform import names
from wigeonhatch.platform import store as stores
from wigeonhatch.requests import quarantine
from wigeonhatch.standins import row_store
from wigeonhatch.targets import registry

BOUNDS = edge_settings.Bounds('6s', 0.2, 60.0, '5s')  # type: ignore
SETTINGS = edge_settings.EdgeSettings(
    'h1',
    '10.0.0.1',
    'a1',
    'a',
    {'a1': 'a', 'b1': 'b'},
    '10.0.0.1:80',
    '10.0.0.1:81',
    '10.0.0.1:82',
    '10.0.0.1:83',
    84,
    85,
    '10.9.9.9:80',
    BOUNDS,
    ['10.0.0.1:83', '10.0.0.7:83'],
)


class _FleetHarness:
    """Fleet of the host `h1`."""

    def __init__(self) -> None:
        self.is_serving = True
        self.reaches_store = True
        self.reaches_targets = True
        self.peer_changes: list[dict[str, int]] = []
        self.parts: list[bytes] = []
        self.clock = clocks.ManualClock()
        self.loads = loads.LoadTable(self.clock)
        self.targets = registry.TargetRegistry(self.clock)
        self.statements = statements.StatementTable(self.targets, self.clock)
        self.limits = self.statements.rate_limits
        self.quarantine = quarantine.QuarantineTable(
            'h1', lambda: self.fleet.selector.find_repeat_hosts(), self.clock
        )
        self.fleet = fleets.Fleet(
            SETTINGS,
            typing.cast(typing.Any, None),
            self.loads,
            self.statements,
            self.quarantine,
            self.report,
            lambda state: self.peer_changes.append(
                state.report.changed_by_table
            ),
            self.parts.append,
            self.clock,
        )

    def report(self) -> state_link.HostReport:
        """Status that this host reports about itself."""
        return state_link.HostReport(
            self.is_serving,
            self.reaches_store,
            0,
            1.0,
            3,
            {'op': 4},
            self.reaches_targets,
        )

    def receive_state(
        self,
        host: str,
        region: str,
        is_serving: bool = True,
        sequence: int = 1,
        reaches_store: bool = True,
        weight: float = 1.0,
        reaches_targets: bool = True,
        departures: tuple[departure_tables.Departure, ...] = (),
    ) -> None:
        """Receive the state of a peer."""
        ip = f'10.0.0.{host[1:]}'
        state = state_link.HostState(
            host,
            1,
            sequence,
            f'{region}1',
            region,
            f'{ip}:80',
            state_link.HostReport(
                is_serving,
                reaches_store,
                0,
                weight,
                3,
                {'op': 9},
                reaches_targets,
            ),
            {'t1': 2},
            departures=departures,
        )
        link = self.fleet._link
        link.datagram_received(msgspec.msgpack.encode(state), (ip, 1))


def test_lookup_returns_serving_hosts_of_the_region() -> None:
    """Guards against lookups that return stopped, lost or remote hosts."""
    harness = _FleetHarness()
    harness.receive_state('h2', 'a')
    harness.receive_state('h3', 'b')
    harness.receive_state('h4', 'a', is_serving=False)
    select = harness.fleet.selector.select_addresses
    assert set(select('a', 'c1')) == {'10.0.0.1:80', '10.0.0.2:80'}
    assert select('b', 'c1') == ['10.0.0.3:80']
    assert len(select('c', 'c1')) == 3
    harness.clock.advance(state_link.PEER_TIMEOUT_MS + 1)
    assert select('b', 'c1') == ['10.0.0.1:80']
    harness.is_serving = False
    assert select('a', 'c1') == []


def test_lookup_omits_hosts_that_do_not_reach_targets() -> None:
    """Guards against callers that are sent to a host without links.

    A region without other hosts is served by other regions; if no host
    reaches targets, the targets are at fault and all hosts stay.
    """
    harness = _FleetHarness()
    harness.receive_state('h2', 'a', reaches_targets=False)
    harness.receive_state('h3', 'b')
    select = harness.fleet.selector.select_addresses
    assert select('a', 'c1') == ['10.0.0.1:80']
    assert harness.fleet.selector.sending_hosts() == frozenset({'h1', 'h3'})
    assert harness.fleet.selector.find_senders('a1').live == frozenset({'h1'})
    harness.reaches_targets = False
    assert select('a', 'c1') == ['10.0.0.3:80']
    harness.receive_state('h3', 'b', reaches_targets=False, sequence=2)
    assert set(select('a', 'c1')) == {'10.0.0.1:80', '10.0.0.2:80'}
    assert harness.fleet.selector.sending_hosts() == frozenset({'h1'})


def test_serving_hosts_of_the_region_send_to_limited_targets() -> None:
    """Guards against owners that send no requests, or whole rates in parts."""
    harness = _FleetHarness()
    harness.receive_state('h2', 'a')
    harness.receive_state('h3', 'b')
    harness.receive_state('h4', 'a', is_serving=False)
    find = harness.fleet.selector.find_senders
    assert find('a1') == rate_budget.HostGroup(frozenset({'h1', 'h2'}), 2)
    assert find('b1') == rate_budget.HostGroup(frozenset({'h3'}), 1)
    harness.clock.advance(state_link.PEER_TIMEOUT_MS + 1)
    assert find('a1') == rate_budget.HostGroup(frozenset({'h1'}), 3)
    assert find('b1') == rate_budget.HostGroup(frozenset({'h1'}), 4)


def test_hosts_with_slow_links_are_returned_to_few_callers() -> None:
    """Guards against hosts with saturated links while others are idle.

    They are returned to the same callers each time, and to all callers if no
    other host is left.
    """
    harness = _FleetHarness()
    harness.receive_state('h2', 'a', weight=0.25)
    callers = [f'c{number}' for number in range(400)]
    matching = [
        caller
        for caller in callers
        if '10.0.0.2:80'
        in harness.fleet.selector.select_addresses('a', caller)
    ]
    assert 60 <= len(matching) <= 140
    repeated = harness.fleet.selector.select_addresses('a', matching[0])
    assert set(repeated) == {'10.0.0.1:80', '10.0.0.2:80'}
    harness.is_serving = False
    for caller in callers:
        addresses = harness.fleet.selector.select_addresses('a', caller)
        assert addresses == ['10.0.0.2:80']


def test_hosts_with_slow_links_get_few_forwarded_requests() -> None:
    """Guards against links that forwarded requests fill.

    A host with a full link neither answers in time nor hears of changes.
    """
    harness = _FleetHarness()
    weight_by_host = {'h2': 1.0, 'h3': 0.1, 'h4': 0.0}
    for host, weight in weight_by_host.items():
        harness.receive_state(host, 'a', weight=weight)
    harness.receive_state('h5', 'b')
    count = 1_000
    first = collections.Counter(
        harness.fleet.selector.find_forwarding_peers(frozenset())[0].host
        for _ in range(count)
    )
    assert set(first) <= {'h2', 'h3'}
    assert 0.05 * count < first['h3'] < 0.15 * count
    peers = harness.fleet.selector.find_forwarding_peers(frozenset())
    assert [peer.host for peer in peers][2:] == ['h4', 'h5']


def test_lookup_in_a_large_region_returns_what_callers_accept() -> None:
    """Guards against lookups that fail since they name too many hosts."""
    harness = _FleetHarness()
    for number in range(2, 102):
        harness.receive_state(f'h{number}', 'a')
    found: set[str] = set()
    for caller in (f'c{number}' for number in range(40)):
        addresses = harness.fleet.selector.select_addresses('a', caller)
        assert len(addresses) == len(set(addresses)) == 64
        assert harness.fleet.selector.select_addresses('a', caller) == (
            addresses
        )
        found |= set(addresses)
    assert len(found) == 101


def test_peer_states_update_loads_roster_and_versions() -> None:
    """Guards against peers whose loads are not taken from their states."""
    harness = _FleetHarness()
    assert set(harness.fleet.roster.ip_by_host.values()) == {'10.0.0.7'}
    harness.receive_state('h2', 'a')
    assert harness.fleet.roster.ip_by_host['h2'] == '10.0.0.2'
    assert harness.loads.in_progress('t1') == 2
    assert harness.peer_changes == [{'op': 9}]
    assert harness.fleet.selector.live_hosts() == frozenset({'h1', 'h2'})


def test_departures_pass_between_hosts() -> None:
    """Guards against a departure that stays with the host that saw it."""
    harness = _FleetHarness()
    sent: list[state_link.HostState] = []
    harness.fleet._link.send = (  # type: ignore[method-assign]
        lambda state, _: sent.append(state)
    )
    target, other = map(harnesses.build_target, ('t1', 't2'))
    harness.targets.replace([target, other])
    harness.statements.departures.on_response(other)
    departure = departure_tables.Departure('t1', 1, 100)
    harness.receive_state('h2', 'a', departures=(departure,))
    assert harness.targets.usable('board') == ()
    harness.fleet._send(['h2'])
    own = departure_tables.Departure('t2', 1, 0)
    assert sent[0].departures == (own,)


def test_rows_are_fetched_only_from_a_peer_with_newer_changes() -> None:
    """Guards against calls to peers without newer changes."""

    async def scenario() -> None:
        harness = _FleetHarness()
        assert await harness.fleet.fetch_from_peer('op', 0, 0) is None
        harness.receive_state('h2', 'a')
        assert await harness.fleet.fetch_from_peer('op', 9, 0) is None
        assert await harness.fleet.fetch_from_peer('other', 0, 0) is None

    anyio.run(scenario)


def test_rows_pass_between_peers_unchanged() -> None:
    """Guards against rows that are altered by encoding and decoding."""
    rows = row_share.SharedRows(
        (stores.StoredRow('a', b'\xff', 5),), 7, False, 30
    )
    encoded = row_share.encode_rows(
        {'table': 'op', 'after': '4'},
        lambda table, after: rows if (table, after) == ('op', 4) else None,
    )
    assert encoded is not None
    assert msgspec.msgpack.decode(encoded, type=row_share.SharedRows) == rows
    assert row_share.encode_rows({}, lambda table, after: None) is None


def test_one_host_of_a_domain_reads_the_store() -> None:
    """Guards against domains without a reader that reaches the store."""
    harness = _FleetHarness()
    assert harness.fleet.is_reader
    harness.receive_state('h4', 'b')
    assert harness.fleet.is_reader
    harness.receive_state('h2', 'a')
    harness.receive_state('h3', 'a')
    reader = readers.choose_reader(dict.fromkeys(('h1', 'h2', 'h3'), True))
    assert harness.fleet.is_reader == (reader == 'h1')
    harness.receive_state('h2', 'a', sequence=2, reaches_store=False)
    harness.receive_state('h3', 'a', sequence=2, reaches_store=False)
    assert harness.fleet.is_reader
    harness.receive_state('h2', 'a', sequence=3)
    harness.reaches_store = False
    assert not harness.fleet.is_reader
    harness.clock.advance(state_link.PEER_TIMEOUT_MS + 1)
    assert harness.fleet.is_reader
    assert harness.fleet.count_domains() == 1


def test_every_host_removes_replaced_hosts() -> None:
    """Guards against heartbeats to hosts that no longer exist.

    Hosts that do not follow the store read the host list less often.
    """

    async def scenario() -> None:
        harness = _FleetHarness()
        fleet = harness.fleet
        started_ms = harness.clock.now_ms
        store = fake_store.FakeStore(row_store.RowStore())
        fleet._store = typing.cast(typing.Any, store)
        fleet.roster.set_ip('gone', '10.0.0.9')
        reader = readers.choose_reader({'h1': True, 'h2': True})
        harness.reaches_store = reader != 'h1'
        has_peer = anyio.Event()

        async def send_states() -> None:
            for sequence in range(1, 2_000):
                harness.receive_state('h2', 'a', sequence=sequence)
                has_peer.set()
                await anyio.sleep(0)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_states)
            await has_peer.wait()
            assert not fleet.is_reader
            tasks.start_soon(fleet.join)
            while store.list_calls < 3:
                await anyio.sleep(0)
            tasks.cancel_scope.cancel()
        assert 'gone' not in fleet.roster.ip_by_host
        assert 'h2' in fleet.roster.ip_by_host
        assert (
            harness.clock.now_ms - started_ms
            >= 2 * fleets._NON_READER_LIST_INTERVAL_MS
        )

    anyio.run(scenario)


def test_host_registers_again_after_a_restore_of_the_store() -> None:
    """Guards against a host that others cannot find, as its row was lost."""

    async def scenario() -> None:
        harness = _FleetHarness()
        rows = row_store.RowStore()
        store = fake_store.FakeStore(rows)
        harness.fleet._store = typing.cast(typing.Any, store)
        copy = rows.copy()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.fleet.join)
            while store.list_calls < 1:
                await anyio.sleep(0)
            rows.restore(copy)
            with anyio.fail_after(5):
                while not rows.rows(names.HOST_TABLE):
                    await anyio.sleep(0)
            rows.restore(copy)
            await harness.fleet.leave()
            calls = store.list_calls
            while store.list_calls < calls + 2:
                await anyio.sleep(0)
            tasks.cancel_scope.cancel()
        assert rows.rows(names.HOST_TABLE) == []

    anyio.run(scenario)
