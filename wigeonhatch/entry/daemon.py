"""The daemon that runs on every entry host."""

from __future__ import annotations

import collections.abc
import dataclasses
import functools
import logging
import signal
import sys
import typing

import anyio
import anyio.abc
import uvicorn

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch import outcome
from wigeonhatch import settings as settings_module
from wigeonhatch import supervision
from wigeonhatch.config import model
from wigeonhatch.entry import control_plane as control_planes
from wigeonhatch.entry import control_plane_view
from wigeonhatch.entry import daemon_signals
from wigeonhatch.entry import data_plane as data_planes
from wigeonhatch.entry import http_server
from wigeonhatch.entry import maintenance as maintenance_module
from wigeonhatch.entry import not_ready
from wigeonhatch.entry import runner
from wigeonhatch.entry import stop as stops
from wigeonhatch.metrics import collector
from wigeonhatch.operators import application as operator_application
from wigeonhatch.operators import service as operator_service
from wigeonhatch.peers import records
from wigeonhatch.platform import http_client
from wigeonhatch.requests import connection_ledger
from wigeonhatch.requests import server as request_server

_LOG = logging.getLogger(__name__)
_WATCH_INTERVAL_MS = 200


class Daemon:
    """Entry host: the data plane starts once a configuration is in force.

    Args:
        settings: Validated settings.
        credential: Credential of operators and peers.
        clock: Clock of the host.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        credential: str,
        clock: clocks.Clock,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._data_plane: data_planes.DataPlane | None = None
        self._is_stopping = False
        self._hand_over_lock = anyio.Lock()
        self._is_handed_over = False
        self._stop_event = anyio.Event()
        self._metrics = collector.Metrics(clock)
        self._control = control_planes.build_control_plane(
            settings,
            credential,
            clock,
            http_client.HttpPlatform(settings.platform_url),
            self._serve_forward,
        )
        daemon_view = control_plane_view.ControlPlaneView(
            self._control,
            lambda: maintenance_module.count_violations(
                self._control, self._data_plane
            ),
        )
        self._metrics.set_gauge_source(daemon_view)
        self._metrics.set_control_counters(
            lambda: dataclasses.asdict(self._control.node.counters)
        )
        self._metrics.set_task_errors(
            lambda: self._control.node.supervisor.errors_by_task
        )
        service = operator_service.OperatorService(
            settings.host, self._control.platform, daemon_view, clock
        )
        self._operators = operator_application.OperatorApplication(
            service, credential, self._metrics.expose
        )

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        ledger = connection_ledger.ConnectionLedger()
        caller_server = http_server.HttpServer(
            request_server.build_server_config(
                typing.cast(typing.Any, self._serve_caller),
                self._settings.caller_address,
                request_server.build_protocol(self._settings.limits, ledger),
            )
        )
        operator_server = http_server.build_server(
            self._operators, self._settings.operator_address
        )
        with daemon_signals.receive() as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._wait_for_stop, signals)
                await tasks.start(self._run_node)
                tasks.start_soon(self._run_operators, operator_server)
                tasks.start_soon(self._run_callers, caller_server, tasks)
                tasks.start_soon(self._start_serving, tasks)
                await self._stop_event.wait()
                await self._stop(caller_server, ledger)
                operator_server.should_exit = True
                tasks.cancel_scope.cancel()

    async def _wait_for_stop(
        self, signals: collections.abc.AsyncIterable[signal.Signals]
    ) -> None:
        async for number in signals:
            _LOG.info('received %s', signal.Signals(number).name)
            # Settings are read at the start only.
            if number != signal.SIGHUP:
                self._stop_event.set()

    async def _run_node(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        await self._control.node.run(task_status.started)

    async def _run_operators(self, server: uvicorn.Server) -> None:
        await server.serve()

    async def _run_callers(
        self, server: uvicorn.Server, tasks: anyio.abc.TaskGroup
    ) -> None:
        await server.serve()
        if not self._is_stopping:
            # The address is in use, so that no caller can reach this host.
            tasks.cancel_scope.cancel()

    async def _start_serving(self, tasks: anyio.abc.TaskGroup) -> None:
        control = self._control
        await control.node.start_up()
        await control_planes.load_splits(control)
        data_plane = data_planes.build_data_plane(control, self._metrics)
        current = control.current
        assert current is not None
        data_plane.configure(control, current)

        def on_change(versioned: model.VersionedConfig) -> None:
            data_plane.configure(control, versioned)

        control.node.store.subscribe(on_change)
        maintenance = maintenance_module.MaintenanceLoop(
            control, data_plane, self._metrics
        )
        supervisor = control.node.supervisor
        for name, run in (
            ('lease', data_plane.lease_holder.run),
            ('health checks', data_plane.health.run),
            ('grants', control.grantor.run),
            ('steps', control.step_writer.run),
            ('maintenance', maintenance.run),
            ('watch of the own host', self._watch_own_host),
        ):
            tasks.start_soon(supervisor.run, name, run)
        self._data_plane = data_plane
        control.membership.set_state(records.HostState.SERVING)
        _LOG.info('serving, config version %d', control.node.store.version)

    async def _stop(
        self,
        caller_server: http_server.HttpServer,
        ledger: connection_ledger.ConnectionLedger,
    ) -> None:
        self._is_stopping = True
        data_plane = self._data_plane
        if data_plane is None:
            caller_server.stop_accepting()
            return
        await supervision.run_step(
            'handover', functools.partial(self._hand_over, data_plane)
        )
        await stops.finish_requests(
            data_plane,
            caller_server,
            ledger,
            self._settings.limits.stop_bound_ms,
            self._clock,
        )

    async def _hand_over(self, data_plane: data_planes.DataPlane) -> None:
        async with self._hand_over_lock:
            if not self._is_handed_over:
                self._is_handed_over = True
                await stops.hand_over(
                    self._control,
                    data_plane,
                    self._settings.limits.stop_bound_ms,
                )

    async def _watch_own_host(self) -> None:
        """Hand over when this host drains; stop when it is superseded."""
        membership = self._control.membership
        while not self._is_stopping:
            if membership.is_superseded:
                _LOG.error('a newer daemon runs as host %s', membership.host)
                self._stop_event.set()
                return
            if self._data_plane and membership.host in membership.draining():
                await self._hand_over(self._data_plane)
            await self._clock.sleep_ms(_WATCH_INTERVAL_MS)

    async def _serve_caller(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        data_plane = self._data_plane
        if data_plane is None or (
            self._is_handed_over and not_ready.is_lookup(scope)
        ):
            await not_ready.refuse(scope, send)
            return
        await data_plane.application(scope, receive, send)

    async def _serve_forward(self, stream: typing.Any) -> None:
        if self._data_plane is None:
            await not_ready.refuse_forward(stream)
            return
        await self._data_plane.forward_handler.handle(stream)


def run_entry(settings: settings_module.Settings) -> int:
    """Run the daemon until SIGTERM.

    Args:
        settings: Validated settings.

    Returns:
        Exit status.
    """
    log.configure_logging(settings.log_level)
    credential = settings_module.read_credential(settings)
    if isinstance(credential, outcome.Failure):
        sys.stderr.write(credential.detail + '\n')
        return credential.info.exit_status
    log.redact(credential.value)

    async def main() -> None:
        await Daemon(settings, credential.value, clocks.Clock()).run()

    return runner.run_daemon(main)
