"""Membership of this host in the fleet, and the states of its peers."""

from __future__ import annotations

import collections.abc
import logging
import random

from wigeonhatch import clock as clocks
from wigeonhatch import decoding
from wigeonhatch import log
from wigeonhatch import settings as settings_module
from wigeonhatch.balance import loads
from wigeonhatch.balance import statements as statement_tables
from wigeonhatch.entry import edge_settings
from wigeonhatch.entry import host_selector
from wigeonhatch.peers import readers
from wigeonhatch.peers import roster as rosters
from wigeonhatch.peers import row_share
from wigeonhatch.peers import sources
from wigeonhatch.peers import state_link
from wigeonhatch.platform import interface
from wigeonhatch.platform import names
from wigeonhatch.platform import store as stores
from wigeonhatch.requests import quarantine as quarantines

_RETRY_INTERVAL_MS = 500
"""Interval of attempts to register (one write each) or to read the list."""
_ISOLATED_LIST_INTERVAL_MS = 1_000
"""Interval between reads of the host list while no peer is known."""
_READER_LIST_INTERVAL_MS = 15_000
"""Interval between reads by hosts that follow the store."""
_NON_READER_LIST_INTERVAL_MS = 300_000
"""Interval between reads by the other hosts. They learn of new hosts from
heartbeats and read the list only to remove replaced hosts."""
_MIN_EXTRA_INTERVAL_MS = 50
"""Shortest time between datagrams that do not wait for their turn."""
_STOP_DATAGRAMS = 3
"""Datagrams sent when the host stops, in case some are lost."""
_LOG = logging.getLogger(__name__)


class Fleet:
    """Register this host and exchange heartbeats with its peers.

    Args:
        settings: Settings of this host.
        store: Client of the platform's store.
        load_table: Requests in progress by target.
        statements: What targets state of themselves.
        quarantine: Requests that crash targets.
        report: Returns the status that this host reports about itself.
        on_peer_state: Called with each new state of a peer.
        on_part: Called with each part of a state that a known host sends.
        clock: Clock of the host.
    """

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        store: stores.StoreClient,
        load_table: loads.LoadTable,
        statements: statement_tables.StatementTable,
        quarantine: quarantines.QuarantineTable,
        report: collections.abc.Callable[[], state_link.HostReport],
        on_peer_state: collections.abc.Callable[[state_link.HostState], None],
        on_part: collections.abc.Callable[[bytes], None],
        clock: clocks.Clock,
    ) -> None:
        self.peers = state_link.PeerTable(clock)
        self.roster = rosters.Roster(settings.host)
        self.sources = sources.PeerSources(
            settings.domain, settings.region, self.peers, self.roster, clock
        )
        _, self._rows_port = settings_module.parse_address(
            settings.peer_address
        )
        self._settings = settings
        self.add_seeds(settings.seeds)
        self._store = store
        self._loads = load_table
        self._statements = statements
        self._quarantine = quarantine
        quarantine.on_change = self._send_early
        self._report = report
        self._on_peer_state = on_peer_state
        self._on_part = on_part
        self._clock = clock
        self._incarnation = clock.wall_ms
        self._sequence = 0
        self._send_count = 0
        self._sent_early_ms = -_MIN_EXTRA_INTERVAL_MS
        self._incarnation_by_host: dict[str, int] = {}
        self._is_leaving = False
        self._link = state_link.StateLink(
            self._on_state, self._on_part_datagram
        )
        self.selector = host_selector.HostSelector(
            settings,
            self.peers,
            self.roster,
            report,
            random.Random(f'{settings.host}/{clock.wall_ms}'),
        )

    async def open(self) -> None:
        """Bind the heartbeat socket."""
        await self._link.open(self._settings.ip, self._settings.peer_port)

    def close(self) -> None:
        """Close the heartbeat socket."""
        self._link.close()

    def add_seeds(self, seeds: collections.abc.Iterable[str]) -> None:
        """Add hosts that receive heartbeats before the host list is read.

        Args:
            seeds: Peer addresses.
        """
        for seed in seeds:
            ip, _ = settings_module.parse_address(seed)
            if ip != self._settings.ip:
                self.roster.set_ip(f'seed {ip}', ip)

    async def _register(self) -> None:
        row = rosters.encode_entry(self._settings.ip, self._incarnation)
        while not self._is_leaving:
            result = await self._store.put_row(
                names.HOST_TABLE, self._settings.host, row
            )
            if isinstance(result, int):
                log.event(_LOG, 'host registered', row_version=result)
                return
            log.event(_LOG, 'host registration failed', reason=result.detail)
            await self._clock.sleep_ms(_RETRY_INTERVAL_MS)

    async def leave(self) -> None:
        """Announce the stop to the peers and deregister this host."""
        self._is_leaving = True
        for _ in range(_STOP_DATAGRAMS):
            self._send(self.roster.ip_by_host.keys())
        result = await self._store.remove_row(
            names.HOST_TABLE, self._settings.host
        )
        if isinstance(result, (interface.Unavailable, interface.Unknown)):
            log.event(_LOG, 'host deregistration failed', reason=result.detail)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._send_count += 1
            region_by_host = self.peers.region_by_host()
            is_remote_turn = (
                self._send_count % state_link.INTERVALS_PER_REMOTE_SEND == 0
            )
            self._send(
                host
                for host in self.roster.ip_by_host
                if is_remote_turn
                or region_by_host.get(host) == self._settings.region
            )
            for host in self.peers.detect_lost_peers():
                self._loads.remove_host(host)
                self._incarnation_by_host.pop(host, None)
            await self._clock.sleep_ms(state_link.INTERVAL_MS)

    @property
    def is_reader(self) -> bool:
        """Whether this host follows the store for its failure domain."""
        own = self._settings
        reaches_store_by_host = {
            state.host: state.report.reaches_store
            for state in self.peers.live_states()
            if state.domain == own.domain
        }
        reaches_store_by_host[own.host] = self._report().reaches_store
        return readers.choose_reader(reaches_store_by_host) == own.host

    def count_domains(self) -> int:
        """Number of failure domains with live hosts; each has one reader."""
        domains = {state.domain for state in self.peers.live_states()}
        return len(domains | {self._settings.domain})

    async def join(self) -> None:
        """Register this host, then read the host list periodically.

        A host reads the list only after it is registered. If two hosts start
        together, at least one finds the other and makes itself known to it by
        its heartbeat.
        """
        await self._register()
        while True:
            era = self._store.era
            is_list_read = await self._read_host_list()
            interval_ms = _READER_LIST_INTERVAL_MS
            if not is_list_read:
                interval_ms = _RETRY_INTERVAL_MS
            elif not self.roster.ip_by_host:
                interval_ms = _ISOLATED_LIST_INTERVAL_MS
            await self._clock.sleep_ms(interval_ms)
            elapsed_ms = interval_ms
            while (
                is_list_read
                and self.roster.ip_by_host
                and not self.is_reader
                and era == self._store.era
                and elapsed_ms < _NON_READER_LIST_INTERVAL_MS
            ):
                await self._clock.sleep_ms(_READER_LIST_INTERVAL_MS)
                elapsed_ms += _READER_LIST_INTERVAL_MS

    async def _read_host_list(self) -> bool:
        batch = await self._store.list_rows(names.HOST_TABLE)
        if isinstance(batch, interface.Unavailable):
            log.event(_LOG, 'host list read failed', reason=batch.detail)
            return False
        for row in batch.rows:
            try:
                self.roster.put_entry(row.key, row.value)
            except decoding.DecodeError as error:
                log.event(
                    _LOG, 'host entry unusable', host=row.key, reason=error
                )
        listed = {row.key for row in batch.rows}
        self.roster.retain(listed | self.selector.live_hosts())
        if self._settings.host not in listed:
            # A store that was restored from a copy may have lost the row.
            await self._register()
        return True

    async def fetch_from_peer(
        self, table: str, change_version: int, after: int
    ) -> row_share.SharedRows | None:
        """Fetch rows of a table from a near peer with a newer change.

        Args:
            table: Name of the table.
            change_version: Newest change that this host has received.
            after: Store version of the table that this host holds.

        Returns:
            The rows; None if no peer has a newer change or none answered.
        """

        async def fetch(source: sources.Source) -> row_share.SharedRows | None:
            started_ms = self._clock.now_ms
            rows = await row_share.fetch(
                source.ip, self._rows_port, table, after
            )
            log.event(
                _LOG,
                'rows requested',
                peer=source.host,
                table=table,
                change_version=change_version,
                version=None if rows is None else rows.version,
                took_ms=self._clock.now_ms - started_ms,
            )
            return rows

        found = self.sources.find(
            lambda report: (
                report.changed_by_table.get(table, 0) - change_version
            )
        )
        return await self.sources.read(found, fetch)

    def _on_state(self, state: state_link.HostState) -> None:
        if not self.peers.update(state):
            return
        ip, _ = settings_module.parse_address(state.caller_address)
        self.roster.set_ip(state.host, ip)
        self._loads.on_report(state.host, state.count_by_target)
        self._statements.on_report(
            statement_tables.StatementReport(
                state.rate_statements, state.departures
            )
        )
        self._quarantine.on_report(state.crash_statements)
        if self._incarnation_by_host.get(state.host) != state.incarnation:
            self._incarnation_by_host[state.host] = state.incarnation
            self._quarantine.report_again()
        self._on_peer_state(state)

    def send_datagrams(
        self, ip: str, datagrams: collections.abc.Iterable[bytes]
    ) -> None:
        """Send the parts of a state to a host.

        Args:
            ip: Address of the host.
            datagrams: The parts.
        """
        self._link.send_datagrams(datagrams, (ip, self._settings.peer_port))

    def _on_part_datagram(self, data: bytes, ip: str) -> None:
        if ip in self.roster.ip_by_host.values():
            self._on_part(data)

    def _send_early(self) -> None:
        """Send a datagram to all peers without waiting for its turn."""
        now_ms = self._clock.now_ms
        if now_ms - self._sent_early_ms >= _MIN_EXTRA_INTERVAL_MS:
            self._sent_early_ms = now_ms
            self._send(self.roster.ip_by_host)

    def _send(self, hosts: collections.abc.Iterable[str]) -> None:
        self._sequence += 1
        counts = self._loads.own_counts()
        if len(counts) > state_link.MAX_TARGETS:
            busiest = sorted(counts, key=counts.__getitem__, reverse=True)
            counts = {
                name: counts[name]
                for name in busiest[: state_link.MAX_TARGETS]
            }
        report = self._statements.build_report()
        state = state_link.HostState(
            self._settings.host,
            self._incarnation,
            self._sequence,
            self._settings.domain,
            self._settings.region,
            self._settings.caller_address,
            self._report(),
            counts,
            report.rate_limits,
            self._quarantine.build_report(),
            report.departures,
        )
        # A seed may also be on the roster under its host name.
        ips = {self.roster.ip_by_host[host] for host in hosts}
        port = self._settings.peer_port
        self._link.send(state, [(ip, port) for ip in sorted(ips)])
