"""Control plane of a daemon: components that do not need its incarnation."""

from __future__ import annotations

import collections.abc
import dataclasses
import random

from wigeonhatch import clock as clocks
from wigeonhatch import outcome
from wigeonhatch import settings as settings_module
from wigeonhatch.budget import departures as host_departures
from wigeonhatch.budget import grantor as lease_grantor
from wigeonhatch.budget import lease
from wigeonhatch.budget import slots as slot_module
from wigeonhatch.config import check
from wigeonhatch.config import model
from wigeonhatch.links import budget as link_module
from wigeonhatch.peers import membership as members
from wigeonhatch.peers import node as peer_node
from wigeonhatch.peers import peers_pb2
from wigeonhatch.peers import server as peer_server
from wigeonhatch.platform import interface
from wigeonhatch.steering import candidates as candidate_module
from wigeonhatch.steering import ownership as ownership_module
from wigeonhatch.steering import spillover as spillover_module
from wigeonhatch.steering import split as splits
from wigeonhatch.steering import step_writer as step_writers

ForwardHandler = collections.abc.Callable[
    [peer_server.ForwardStream], collections.abc.Awaitable[None]
]

PEER_SPLIT_WAIT_MS = 1_500


@dataclasses.dataclass(frozen=True)
class ControlPlane:
    """Components of the control plane.

    Args:
        settings: Settings of the daemon.
        clock: Clock of the host.
        platform: Client of the platform.
        node: Gossip and calls between hosts.
        slots: Admission to targets.
        grantor: Leases that this host grants as a standby.
        departures: Hosts that have been removed from the platform's host list.
        split_table: Split in force on this host.
        spillover: Buckets served outside their assigned region.
        candidates: Hosts that admit requests.
        links: Byte budgets of the links.
        step_writer: Writer of shift steps.
        owners: Owners and standbys under the configuration in force.
    """

    settings: settings_module.Settings
    clock: clocks.Clock
    platform: interface.Platform
    node: peer_node.PeerNode
    slots: slot_module.SlotTable
    grantor: lease_grantor.LeaseGrantor
    departures: host_departures.Departures
    split_table: splits.SplitTable
    spillover: spillover_module.Spillover
    candidates: candidate_module.Candidates
    links: link_module.LinkBudget
    step_writer: step_writers.StepWriter
    owners: ownership_module.OwnerCache = dataclasses.field(
        default_factory=ownership_module.OwnerCache
    )

    @property
    def membership(self) -> members.Membership:
        """Records of all hosts."""
        return self.node.membership

    @property
    def current(self) -> model.VersionedConfig | None:
        """Configuration in force; None before the first one."""
        return self.node.store.current

    def configure(self, versioned: model.VersionedConfig) -> None:
        """Put a configuration in force in all components.

        Args:
            versioned: Configuration in force.
        """
        ownership = self.owners.assign(versioned.config)
        region = versioned.config.find_region(self.settings.domain)
        self.slots.configure(versioned, ownership)
        self.grantor.configure(versioned, ownership)
        self.split_table.configure(versioned)
        self.spillover.configure(versioned)
        self.candidates.configure(versioned, ownership)
        self.links.configure(versioned, region)


def build_control_plane(
    settings: settings_module.Settings,
    credential: str,
    clock: clocks.Clock,
    platform: interface.Platform,
    forward: ForwardHandler,
) -> ControlPlane:
    """Build the control plane of a daemon.

    Args:
        settings: Settings of the daemon.
        credential: Credential for calls between hosts.
        clock: Clock of the host.
        platform: Client of the platform.
        forward: Handler of the `Forward` call.
    """
    departures = host_departures.Departures(clock)
    split_table = splits.SplitTable(clock)

    async def renew_lease(
        request: peers_pb2.LeaseRequest,
    ) -> peers_pb2.LeaseReply:
        decision = grantor.on_renew(
            request.host, request.incarnation, request.release
        )
        status = lease.LeaseStatus(decision.status)
        return peers_pb2.LeaseReply(
            status=peers_pb2.LeaseReply.Status.Name(status.value),
            granted_ms=decision.granted_ms,
        )

    node = peer_node.PeerNode(
        peer_node.NodeIdentity(
            settings.host,
            settings.domain,
            settings.peer_address,
            credential,
            settings.seeds,
        ),
        peer_node.NodeHooks(
            renew_lease=renew_lease,
            forward=forward,
            offer_split=split_table.offer,
            decode_split=splits.decode,
            check_document=check.check_document,
            on_host_list=departures.on_host_list,
        ),
        platform,
        clock,
    )

    def confirmed_version(host: str) -> int | None:
        return _confirmed_version(host, node.membership, departures)

    slots = slot_module.SlotTable(
        settings.host, clock, confirmed_version, lambda: node.membership.hosts
    )
    grantor = lease_grantor.LeaseGrantor(
        settings.host, clock, platform, slots, confirmed_version, departures
    )
    control = ControlPlane(
        settings=settings,
        clock=clock,
        platform=platform,
        node=node,
        slots=slots,
        grantor=grantor,
        departures=departures,
        split_table=split_table,
        spillover=spillover_module.Spillover(
            clock, random.Random(f'{settings.host}/{clock.wall_ms}')
        ),
        candidates=candidate_module.Candidates(
            settings.host,
            clock,
            node.membership,
            slots.load,
        ),
        links=link_module.LinkBudget(clock),
        step_writer=step_writers.StepWriter(
            settings.host,
            platform,
            clock,
            lambda: node.store.current,
            split_table,
            lambda split: _offer_split(node, split),
        ),
    )
    node.store.subscribe(control.configure)
    return control


def _offer_split(node: peer_node.PeerNode, split: splits.StoredSplit) -> None:
    node.splits.offer([split])


def _confirmed_version(
    host: str,
    membership: members.Membership,
    departures: host_departures.Departures,
) -> int | None:
    """Return the version confirmed by a host and by the host acting for it."""
    if departures.has_left(host):
        return slot_module.DEPARTED_VERSION
    record = membership.record(host)
    if record is None:
        return None
    actor = membership.actor_for(host)
    actor_record = membership.record(actor) if actor else None
    if actor_record is None:
        return record.config_version
    return min(record.config_version, actor_record.config_version)


async def load_splits(control: ControlPlane) -> None:
    """Load the stored splits, then allow services without one to start.

    Args:
        control: Control plane with a configuration in force.
    """
    result = await control.platform.scan(splits.KEY_PREFIX)
    if isinstance(result, interface.ReadResult):
        decoded = (
            splits.decode(row.value, row.version)
            for row in result.row_by_key.values()
        )
        control.node.splits.offer(
            item.value for item in decoded if isinstance(item, outcome.Success)
        )
    else:
        # Without the platform the splits come from peers, within two rounds of
        # gossip.
        await control.clock.sleep_ms(PEER_SPLIT_WAIT_MS)
    control.split_table.mark_loaded()
