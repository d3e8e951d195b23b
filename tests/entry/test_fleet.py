"""Tests of the presence of a host among its peers."""

from __future__ import annotations

import typing

import anyio
import msgspec

from tests.entry import fake_store
from wigeonhatch import clock as clocks
from wigeonhatch.balance import loads
from wigeonhatch.entry import edge_settings
from wigeonhatch.entry import fleet as fleets
from wigeonhatch.peers import readers
from wigeonhatch.peers import row_share
from wigeonhatch.peers import state_link
from wigeonhatch.platform import store as stores
from wigeonhatch.standins import row_store

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


class _Scene:
    """Fleet of the host `h1`."""

    def __init__(self) -> None:
        self.is_serving = True
        self.reaches_store = True
        self.peer_changes: list[dict[str, int]] = []
        self.clock = clocks.ManualClock()
        self.loads = loads.LoadTable(self.clock)
        self.fleet = fleets.Fleet(
            SETTINGS,
            typing.cast(typing.Any, None),
            self.loads,
            self.report,
            lambda state: self.peer_changes.append(
                state.report.changed_by_table
            ),
            self.clock,
        )

    def report(self) -> state_link.HostReport:
        """What this host tells of itself."""
        return state_link.HostReport(
            self.is_serving, self.reaches_store, 0, 1.0, 3, {'op': 4}
        )

    def hear(
        self,
        host: str,
        region: str,
        is_serving: bool = True,
        sequence: int = 1,
        reaches_store: bool = True,
        weight: float = 1.0,
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
                is_serving, reaches_store, 0, weight, 3, {'op': 9}
            ),
            {'t1': 2},
        )
        link = self.fleet._state_link
        link.datagram_received(msgspec.msgpack.encode(state), (ip, 1))


def test_lookup_names_serving_hosts_of_the_region() -> None:
    """Guards against lookups that name stopped, lost or distant hosts."""
    scene = _Scene()
    scene.hear('h2', 'a')
    scene.hear('h3', 'b')
    scene.hear('h4', 'a', is_serving=False)
    find = scene.fleet.select_addresses
    assert set(find('a', 'c1')) == {'10.0.0.1:80', '10.0.0.2:80'}
    assert find('b', 'c1') == ['10.0.0.3:80']
    assert len(find('c', 'c1')) == 3
    scene.clock.advance(state_link.PEER_TIMEOUT_MS + 1)
    assert find('b', 'c1') == ['10.0.0.1:80']
    scene.is_serving = False
    assert find('a', 'c1') == []


def test_narrow_hosts_are_named_to_few_callers() -> None:
    """Guards against hosts whose link is full while others are idle.

    They are named to the same callers each time, and to all if nothing else
    is left.
    """
    scene = _Scene()
    scene.hear('h2', 'a', weight=0.25)
    callers = [f'c{number}' for number in range(400)]
    named = [
        caller
        for caller in callers
        if '10.0.0.2:80' in scene.fleet.select_addresses('a', caller)
    ]
    assert 60 <= len(named) <= 140
    again = scene.fleet.select_addresses('a', named[0])
    assert set(again) == {'10.0.0.1:80', '10.0.0.2:80'}
    scene.is_serving = False
    for caller in callers:
        found = scene.fleet.select_addresses('a', caller)
        assert found == ['10.0.0.2:80']


def test_states_bring_loads_addresses_and_changes() -> None:
    """Guards against peers that are known without their loads."""
    scene = _Scene()
    assert set(scene.fleet.roster.ip_by_host.values()) == {'10.0.0.7'}
    scene.hear('h2', 'a')
    assert scene.fleet.roster.ip_by_host['h2'] == '10.0.0.2'
    assert scene.loads.in_progress('t1') == 2
    assert scene.peer_changes == [{'op': 9}]
    assert scene.fleet.live_hosts() == frozenset({'h1', 'h2'})


def test_only_a_peer_that_knows_more_is_asked() -> None:
    """Guards against calls to peers that cannot help."""

    async def scenario() -> None:
        scene = _Scene()
        assert await scene.fleet.fetch_from_peer('op', 0, 0) is None
        scene.hear('h2', 'a')
        assert await scene.fleet.fetch_from_peer('op', 9, 0) is None
        assert await scene.fleet.fetch_from_peer('other', 0, 0) is None

    anyio.run(scenario)


def test_rows_pass_between_peers_unchanged() -> None:
    """Guards against rows that differ after they were passed on."""
    rows = row_share.SharedRows(
        (stores.StoredRow('a', b'\xff', 5),), 7, False, 30
    )
    given = row_share.encode_rows(
        {'table': 'op', 'after': '4'},
        lambda table, after: rows if (table, after) == ('op', 4) else None,
    )
    assert given is not None
    assert msgspec.msgpack.decode(given, type=row_share.SharedRows) == rows
    assert row_share.encode_rows({}, lambda table, after: None) is None


def test_one_host_of_a_domain_reads_the_store() -> None:
    """Guards against domains with no reader, or with one that is refused."""
    scene = _Scene()
    assert scene.fleet.is_reader
    scene.hear('h4', 'b')
    assert scene.fleet.is_reader
    scene.hear('h2', 'a')
    scene.hear('h3', 'a')
    first = readers.choose_reader(dict.fromkeys(('h1', 'h2', 'h3'), True))
    assert scene.fleet.is_reader == (first == 'h1')
    scene.hear('h2', 'a', sequence=2, reaches_store=False)
    scene.hear('h3', 'a', sequence=2, reaches_store=False)
    assert scene.fleet.is_reader
    scene.hear('h2', 'a', sequence=3)
    scene.reaches_store = False
    assert not scene.fleet.is_reader
    scene.clock.advance(state_link.PEER_TIMEOUT_MS + 1)
    assert scene.fleet.is_reader
    assert scene.fleet.count_domains() == 1


def test_every_host_forgets_replaced_hosts() -> None:
    """Guards against states that are sent to hosts that are long gone.

    Hosts that do not follow the store read the list more rarely.
    """

    async def scenario() -> None:
        scene = _Scene()
        fleet = scene.fleet
        started_ms = scene.clock.now_ms
        store = fake_store.FakeStore(row_store.RowStore())
        fleet._store = typing.cast(typing.Any, store)
        fleet.roster.set_ip('gone', '10.0.0.9')
        first = readers.choose_reader({'h1': True, 'h2': True})
        scene.reaches_store = first != 'h1'
        peers = anyio.Event()

        async def stay_in_touch() -> None:
            for sequence in range(1, 2_000):
                scene.hear('h2', 'a', sequence=sequence)
                peers.set()
                await anyio.sleep(0)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stay_in_touch)
            await peers.wait()
            assert not fleet.is_reader
            tasks.start_soon(fleet.join)
            while store.list_calls < 3:
                await anyio.sleep(0)
            tasks.cancel_scope.cancel()
        assert 'gone' not in fleet.roster.ip_by_host
        assert 'h2' in fleet.roster.ip_by_host
        assert (
            scene.clock.now_ms - started_ms
            >= 2 * fleets._NON_READER_LIST_INTERVAL_MS
        )

    anyio.run(scenario)
