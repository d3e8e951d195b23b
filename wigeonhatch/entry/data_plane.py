"""Data plane of a daemon: components that need its incarnation."""

from __future__ import annotations

import dataclasses

from wigeonhatch import outcome
from wigeonhatch.budget import lease
from wigeonhatch.budget import slots as slot_module
from wigeonhatch.config import model
from wigeonhatch.entry import control_plane as control_planes
from wigeonhatch.links import budget as link_module
from wigeonhatch.metrics import collector
from wigeonhatch.peers import channels as peer_channels
from wigeonhatch.peers import peers_pb2
from wigeonhatch.requests import application as applications
from wigeonhatch.requests import attempts
from wigeonhatch.requests import forward_client
from wigeonhatch.requests import forward_server
from wigeonhatch.requests import keys as key_tables
from wigeonhatch.requests import model as request_model
from wigeonhatch.steering import lookup as lookups
from wigeonhatch.steering import routing
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import health

_RENEW_TIMEOUT_S = lease.RENEW_TIMEOUT_MS / 1_000


@dataclasses.dataclass(frozen=True)
class DataPlane:
    """Components of the data plane.

    Args:
        lease_holder: Lease of this host from its standby.
        keys: Idempotency keys of this incarnation.
        lookup_table: Results of lookups.
        router: Routes of requests.
        targets: Client of the targets.
        health: Health monitor of this host's targets.
        application: Callers' interface.
        forward_handler: Handler of forwarded requests.
    """

    lease_holder: lease.LeaseHolder
    keys: key_tables.KeyTable
    lookup_table: lookups.LookupTable
    router: routing.Router
    targets: target_client.TargetClient
    health: health.HealthMonitor
    application: applications.Application
    forward_handler: forward_server.ForwardServer

    @property
    def in_progress(self) -> int:
        """Requests in progress from callers and from other hosts."""
        return self.application.in_progress + self.forward_handler.in_progress

    def accept_until(self, end_ms: int) -> None:
        """Refuse requests of callers and peers with a later deadline.

        Args:
            end_ms: Time on the monotonic clock in ms.
        """
        self.application.end_ms = end_ms
        self.forward_handler.end_ms = end_ms

    def configure(
        self,
        control: control_planes.ControlPlane,
        versioned: model.VersionedConfig,
    ) -> None:
        """Put a configuration in force in all components.

        Args:
            control: Control plane, already configured.
            versioned: Configuration in force.
        """
        ownership = control.owners.assign(versioned.config)
        self.lease_holder.configure(versioned, ownership)
        self.router.configure(versioned)
        self.targets.configure(versioned)
        self.watch_targets(control, versioned)

    def watch_targets(
        self,
        control: control_planes.ControlPlane,
        versioned: model.VersionedConfig,
    ) -> None:
        """Probe the targets for which this host admits requests.

        Args:
            control: Control plane.
            versioned: Configuration in force.
        """
        hosts = {control.settings.host, *control.grantor.acting_for}
        ownership = control.owners.assign(versioned.config)
        self.health.watch(
            target
            for host in hosts
            for target in ownership.targets_by_owner.get(host, ())
        )


def build_data_plane(
    control: control_planes.ControlPlane, metrics: collector.Metrics
) -> DataPlane:
    """Build the data plane once the incarnation is final.

    Args:
        control: Control plane with a configuration in force.
        metrics: Receives the results of requests.
    """
    settings = control.settings
    clock = control.clock
    store = control.node.store
    current = store.current
    assert current is not None
    region = current.config.find_region(settings.domain)
    targets = target_client.TargetClient(clock)
    keys = key_tables.KeyTable(
        settings.host, control.membership.incarnation, clock
    )
    router = routing.Router(
        control.candidates,
        control.split_table,
        control.spillover,
        lambda far, bulk: control.links.has_tokens(far, _traffic_class(bulk)),
        control.membership.incarnation,
    )
    lookup_table = lookups.LookupTable(
        clock, control.candidates, control.split_table, control.spillover
    )
    forwarder = forward_client.ForwardClient(
        region, clock, store, control.node.channels, control.links
    )
    runner = attempts.RequestRunner(
        settings.host,
        clock,
        control.slots,
        router,
        targets,
        keys,
        forwarder,
        control.node.quarantine,
    )

    def lookup(
        service: str, client: str, key_count: int
    ) -> outcome.Success[bytes] | outcome.Failure:
        return lookup_table.answer_lookup(
            service, client, keys.issue(key_count)
        )

    def on_finished(summary: request_model.RequestSummary) -> None:
        metrics.on_request(
            summary.service, region, summary.code, summary.elapsed_ms * 1_000
        )

    return DataPlane(
        lease_holder=_build_holder(control),
        keys=keys,
        lookup_table=lookup_table,
        router=router,
        targets=targets,
        health=health.HealthMonitor(
            targets,
            clock,
            lambda target, result: _on_health(control, target, result),
        ),
        application=applications.Application(
            clock,
            settings.limits,
            store,
            lookup,
            lambda: describe_health(control),
            runner,
            on_finished,
        ),
        forward_handler=forward_server.ForwardServer(
            clock, store, runner, forwarder, settings.limits
        ),
    )


def describe_health(control: control_planes.ControlPlane) -> dict[str, object]:
    """Describe this host in health checks by callers.

    Args:
        control: Control plane.
    """
    record = control.membership.record(control.settings.host)
    return {
        'host': control.settings.host,
        'state': record.state.name.lower() if record else 'starting',
        'version': control.node.store.version,
    }


def _traffic_class(is_bulk: bool) -> link_module.TrafficClass:
    if is_bulk:
        return link_module.TrafficClass.BULK
    return link_module.TrafficClass.SMALL


def _build_holder(control: control_planes.ControlPlane) -> lease.LeaseHolder:
    host = control.settings.host
    incarnation = control.membership.incarnation

    async def renew(standby: str, release: bool) -> lease.LeaseDecision | None:
        stub = control.node.channels.stub(standby)
        if stub is None:
            return None
        request = peers_pb2.LeaseRequest(
            host=host, incarnation=incarnation, release=release
        )
        try:
            reply = await stub.RenewLease(request, timeout=_RENEW_TIMEOUT_S)
        except peer_channels.PEER_ERRORS:
            return None
        return lease.LeaseDecision(
            lease.LeaseStatus(int(reply.status)), reply.granted_ms
        )

    return lease.LeaseHolder(
        host,
        incarnation,
        control.clock,
        control.platform,
        control.slots,
        renew,
        control.departures,
    )


def _on_health(
    control: control_planes.ControlPlane,
    target: str,
    result: health.HealthResult,
) -> None:
    if isinstance(result, outcome.Failure):
        control.slots.on_probe(target, False)
        return
    report = result.value
    control.slots.on_probe(target, True)
    control.slots.on_report(
        target, slot_module.LoadReport(report.in_use, report.slots)
    )
    control.membership.on_target_health(target, report.is_draining)
