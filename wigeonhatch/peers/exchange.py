"""Gossip of host records, drains and splits between hosts."""

from __future__ import annotations

import collections.abc
import logging
import random

import anyio
import anyio.abc

from wigeonhatch import clock as clocks
from wigeonhatch.peers import channels as peer_channels
from wigeonhatch.peers import config_gossip
from wigeonhatch.peers import config_store
from wigeonhatch.peers import control_counters
from wigeonhatch.peers import drains as peer_drains
from wigeonhatch.peers import membership as members
from wigeonhatch.peers import peer_selector
from wigeonhatch.peers import peers_grpc
from wigeonhatch.peers import peers_pb2
from wigeonhatch.peers import split_store
from wigeonhatch.requests import quarantine as quarantines

INTERVAL_MS = 500
PEERS_PER_ROUND = 2
_JITTER_MS = 50
_TIMEOUT_S = 1.0
_MIN_BATCH_DELAY_MS = 1
_MAX_BATCH_DELAY_MS = 5
_PUSH_PAUSE_MS = 100
# For this time a change is included in each request, so that it reaches peers
# without a comparison of digests first.
_RECENT_CHANGE_MS = 1_000
_MAX_RECORD_BYTES = 32_768
_MAX_SPLIT_BYTES = 16_384
_MAX_RECENT_RECORDS = 64
_MAX_DRAINS = 1_024
_LOG = logging.getLogger(__name__)


class StateExchange:
    """Exchanges records, drains and splits with random peers (gossip).

    Args:
        membership: Records and drains.
        store: Configuration in force.
        splits: Newest splits.
        quarantine: Requests that crash targets.
        gossip: Distribution of the configuration.
        channels: Channels to the peers.
        selector: Selects the peers to call.
        clock: Clock of the host.
        rng: Source of randomness.
        counters: Counters of control messages.
    """

    def __init__(
        self,
        membership: members.Membership,
        store: config_store.ConfigStore,
        splits: split_store.SplitStore,
        quarantine: quarantines.QuarantineTable,
        gossip: config_gossip.ConfigGossip,
        channels: peer_channels.PeerChannels,
        selector: peer_selector.PeerSelector,
        clock: clocks.Clock,
        rng: random.Random,
        counters: control_counters.ControlCounters,
    ) -> None:
        self._membership = membership
        self._store = store
        self._splits = splits
        self._quarantine = quarantine
        self._config_gossip = gossip
        self._channels = channels
        self._selector = selector
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._incarnation_by_host: dict[str, int] = {}
        self._changed = anyio.Event()
        self._busy_hosts: set[str] = set()
        membership.subscribe(self._on_change)
        splits.subscribe(self._on_change)
        quarantine.on_change = self._on_change

    async def run(self) -> None:
        """Run gossip rounds and push changes until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._push_changes, group)
            while True:
                self._membership.announce()
                for host in self._selector.choose(PEERS_PER_ROUND):
                    group.start_soon(self.exchange_with, host)
                await self._clock.sleep_ms(
                    INTERVAL_MS + self._rng.randint(-_JITTER_MS, _JITTER_MS)
                )

    async def _push_changes(self, group: anyio.abc.TaskGroup) -> None:
        while True:
            await self._changed.wait()
            await self._clock.sleep_ms(
                self._rng.randint(_MIN_BATCH_DELAY_MS, _MAX_BATCH_DELAY_MS)
            )
            self._changed = anyio.Event()
            self._membership.announce()
            for host in self._selector.choose(config_gossip.FANOUT):
                group.start_soon(self.exchange_with, host, True)
            # Without a pause, many hosts that start together call each other
            # hundreds of times per second.
            await self._clock.sleep_ms(_PUSH_PAUSE_MS)

    async def exchange_with(self, host: str, is_push: bool = False) -> None:
        """Exchange state with one peer.

        Args:
            host: Name of the peer.
            is_push: Whether to call even if a call to the peer is in flight.
        """
        stub = self._channels.stub(host)
        if stub is None or (host in self._busy_hosts and not is_push):
            return
        self._busy_hosts.add(host)
        try:
            reply = await self._call(stub, self._make_request())
            follow_up = self._on_reply(reply)
            if follow_up is not None:
                reply = await self._call(stub, follow_up)
                self._on_reply(reply)
        except peer_channels.PEER_ERRORS as error:
            self._counters.calls_failed += 1
            _LOG.debug('exchange with host %s failed: %s', host, error)
            return
        except Exception:
            # An unexpected error in one call must not stop the daemon.
            _LOG.exception('exchange with host %s failed', host)
            return
        finally:
            self._busy_hosts.discard(host)
        if reply.config_version > self._store.version:
            await self._config_gossip.fetch(host)
        elif reply.config_version < self._store.version:
            await self._config_gossip.push(host, reply.config_version)

    def on_exchange(
        self, request: peers_pb2.ExchangeRequest
    ) -> peers_pb2.ExchangeReply:
        """Handle `Exchange`."""
        self._counters.calls_received += 1
        self._counters.bytes_received += request.ByteSize()
        membership = self._membership
        sender = request.sender
        membership.on_records([sender, *request.records])
        membership.on_heartbeat(
            sender.host,
            sender.incarnation,
            request.sender_heartbeat,
            request.config_version,
        )
        membership.on_digests(request.digests)
        self._merge(request.drains, request.leaving, request.splits)
        if self._incarnation_by_host.get(sender.host) != sender.incarnation:
            self._incarnation_by_host[sender.host] = sender.incarnation
            self._quarantine.report_again()
        self._quarantine.on_report(_decode_crashes(request.crashes))
        newer, digests = membership.compare(
            request.digests, request.is_partial, _MAX_RECORD_BYTES
        )
        reply = peers_pb2.ExchangeReply(
            records=newer,
            digests=digests,
            config_version=self._store.version,
            list_version=membership.drains.leaving.version,
            drains_hash=membership.drains.observations_hash,
            leaving=self._newer_leaving(request.list_version),
            splits_hash=self._splits.versions_hash,
            needs_ids=not membership.can_resolve(request.digests),
            splits=self._splits.encode(
                request.wanted_splits, _MAX_SPLIT_BYTES
            ),
            crashes=_encode_crashes(self._quarantine.build_report()),
        )
        if request.drains_hash != reply.drains_hash:
            reply.drains.extend(self._sample_drains())
        if request.splits_hash != reply.splits_hash:
            reply.split_digests.extend(self._splits.digests())
        self._counters.bytes_sent += reply.ByteSize()
        return reply

    def _make_request(self) -> peers_pb2.ExchangeRequest:
        membership = self._membership
        since_ms = self._clock.now_ms - _RECENT_CHANGE_MS
        digests, is_partial = membership.make_digests(self._rng)
        leaving = membership.drains.recent_leaving(since_ms)
        return peers_pb2.ExchangeRequest(
            sender=membership.own_message,
            sender_heartbeat=membership.own_heartbeat,
            digests=digests,
            is_partial=is_partial,
            config_version=self._store.version,
            list_version=membership.drains.leaving.version,
            drains_hash=membership.drains.observations_hash,
            splits_hash=self._splits.versions_hash,
            records=membership.recent_messages(since_ms)[:_MAX_RECENT_RECORDS],
            drains=_encode_drains(
                membership.drains.recent_observations(since_ms)
            ),
            leaving=None if leaving is None else _encode_leaving(leaving),
            splits=self._splits.encode(
                self._splits.recent_services(since_ms), _MAX_SPLIT_BYTES
            ),
            crashes=_encode_crashes(self._quarantine.build_report()),
        )

    def _on_reply(
        self, reply: peers_pb2.ExchangeReply
    ) -> peers_pb2.ExchangeRequest | None:
        """Merge a reply; return a follow-up request if one is needed."""
        membership = self._membership
        membership.on_records(reply.records)
        membership.on_digests(reply.digests)
        self._merge(reply.drains, reply.leaving, reply.splits)
        self._quarantine.on_report(_decode_crashes(reply.crashes))
        wanted: list[str] = []
        offered: list[str] = []
        if reply.splits_hash != self._splits.versions_hash:
            wanted, offered = self._splits.compare(reply.split_digests)
        drains: list[peers_pb2.TargetDrain] = []
        if reply.drains_hash != membership.drains.observations_hash:
            drains = self._sample_drains()
        leaving = self._newer_leaving(reply.list_version)
        if not (wanted or offered or drains or leaving or reply.needs_ids):
            return None
        digests, is_partial = peers_pb2.Digests(), True
        if reply.needs_ids:
            digests, is_partial = membership.make_digests(self._rng, True)
        return peers_pb2.ExchangeRequest(
            sender=membership.own_message,
            sender_heartbeat=membership.own_heartbeat,
            digests=digests,
            is_partial=is_partial,
            config_version=self._store.version,
            list_version=membership.drains.leaving.version,
            drains_hash=membership.drains.observations_hash,
            splits_hash=self._splits.versions_hash,
            drains=drains,
            leaving=leaving,
            splits=self._splits.encode(offered, _MAX_SPLIT_BYTES),
            wanted_splits=wanted,
        )

    def _merge(
        self,
        drains: collections.abc.Iterable[peers_pb2.TargetDrain],
        leaving: peers_pb2.LeavingList,
        splits: collections.abc.Iterable[peers_pb2.Split],
    ) -> None:
        observations = [
            peer_drains.TargetDrain(
                drain.target, drain.count, drain.observer, drain.draining
            )
            for drain in drains
        ]
        if observations:
            self._membership.on_drains(observations)
        if leaving.version:
            self._membership.on_leaving(
                peer_drains.LeavingList(
                    leaving.version,
                    frozenset(leaving.names),
                    frozenset(leaving.absent),
                )
            )
        self._splits.offer_messages(splits)

    def _sample_drains(self) -> list[peers_pb2.TargetDrain]:
        observations = list(self._membership.drains.observations)
        if len(observations) > _MAX_DRAINS:
            observations = self._rng.sample(observations, _MAX_DRAINS)
        return _encode_drains(observations)

    async def _call(
        self,
        stub: peers_grpc.PeersStub,
        request: peers_pb2.ExchangeRequest,
    ) -> peers_pb2.ExchangeReply:
        self._counters.calls_sent += 1
        self._counters.bytes_sent += request.ByteSize()
        reply: peers_pb2.ExchangeReply = await stub.Exchange(
            request, timeout=_TIMEOUT_S
        )
        self._counters.bytes_received += reply.ByteSize()
        return reply

    def _newer_leaving(self, version: int) -> peers_pb2.LeavingList | None:
        leaving = self._membership.drains.leaving
        return _encode_leaving(leaving) if leaving.version > version else None

    def _on_change(self) -> None:
        self._changed.set()


def _encode_drains(
    observations: collections.abc.Iterable[peer_drains.TargetDrain],
) -> list[peers_pb2.TargetDrain]:
    return [
        peers_pb2.TargetDrain(
            target=drain.target,
            count=drain.count,
            observer=drain.observer,
            draining=drain.draining,
        )
        for drain in observations
    ]


def _encode_leaving(leaving: peer_drains.LeavingList) -> peers_pb2.LeavingList:
    return peers_pb2.LeavingList(
        version=leaving.version,
        names=sorted(leaving.names),
        absent=sorted(leaving.absent),
    )


def _encode_crashes(
    statements: collections.abc.Iterable[quarantines.CrashStatement],
) -> list[peers_pb2.CrashStatement]:
    return [
        peers_pb2.CrashStatement(
            fingerprint=item.fingerprint,
            crashes=[
                peers_pb2.Crash(incarnation=incarnation, age_ms=age_ms)
                for incarnation, age_ms in item.age_ms_by_crash.items()
            ],
            served_age_ms=item.served_age_ms,
        )
        for item in statements
    ]


def _decode_crashes(
    messages: collections.abc.Iterable[peers_pb2.CrashStatement],
) -> collections.abc.Iterator[quarantines.CrashStatement]:
    for item in messages:
        has_served = item.HasField('served_age_ms')
        yield quarantines.CrashStatement(
            item.fingerprint,
            {crash.incarnation: crash.age_ms for crash in item.crashes},
            item.served_age_ms if has_served else None,
        )
