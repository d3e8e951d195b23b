"""Daemon of an entry host that is configured by a platform's store."""

from __future__ import annotations

import dataclasses
import logging
import random

import anyio
import anyio.abc

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch import supervision
from wigeonhatch.balance import ejection
from wigeonhatch.balance import host_weight
from wigeonhatch.balance import loads
from wigeonhatch.balance import picker as pickers
from wigeonhatch.balance import rate_budget
from wigeonhatch.balance import region_selector
from wigeonhatch.balance import shift_limit
from wigeonhatch.balance import statements
from wigeonhatch.balance import warmup
from wigeonhatch.entry import catalog as catalogs
from wigeonhatch.entry import daemon_signals
from wigeonhatch.entry import directory
from wigeonhatch.entry import edge_metrics
from wigeonhatch.entry import edge_servers
from wigeonhatch.entry import edge_settings
from wigeonhatch.entry import edge_signals
from wigeonhatch.entry import edge_stop
from wigeonhatch.entry import fleet as fleets
from wigeonhatch.entry import quarantine_store
from wigeonhatch.entry import retry_share
from wigeonhatch.entry import settings_reload
from wigeonhatch.entry import state_topics
from wigeonhatch.entry import stop_account
from wigeonhatch.entry import store_follower
from wigeonhatch.metrics import collector
from wigeonhatch.metrics import config_metrics
from wigeonhatch.peers import region_fractions
from wigeonhatch.peers import state_link
from wigeonhatch.platform import store as stores
from wigeonhatch.requests import connection_ledger
from wigeonhatch.requests import edge as edges
from wigeonhatch.requests import peer_forwarder
from wigeonhatch.requests import quarantine
from wigeonhatch.requests import relay as relays
from wigeonhatch.requests import server as request_server
from wigeonhatch.routes import model
from wigeonhatch.routes import table as tables
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import crash_detector
from wigeonhatch.targets import reach as target_reach
from wigeonhatch.targets import registry

CONNECT_TIMEOUT_MS = 300
"""Timeout for a connection to a target. A round trip takes up to 90 ms, and
the request can be retried at another target afterwards."""
KEEP_ALIVE_MARGIN_S = 1.0
"""Margin on the idle timeout of callers' connections. A caller that observes
the timeout never sends a request on a connection that the host closes."""
DIRECTORY_TTL_MS = 2_000
"""TTL of a lookup result; callers stop using a stopped host after it."""
_LOG = logging.getLogger(__name__)


class EdgeDaemon:
    """Entry host that relays requests and answers lookups of serving hosts.

    Args:
        settings: Validated settings.
        clock: Clock of the host.
        read_settings: Reads the settings file again.
    """

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        clock: clocks.Clock,
        read_settings: settings_reload.ReadSettings,
    ) -> None:
        self._settings = settings
        self._reloader = settings_reload.SettingsReloader(
            settings, read_settings, self._apply_settings, clock
        )
        self._clock = clock
        self._rng = random.Random(f'{settings.host}/{clock.wall_ms}')
        self._is_stopping = False
        self._supervisor = supervision.Supervisor(clock)
        self._ledger = connection_ledger.ConnectionLedger()
        self._protocol = request_server.build_protocol(
            settings.limits, self._ledger
        )
        self._metrics = collector.Metrics(clock)
        self._config_metrics = config_metrics.ConfigMetrics(
            clock, self._metrics.registry
        )
        self._store = stores.StoreClient(settings.store_address)
        self._routes = tables.RouteTable()
        self._targets = registry.TargetRegistry(clock)
        self._loads = loads.LoadTable(clock)
        self._statements = statements.StatementTable(self._targets, clock)
        self._ejections = ejection.EjectionTable(clock)
        self._link_weight = host_weight.LinkWeight(
            settings.link_mbps,
            settings.processor_share * settings.processor_speed,
        )
        self._quarantine = quarantine.QuarantineTable(
            settings.host,
            lambda: self._fleet.selector.find_repeat_hosts(),
            clock,
        )
        self._fleet = fleets.Fleet(
            settings,
            self._store,
            self._loads,
            self._statements,
            self._quarantine,
            self._build_report,
            self._on_peer_state,
            lambda data: self._state_push.on_datagram(data),
            clock,
        )
        self._fractions = region_fractions.RegionFractions(
            settings.region, self._fleet.peers
        )
        self._quarantine_store = quarantine_store.QuarantineStore(
            settings.host,
            self._store,
            self._quarantine,
            self._fleet.selector.find_repeat_hosts,
            clock,
        )
        self._warmups = warmup.WarmupBudget(
            settings.host, clock, self._fleet.selector.sending_hosts
        )
        self._rates = rate_budget.RateBudget(
            settings.host,
            self._statements.rate_limits,
            self._fleet.selector.find_senders,
            clock,
        )
        self._regions = region_selector.RegionSelector(
            settings.region,
            settings.region_by_domain,
            settings.bounds.max_shift,
            self._targets,
            self._loads,
            self._ejections,
            self._fractions.find_peers,
            self._rng,
        )
        self._picker = pickers.Picker(
            self._regions,
            self._targets,
            self._loads,
            self._ejections,
            self._warmups,
            self._rates,
            self._statements.pauses,
            clock,
        )
        self._client = target_client.TargetClient(
            clock,
            accepts_close_delimited=True,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
        )
        self._reach = target_reach.TargetReach(
            self._client,
            lambda: self._targets.group_by_distance(
                settings.domain, settings.region_by_domain
            ),
            self._ejections.clear,
            clock,
            self._rng,
        )
        edge_metrics.connect(
            self._metrics,
            self._regions,
            self._picker,
            self._reach,
            self._supervisor,
        )
        self._catalog = catalogs.Catalog(
            self._routes,
            self._targets,
            self._on_config,
            self._on_targets,
            clock,
        )
        self._store_follower = store_follower.StoreFollower(
            self._store, self._catalog, self._fleet, clock, self._rng
        )
        self._state_push = state_topics.build_push(
            self._routes,
            self._catalog,
            self._store_follower,
            self._fleet,
            clock,
            self._rng,
        )
        self._relay = relays.Relay(
            self._picker,
            self._loads,
            self._ejections,
            self._warmups,
            self._statements,
            self._rates,
            self._targets,
            self._client,
            self._quarantine,
            crash_detector.CrashDetector(
                self._client, self._quarantine.on_crash, clock
            ),
            self._reach,
            peer_forwarder.PeerForwarder(
                target_client.TargetClient(
                    clock, connect_timeout_ms=CONNECT_TIMEOUT_MS
                ),
                self._fleet.selector.find_forwarding_peers,
                clock,
            ),
            lambda: retry_share.build_retry_budget(
                lambda: self._settings.bounds, self._count_hosts
            ),
            clock,
        )
        self._applications = [
            edges.EdgeApplication(
                self._routes,
                self._config_metrics.lag,
                self._relay,
                self._find_target_region,
                self._on_finished,
                clock,
                is_for_peers,
            )
            for is_for_peers in (False, True)
        ]

    @property
    def is_serving(self) -> bool:
        """Whether lookups may return this host to callers."""
        return self._routes.config is not None and not self._is_stopping

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        settings = self._settings
        app = directory.DirectoryApplication(
            lambda: self.is_serving,
            self._fleet.selector.select_addresses,
            min(DIRECTORY_TTL_MS, settings.bounds.directory_ttl_max),
            self._metrics.expose,
            self._store_follower.read_rows,
        )
        application, peer_application = self._applications
        servers = edge_servers.build_servers(
            settings,
            self._protocol,
            application,
            peer_application,
            app,
        )
        log.event(
            _LOG,
            'started',
            host=settings.host,
            domain=settings.domain,
            region=settings.region,
        )
        async with anyio.create_task_group() as tasks:
            await self._fleet.open()
            for server in servers:
                tasks.start_soon(server.serve)
            self._store_follower.start(tasks, self._supervisor)
            for name, run in (
                ('registration', self._fleet.join),
                ('heartbeats', self._fleet.run),
                ('adjustments', self._run_adjustments),
                ('target probes', self._reach.run),
                ('quarantines', self._quarantine_store.run),
                ('states for peers', self._state_push.run),
                ('settings', self._reloader.run),
            ):
                tasks.start_soon(self._supervisor.run, name, run)
            with daemon_signals.receive() as signals:
                await edge_signals.wait_for_stop(
                    signals, self._reloader.reload
                )
                self._is_stopping = True
                self._relay.is_stopping = True
                self._log_account('stopping')
                await edge_stop.stop_gracefully(
                    self._applications,
                    servers,
                    self._ledger,
                    self._fleet.leave,
                    DIRECTORY_TTL_MS,
                    self._settings.bounds.stop_grace,
                    self._clock,
                )
            self._log_account('stopped')
            tasks.cancel_scope.cancel()
        self._fleet.close()

    def _log_account(self, message: str) -> None:
        counts = (item.counts for item in self._applications)
        stop_account.log_account(message, counts, self._ledger)

    def _build_report(self) -> state_link.HostReport:
        config = self._routes.config
        follower = self._store_follower
        return state_link.HostReport(
            is_serving=self.is_serving,
            reaches_store=follower.is_connected and not self._is_stopping,
            followed_ms=follower.followed_ms,
            weight=self._link_weight.weight * self._reach.return_weight,
            config_version=0 if config is None else config.version,
            changed_by_table=follower.changed_by_table,
            reaches_targets=not self._reach.is_lost,
            fractions_by_region=self._fractions.report,
        )

    def _apply_settings(self, settings: edge_settings.EdgeSettings) -> None:
        """Use new bounds and seeds; other settings need a restart."""
        self._settings = dataclasses.replace(
            self._settings, bounds=settings.bounds, seeds=settings.seeds
        )
        self._fleet.add_seeds(settings.seeds)
        self._regions.set_max_shift(settings.bounds.max_shift)

    async def _run_adjustments(self) -> None:
        while True:
            await self._clock.sleep_ms(shift_limit.ADJUST_INTERVAL_MS)
            self._catalog.expire_holds()
            self._quarantine.expire()
            self._picker.adjust_splits(self._fleet.peers.region_by_host())
            self._fractions.refresh(self._regions.fraction_by_region)

    def _on_peer_state(self, state: state_link.HostState) -> None:
        self._config_metrics.lag.on_peer_version(state.report.config_version)
        self._state_push.on_peer_state(state)
        self._store_follower.on_peer_state(state)

    def _on_config(self, config: model.RoutingConfig) -> None:
        self._config_metrics.on_config(config.version)
        limits = config.limits
        self._protocol.limits = dataclasses.replace(
            self._settings.limits,
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            max_body_gap_ms=limits.header_timeout_ms,
        )
        self._protocol.keep_alive_s = (
            limits.idle_timeout_ms / 1_000 + KEEP_ALIVE_MARGIN_S
        )
        self._picker.configure(config.service_by_name)
        self._on_targets()

    def _on_targets(self) -> None:
        records = self._targets.record_by_name
        config = self._routes.config
        self._ejections.retain(frozenset(records))
        self._warmups.retain(records.keys())
        self._statements.retain(records.values())
        self._rates.retain(records.keys())
        services = {} if config is None else config.service_by_name
        self._client.set_targets(
            {
                record.name: (
                    record.address,
                    services[record.service].max_connections,
                )
                for record in records.values()
                if record.service in services
            }
        )

    def _count_hosts(self) -> int:
        """Number of hosts that share the agreed retries."""
        hosts = len(self._fleet.roster.ip_by_host) + 1
        return max(len(self._settings.region_by_domain), hosts)

    def _find_target_region(self, name: str) -> str:
        record = self._targets.record_by_name.get(name)
        return '' if record is None else self._picker.region_of(record.domain)

    def _on_finished(self, result: edges.CompletedRequest) -> None:
        self._metrics.on_request(
            result.service,
            result.region,
            result.code,
            result.elapsed_ms * 1_000,
        )
        self._link_weight.on_request(
            result.request_bytes, result.response_bytes
        )
