"""Presence of this host among its peers, and what they report."""

from __future__ import annotations

import collections
import collections.abc
import logging

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch import settings as settings_module
from wigeonhatch.balance import host_weight
from wigeonhatch.balance import loads
from wigeonhatch.entry import edge_settings
from wigeonhatch.peers import readers
from wigeonhatch.peers import roster as rosters
from wigeonhatch.peers import row_share
from wigeonhatch.peers import state_link
from wigeonhatch.platform import interface
from wigeonhatch.platform import names
from wigeonhatch.platform import store as stores

_REGISTER_PAUSE_MS = 500
"""Pause between attempts to list this host; one write each."""
_ALONE_PAUSE_MS = 1_000
"""Pause between readings of the list while no peer is known."""
_LIST_PAUSE_MS = 15_000
"""Pause between readings by hosts that follow the store."""
_OTHERS_PAUSE_MS = 300_000
"""Pause between readings by the other hosts, which hear of new hosts and have
only to forget those that were replaced."""
_STOP_REPEATS = 3
"""Datagrams sent at once when the host stops, against their loss."""
_LOG = logging.getLogger(__name__)


class Fleet:
    """Exchange states with all hosts.

    Args:
        settings: Settings of this host.
        store: Client of the platform's store.
        load_table: Requests in progress.
        report: Tells what this host reports of itself.
        on_peer_state: Called with the state of a peer that was taken over.
        clock: Clock of the host.
    """

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        store: stores.StoreClient,
        load_table: loads.LoadTable,
        report: collections.abc.Callable[[], state_link.HostReport],
        on_peer_state: collections.abc.Callable[[state_link.HostState], None],
        clock: clocks.Clock,
    ) -> None:
        self.peers = state_link.PeerTable(clock)
        self.roster = rosters.Roster(settings.host)
        _, self._rows_port = settings_module.parse_address(
            settings.peer_address
        )
        self._settings = settings
        self.add_seeds(settings.seeds)
        self._store = store
        self._loads = load_table
        self._report = report
        self._on_peer_state = on_peer_state
        self._clock = clock
        self._incarnation = clock.wall_ms
        self._sequence = 0
        self._ticks = 0
        self._link = state_link.StateLink(self._on_state)

    async def open(self) -> None:
        """Bind the socket of the exchange."""
        await self._link.open(self._settings.ip, self._settings.peer_port)

    def close(self) -> None:
        """Close the socket of the exchange."""
        self._link.close()

    def add_seeds(self, seeds: collections.abc.Iterable[str]) -> None:
        """Send states to some hosts before the store has named them.

        Args:
            seeds: Peer addresses.
        """
        for seed in seeds:
            ip, _ = settings_module.parse_address(seed)
            if ip != self._settings.ip:
                self.roster.set_ip(f'seed {ip}', ip)

    async def _register(self) -> None:
        row = rosters.encode_entry(self._settings.ip, self._incarnation)
        while True:
            result = await self._store.put_row(
                names.HOST_TABLE, self._settings.host, row
            )
            if isinstance(result, int):
                log.event(_LOG, 'host listed', row_version=result)
                return
            log.event(_LOG, 'host not listed', reason=result.detail)
            await self._clock.sleep_ms(_REGISTER_PAUSE_MS)

    async def leave(self) -> None:
        """Tell the peers that this host stops, and take it off the list."""
        for _ in range(_STOP_REPEATS):
            self._send(self.roster.ip_by_host.keys())
        result = await self._store.remove_row(
            names.HOST_TABLE, self._settings.host
        )
        if isinstance(result, (interface.Unavailable, interface.Unknown)):
            log.event(_LOG, 'host still listed', reason=result.detail)

    async def run(self) -> None:
        """Send the state of this host until cancelled."""
        while True:
            self._ticks += 1
            region_by_host = self.peers.region_by_host()
            is_remote_turn = (
                self._ticks % state_link.INTERVALS_PER_REMOTE_SEND == 0
            )
            self._send(
                host
                for host in self.roster.ip_by_host
                if is_remote_turn
                or region_by_host.get(host) == self._settings.region
            )
            for host in self.peers.detect_lost_peers():
                self._loads.remove_host(host)
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
        """Number of failure domains with live hosts, and so of readers."""
        domains = {state.domain for state in self.peers.live_states()}
        return len(domains | {self._settings.domain})

    async def join(self) -> None:
        """List this host, and read the list of the others now and then.

        A host reads the list after it is listed itself, so that of two hosts
        that start together at least one knows the other; the state that it
        sends makes it known there as well.
        """
        await self._register()
        while True:
            is_read = await self._read_list()
            pause_ms = _LIST_PAUSE_MS
            if not is_read:
                pause_ms = _REGISTER_PAUSE_MS
            elif not self.roster.ip_by_host:
                pause_ms = _ALONE_PAUSE_MS
            await self._clock.sleep_ms(pause_ms)
            waited_ms = pause_ms
            while (
                is_read
                and self.roster.ip_by_host
                and not self.is_reader
                and waited_ms < _OTHERS_PAUSE_MS
            ):
                await self._clock.sleep_ms(_LIST_PAUSE_MS)
                waited_ms += _LIST_PAUSE_MS

    async def _read_list(self) -> bool:
        found = await self._store.list_rows(names.HOST_TABLE)
        if isinstance(found, interface.Unavailable):
            log.event(_LOG, 'hosts not read', reason=found.detail)
            return False
        for row in found.rows:
            try:
                self.roster.put_entry(row.key, row.value)
            except ValueError as error:
                log.event(
                    _LOG, 'host entry unusable', host=row.key, reason=error
                )
        hosts = {row.key for row in found.rows} | self.live_hosts()
        self.roster.retain(hosts)
        return True

    async def fetch_from_peer(
        self, table: str, last_change_version: int, after: int
    ) -> row_share.SharedRows | None:
        """Read a table from the nearest peer that has seen a newer change.

        Args:
            table: Name of the table.
            last_change_version: Newest change that this host has seen.
            after: Change of the store up to which it knows the table.

        Returns:
            The rows; None if no peer has seen a newer change.
        """
        own = self._settings
        newer = (
            (
                state.domain == own.domain,
                state.region == own.region,
                state.report.changed_by_table[table],
                state.host,
            )
            for state in self.peers.live_states()
            if state.report.changed_by_table.get(table, 0)
            > last_change_version
        )
        nearest = max(newer, default=None)
        ip = self.roster.ip_by_host.get(nearest[-1]) if nearest else None
        if ip is None:
            return None
        return await row_share.fetch(ip, self._rows_port, table, after)

    def live_hosts(self) -> frozenset[str]:
        """Names of the hosts that are reachable, with this one."""
        return frozenset(
            (self._settings.host, *(s.host for s in self.peers.live_states()))
        )

    def select_addresses(self, region: str, caller: str) -> list[str]:
        """Choose the hosts that a caller may use.

        Hosts of one region are about 1 ms apart, so that the failure domain
        does not matter.

        Args:
            region: Region of the caller.
            caller: Identity of the caller.

        Returns:
            Addresses of serving hosts of the region, or else of all regions.
        """
        weights_by_region: dict[str, dict[str, float]] = (
            collections.defaultdict(dict)
        )
        for state in self.peers.live_states():
            if state.report.is_serving:
                weights = weights_by_region[state.region]
                weights[state.caller_address] = state.report.weight
        report = self._report()
        if report.is_serving:
            own = self._settings
            weights_by_region[own.region][own.caller_address] = report.weight
        if region in weights_by_region:
            return host_weight.select_hosts(weights_by_region[region], caller)
        return [
            address
            for weights in weights_by_region.values()
            for address in host_weight.select_hosts(weights, caller)
        ]

    def _on_state(self, state: state_link.HostState) -> None:
        if not self.peers.update(state):
            return
        ip, _ = settings_module.parse_address(state.caller_address)
        self.roster.set_ip(state.host, ip)
        self._loads.on_report(state.host, state.count_by_target)
        self._on_peer_state(state)

    def _send(self, hosts: collections.abc.Iterable[str]) -> None:
        self._sequence += 1
        counts = self._loads.own_counts()
        if len(counts) > state_link.MAX_TARGETS:
            busiest = sorted(counts, key=counts.__getitem__, reverse=True)
            counts = {
                name: counts[name]
                for name in busiest[: state_link.MAX_TARGETS]
            }
        state = state_link.HostState(
            self._settings.host,
            self._incarnation,
            self._sequence,
            self._settings.domain,
            self._settings.region,
            self._settings.caller_address,
            self._report(),
            counts,
        )
        # A seed may be listed under its name as well.
        ips = {self.roster.ip_by_host[host] for host in hosts}
        port = self._settings.peer_port
        self._link.send(state, [(ip, port) for ip in sorted(ips)])
