"""Selection of the hosts that callers, peers and targets deal with."""

from __future__ import annotations

import collections
import collections.abc
import random

from wigeonhatch import settings as settings_module
from wigeonhatch.balance import host_weight
from wigeonhatch.balance import rate_budget
from wigeonhatch.entry import edge_settings
from wigeonhatch.peers import roster as rosters
from wigeonhatch.peers import state_link
from wigeonhatch.requests import peer_forwarder
from wigeonhatch.requests import quarantine as quarantines
from wigeonhatch.steering import rendezvous

MAX_ADDRESSES = 64
"""Addresses that callers accept in a lookup."""
MIN_WEIGHT = 1e-6
"""Weight of a host that gets requests only if no other host is there."""


class HostSelector:
    """Select hosts by the states that they report.

    Args:
        settings: Settings of this host.
        peers: States of the peers.
        roster: Addresses of the peers.
        report: Returns the status that this host reports about itself.
        rng: Orders the peers that requests are forwarded to.
    """

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        peers: state_link.PeerTable,
        roster: rosters.Roster,
        report: collections.abc.Callable[[], state_link.HostReport],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._roster = roster
        self._report = report
        self._rng = rng

    def live_hosts(self) -> frozenset[str]:
        """Names of the hosts that are reachable, including this one."""
        return frozenset(
            (self._settings.host, *(s.host for s in self._peers.live_states()))
        )

    def sending_hosts(self) -> frozenset[str]:
        """Names of the reachable hosts that can send requests to targets."""
        own = self._settings.host
        hosts = {
            state.host
            for state in self._peers.live_states()
            if state.report.reaches_targets
        }
        if self._report().reaches_targets or not hosts:
            hosts.add(own)
        return frozenset(hosts)

    def find_forwarding_peers(
        self, allowed_regions: frozenset[str]
    ) -> list[peer_forwarder.Peer]:
        """Find the peers that may run a request in place of this host.

        Args:
            allowed_regions: Regions that may receive it; empty for all.

        Returns:
            Serving peers that reach the targets; those of this host's region
            come first. The order is random, with a probability to come next in
            proportion to the weight of the host.
        """
        own = self._settings
        found = [
            (
                state.region != own.region,
                self._rng.expovariate(max(state.report.weight, MIN_WEIGHT)),
                state,
            )
            for state in self._peers.live_states()
            if state.report.is_serving
            and state.report.reaches_targets
            and (not allowed_regions or state.region in allowed_regions)
        ]
        found.sort(key=lambda item: item[:2])
        return [
            peer_forwarder.Peer(
                state.host,
                f'{settings_module.parse_address(state.caller_address)[0]}'
                f':{own.peer_port}',
            )
            for _, _, state in found
        ]

    def find_repeat_hosts(self) -> quarantines.HostView:
        """Find the hosts at which a repeat of a request may arrive."""
        live = self.live_hosts()
        known = live | self._peers.region_by_host().keys()
        if len(known) == 1:
            # A host that has heard of no peer since its start.
            known |= self._roster.ip_by_host.keys()
        return quarantines.HostView(live, known)

    def find_senders(self, domain: str) -> rate_budget.HostGroup:
        """Find the hosts that may send to a target with a rate limit.

        Args:
            domain: Failure domain of the target.

        Returns:
            The serving hosts of its region; those of all regions if it has
            none.
        """
        own = self._settings
        states = self._peers.live_states()
        serving = {
            state.host: state.region
            for state in states
            if state.report.is_serving and state.report.reaches_targets
        }
        report = self._report()
        if report.is_serving and (report.reaches_targets or not serving):
            serving[own.host] = own.region
        silent = {
            host: region
            for host, region in self._peers.region_by_host().items()
            if host in self._roster.ip_by_host
        }
        for state in states:
            silent.pop(state.host, None)
        region = own.region_by_domain.get(domain, domain)
        if region not in serving.values():
            return _group(serving.keys(), silent.keys())
        return _group(
            (host for host in serving if serving[host] == region),
            (host for host in silent if silent[host] == region),
        )

    def select_addresses(self, region: str, caller: str) -> list[str]:
        """Select the hosts that a lookup returns to a caller.

        The failure domain of the caller is ignored, since hosts of one region
        are about 1 ms apart.

        Args:
            region: Region of the caller.
            caller: Identity of the caller.

        Returns:
            Addresses of serving hosts in the region, or in all if it has none;
            `MAX_ADDRESSES` at most. Hosts that do not reach the targets are
            left out, unless no host does.
        """
        own = self._settings
        serving = [
            (region, address, report)
            for region, address, report in (
                (own.region, own.caller_address, self._report()),
                *(
                    (state.region, state.caller_address, state.report)
                    for state in self._peers.live_states()
                ),
            )
            if report.is_serving
        ]
        reaching = [item for item in serving if item[2].reaches_targets]
        weights_by_region: dict[str, dict[str, float]] = (
            collections.defaultdict(dict)
        )
        for host_region, address, report in reaching or serving:
            weights_by_region[host_region][address] = report.weight
        if region in weights_by_region:
            weights_by_region = {region: weights_by_region[region]}
        addresses = [
            address
            for weights in weights_by_region.values()
            for address in host_weight.select_hosts(weights, caller)
        ]
        if len(addresses) <= MAX_ADDRESSES:
            return addresses
        # The same hosts each time, so that the caller keeps its connections.
        return rendezvous.rank(addresses, caller)[:MAX_ADDRESSES]


def _group(
    live: collections.abc.Iterable[str], silent: collections.abc.Iterable[str]
) -> rate_budget.HostGroup:
    hosts = frozenset(live)
    return rate_budget.HostGroup(hosts, len(hosts) + len(list(silent)))
