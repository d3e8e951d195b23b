"""Presence of this host among its peers, and what they report."""

from __future__ import annotations

import collections.abc
import logging

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch import settings as settings_module
from wigeonhatch.balance import loads
from wigeonhatch.entry import edge_settings
from wigeonhatch.peers import roster as rosters
from wigeonhatch.peers import row_share
from wigeonhatch.peers import state_link
from wigeonhatch.platform import interface
from wigeonhatch.platform import names
from wigeonhatch.platform import store as stores

_REGISTER_PAUSE_MS = 500
"""Pause between attempts to list this host; one write each."""
_FIRST_LISTS = 3
"""Readings of the list in quick succession after the start, as hosts of one
fleet start within 1 s."""
_FIRST_LIST_PAUSE_MS = 1_000
"""Pause between them."""
_LIST_PAUSE_MS = 15_000
"""Pause between later readings; only hosts that hear no peer need them."""
_STOP_REPEATS = 3
"""Datagrams sent at once when the host stops, against their loss."""
_LOG = logging.getLogger(__name__)


class Fleet:
    """Exchange states with all hosts.

    Args:
        settings: Settings of this host.
        store: Client of the platform's store.
        load_table: Requests in progress.
        is_serving: Tells whether callers may be sent to this host.
        config_version: Version of the routing configuration in force.
        changed_by_table: Newest change that this host has seen, by table.
        on_peer_changes: Called with the same of each peer.
        clock: Clock of the host.
    """

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        store: stores.StoreClient,
        load_table: loads.LoadTable,
        is_serving: collections.abc.Callable[[], bool],
        config_version: collections.abc.Callable[[], int],
        changed_by_table: collections.abc.Callable[[], dict[str, int]],
        on_peer_changes: collections.abc.Callable[[dict[str, int]], None],
        clock: clocks.Clock,
    ) -> None:
        self.peers = state_link.PeerTable(clock)
        self.roster = rosters.Roster(settings.host)
        _, self._rows_port = settings_module.parse_address(
            settings.peer_address
        )
        self._settings = settings
        self.learn_seeds(settings.seeds)
        self._store = store
        self._loads = load_table
        self._is_serving = is_serving
        self._config_version = config_version
        self._changed_by_table = changed_by_table
        self._on_peer_changes = on_peer_changes
        self._clock = clock
        self._incarnation = clock.wall_ms
        self._sequence = 0
        self._ticks = 0
        self._lists = 0
        self._link = state_link.StateLink(self._on_state)

    async def open(self) -> None:
        """Bind the socket of the exchange."""
        await self._link.open(self._settings.ip, self._settings.peer_port)

    def close(self) -> None:
        """Close the socket of the exchange."""
        self._link.close()

    def learn_seeds(self, seeds: collections.abc.Iterable[str]) -> None:
        """Send states to some hosts before the store has named them.

        Args:
            seeds: Peer addresses.
        """
        for seed in seeds:
            ip, _ = settings_module.parse_address(seed)
            if ip != self._settings.ip:
                self.roster.learn(f'seed {ip}', ip)

    async def register(self) -> None:
        """List this host in the store."""
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
            is_remote_turn = self._ticks % state_link.REMOTE_EVERY == 0
            self._send(
                host
                for host in self.roster.ip_by_host
                if is_remote_turn
                or region_by_host.get(host) == self._settings.region
            )
            for host in self.peers.note_silence():
                self._loads.forget(host)
            await self._clock.sleep_ms(state_link.INTERVAL_MS)

    async def follow_list(self) -> None:
        """Read the list of hosts now and then.

        A host that starts sends its state to all that are listed, which
        makes it known to them; the list is needed for hosts that start.
        """
        while True:
            found = await self._store.list_rows(names.HOST_TABLE)
            if isinstance(found, interface.Unavailable):
                log.event(_LOG, 'hosts not read', reason=found.detail)
                await self._clock.sleep_ms(_REGISTER_PAUSE_MS)
                continue
            for row in found.rows:
                try:
                    self.roster.put(row.key, row.value)
                except ValueError as error:
                    log.event(
                        _LOG, 'host entry unusable', host=row.key, reason=error
                    )
            hosts = {row.key for row in found.rows} | self.live_hosts()
            self.roster.keep(hosts)
            is_alone = len(self.roster.ip_by_host) == 0
            await self._clock.sleep_ms(
                _FIRST_LIST_PAUSE_MS
                if is_alone or self._lists < _FIRST_LISTS
                else _LIST_PAUSE_MS
            )
            self._lists += 1

    async def ask_peer(
        self, table: str, changed_version: int
    ) -> stores.Snapshot | None:
        """Read a table from the peer that has seen its newest change.

        Args:
            table: Name of the table.
            changed_version: Newest change that this host has seen.

        Returns:
            The rows; None if no peer has seen a newer change.
        """
        newer = [
            (state.changed_by_table.get(table, 0), state.host)
            for state in self.peers.live()
        ]
        version, host = max(newer, default=(0, ''))
        if version <= changed_version:
            return None
        ip = self.roster.ip_by_host.get(host)
        if ip is None:
            return None
        return await row_share.fetch(ip, self._rows_port, table)

    def live_hosts(self) -> frozenset[str]:
        """Names of the hosts that are reachable, with this one."""
        return frozenset(
            (self._settings.host, *(s.host for s in self.peers.live()))
        )

    def caller_addresses(self, domain: str, region: str) -> list[str]:
        """Choose the hosts that a caller may use.

        Args:
            domain: Failure domain of the caller.
            region: Region of the caller.

        Returns:
            Addresses of the serving hosts of the region, or else of all.
        """
        del domain  # Hosts of one region are about 1 ms apart.
        serving = [
            (state.region, state.caller_address)
            for state in self.peers.live()
            if state.is_serving
        ]
        if self._is_serving():
            serving.append(
                (self._settings.region, self._settings.caller_address)
            )
        near = [address for place, address in serving if place == region]
        return near or [address for _, address in serving]

    def _on_state(self, state: state_link.HostState) -> None:
        if not self.peers.on_state(state):
            return
        ip, _ = settings_module.parse_address(state.caller_address)
        self.roster.learn(state.host, ip)
        self._loads.on_report(state.host, state.count_by_target)
        self._on_peer_changes(state.changed_by_table)

    def _send(self, hosts: collections.abc.Iterable[str]) -> None:
        self._sequence += 1
        counts = self._loads.own_counts()
        if len(counts) > state_link.MAX_COUNTS:
            busiest = sorted(counts, key=counts.__getitem__, reverse=True)
            counts = {
                name: counts[name] for name in busiest[: state_link.MAX_COUNTS]
            }
        state = state_link.HostState(
            self._settings.host,
            self._incarnation,
            self._sequence,
            self._settings.domain,
            self._settings.region,
            self._settings.caller_address,
            self._is_serving(),
            self._config_version(),
            self._changed_by_table(),
            counts,
        )
        # A seed may be listed under its name as well.
        ips = {self.roster.ip_by_host[host] for host in hosts}
        port = self._settings.peer_port
        self._link.send(state, [(ip, port) for ip in sorted(ips)])
