"""Composition of the host-to-host protocol of one daemon."""

from __future__ import annotations

import collections.abc
import dataclasses
import random

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch import supervision
from wigeonhatch.config import model
from wigeonhatch.peers import channels as peer_channels
from wigeonhatch.peers import config_gossip
from wigeonhatch.peers import config_store
from wigeonhatch.peers import control_counters
from wigeonhatch.peers import exchange as state_exchange
from wigeonhatch.peers import membership as members
from wigeonhatch.peers import peer_selector
from wigeonhatch.peers import peers_pb2
from wigeonhatch.peers import platform_source
from wigeonhatch.peers import poller as platform_poller
from wigeonhatch.peers import server as peer_server
from wigeonhatch.peers import split_store
from wigeonhatch.peers import startup
from wigeonhatch.platform import interface
from wigeonhatch.requests import quarantine as quarantines
from wigeonhatch.steering import split as splits


@dataclasses.dataclass(frozen=True)
class NodeIdentity:
    """Identity and addresses of one daemon.

    Args:
        host: Name of the host.
        domain: Failure domain of the host.
        peer_address: `IP:PORT` to listen on for peers.
        credential: Credential shared by all hosts.
        seeds: Peer addresses to query at startup.
    """

    host: str
    domain: str
    peer_address: str
    credential: str
    seeds: collections.abc.Sequence[str] = ()


@dataclasses.dataclass(frozen=True)
class NodeHooks:
    """Callbacks to other packages.

    Args:
        renew_lease: Handles `RenewLease`.
        forward: Handles `Forward`.
        offer_split: Receives each newer split.
        decode_split: Decodes split rows.
        check_document: Validates a complete document.
        on_host_list: Receives each newer host list; a list that another
            host polled contains only configured hosts and leaving names.
    """

    renew_lease: collections.abc.Callable[
        [peers_pb2.LeaseRequest],
        collections.abc.Awaitable[peers_pb2.LeaseReply],
    ]
    forward: collections.abc.Callable[
        [peer_server.ForwardStream], collections.abc.Awaitable[None]
    ]
    offer_split: collections.abc.Callable[[splits.StoredSplit], None]
    decode_split: platform_source.DecodeSplit
    check_document: config_store.CheckDocument = config_store.parse_document
    on_host_list: collections.abc.Callable[[interface.HostList], None] = (
        lambda hosts: None
    )


class PeerNode:
    """All components of the host-to-host protocol of one daemon.

    `run` must be running before `start_up` is called. `start_up` returns once
    there is a configuration; until then the host is not ready, and
    `membership.incarnation` may still increase.

    Args:
        identity: Identity and addresses of the daemon.
        hooks: Callbacks to other packages.
        platform: Client of the platform.
        clock: Clock of the host.
        rng: Source of randomness; seeded by the system if None.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        hooks: NodeHooks,
        platform: interface.Platform,
        clock: clocks.Clock,
        rng: random.Random | None = None,
    ) -> None:
        rng = rng or random.Random()
        self._identity = identity
        self._hooks = hooks
        self._list_version = 0
        self.counters = control_counters.ControlCounters()
        self.supervisor = supervision.Supervisor(clock)
        self.membership = members.Membership(identity.host, clock)
        self.channels = peer_channels.PeerChannels(
            identity.host, identity.credential, clock
        )
        self.store = config_store.ConfigStore(hooks.check_document)
        self.store.subscribe(self.membership.configure)
        self.store.subscribe(self.channels.configure)
        self.splits = split_store.SplitStore(clock, hooks.offer_split)
        self.quarantine = quarantines.QuarantineTable(
            identity.host, self._find_repeat_hosts, clock
        )
        selector = peer_selector.PeerSelector(
            identity.host, lambda: self.channels.hosts, rng
        )
        self.config_gossip = config_gossip.ConfigGossip(
            self.store, self.channels, selector, clock, rng, self.counters
        )
        self.exchange = state_exchange.StateExchange(
            self.membership,
            self.store,
            self.splits,
            self.quarantine,
            self.config_gossip,
            self.channels,
            selector,
            clock,
            rng,
            self.counters,
        )
        source = platform_source.PlatformSource(
            platform, self.splits, hooks.decode_split, self.counters
        )
        self.poller = platform_poller.PlatformPoller(
            identity.domain,
            self.membership,
            self.store,
            source,
            clock,
            rng,
            self._offer_list,
        )
        self.membership.subscribe(self._offer_peer_list)
        self.server = peer_server.PeerServer(
            identity.credential,
            peer_server.PeerHandlers(
                self.exchange.on_exchange,
                self.config_gossip.on_push,
                self.config_gossip.on_fetch,
                hooks.renew_lease,
                hooks.forward,
            ),
            clock,
        )
        self._startup = startup.Startup(
            self.membership,
            self.store,
            source,
            self.channels,
            identity.seeds,
            clock,
            rng,
        )

    async def start_up(self) -> model.VersionedConfig:
        """Wait for the first configuration.

        Returns:
            The newest configuration of the platform and the peers.
        """
        return await self._startup.run()

    async def run(
        self,
        on_started: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Run until cancelled.

        Args:
            on_started: Called once peers can connect.

        Raises:
            OSError: The peer address is in use or does not exist.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self.channels.run)
            for name, run in (
                ('configurations', self.config_gossip.run),
                ('exchange', self.exchange.run),
                ('polls', self.poller.run),
            ):
                group.start_soon(self.supervisor.run, name, run)
            await self.server.run(self._identity.peer_address, on_started)

    def _find_repeat_hosts(self) -> quarantines.HostView:
        """Find the hosts at which a repeat of a request may arrive."""
        known = frozenset((self._identity.host, *self.membership.hosts))
        live = frozenset(
            host
            for host in known
            if host == self._identity.host
            or self.membership.is_reachable(host)
        )
        return quarantines.HostView(live, known)

    def _offer_list(self, hosts: interface.HostList) -> None:
        if hosts.version > self._list_version:
            self._list_version = hosts.version
            self._hooks.on_host_list(hosts)

    def _offer_peer_list(self) -> None:
        leaving = self.membership.drains.leaving
        current = self.store.current
        if current is not None and leaving.version > self._list_version:
            names = current.config.host_by_name
            self._offer_list(platform_poller.restore_host_list(leaving, names))
