"""Bootstrap of the configuration of a host that starts without state."""

from __future__ import annotations

import collections.abc
import logging
import random

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.config import model
from wigeonhatch.peers import channels as peer_channels
from wigeonhatch.peers import config_store
from wigeonhatch.peers import membership as members
from wigeonhatch.peers import peers_grpc
from wigeonhatch.peers import peers_pb2
from wigeonhatch.peers import platform_source

_LOG = logging.getLogger(__name__)
_TIMEOUT_S = 1.0
_PLATFORM_TIMEOUT_S = 2.0
_RETRY_INTERVAL_MS = 500
_MAX_QUERIED_HOSTS = 16
"""Maximum hosts of the first configuration to query for a newer one."""


class Startup:
    """Loads the newest configuration from the platform and from peers.

    Args:
        membership: Records; detects an earlier daemon of this host.
        store: Receives the configuration.
        source: Reads from the platform.
        channels: Channels to the peers.
        seeds: Peer addresses to query.
        clock: Clock of the host.
        rng: Source of randomness.
    """

    def __init__(
        self,
        membership: members.Membership,
        store: config_store.ConfigStore,
        source: platform_source.PlatformSource,
        channels: peer_channels.PeerChannels,
        seeds: collections.abc.Sequence[str],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._store = store
        self._source = source
        self._channels = channels
        self._seeds = seeds
        self._clock = clock
        self._rng = rng

    async def run(self) -> model.VersionedConfig:
        """Retry until there is a configuration in force.

        Returns:
            The configuration; the host is not ready until then.
        """
        while True:
            result = await self.attempt()
            if isinstance(result, outcome.Success):
                return result.value
            _LOG.warning('not ready: %s', result.detail)
            await self._clock.sleep_ms(_RETRY_INTERVAL_MS)

    async def attempt(
        self,
    ) -> outcome.Success[model.VersionedConfig] | outcome.Failure:
        """Query the platform and all seeds once.

        Returns:
            The newest configuration, or `NOT_READY` if there is none.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._query_platform)
            for address in self._seeds:
                group.start_soon(self._query_seed, address)
        current = self._store.current
        if current is None:
            return outcome.Failure(
                codes.ResultCode.NOT_READY,
                'neither the platform nor a seed has a configuration',
            )
        # This host may have run a version that the seeds do not have yet.
        hosts = list(self._channels.hosts)
        if len(hosts) > _MAX_QUERIED_HOSTS:
            hosts = self._rng.sample(hosts, _MAX_QUERIED_HOSTS)
        async with anyio.create_task_group() as group:
            for host in hosts:
                group.start_soon(self._query_host, host)
        await self._source.read_splits()
        return outcome.Success(self._store.current or current)

    async def _query_platform(self) -> None:
        try:
            with anyio.move_on_after(_PLATFORM_TIMEOUT_S):
                await self._read_platform()
        except Exception:
            # A malformed row or object must not stop the daemon.
            _LOG.exception('startup read from the platform failed')

    async def _read_platform(self) -> None:
        head = await self._source.read_current_head()
        if isinstance(head, outcome.Failure):
            _LOG.warning('startup head read failed: %s', head.detail)
            return
        if head.value is None:
            return
        document = await self._source.read_document(head.value)
        if isinstance(document, outcome.Failure):
            _LOG.warning('startup document read failed: %s', document.detail)
            return
        result = self._store.offer_document(
            document.value.version,
            document.value.change_id,
            document.value.document,
        )
        if isinstance(result, outcome.Failure):
            _LOG.error('startup document is invalid: %s', result.detail)

    async def _query_seed(self, address: str) -> None:
        async with self._channels.open_seed(address) as stub:
            await self._query(stub, address)

    async def _query_host(self, host: str) -> None:
        stub = self._channels.stub(host)
        if stub is not None:
            await self._query(stub, host)

    async def _query(self, stub: peers_grpc.PeersStub, name: str) -> None:
        request = peers_pb2.ExchangeRequest(
            sender=self._membership.own_message,
            digests=peers_pb2.Digests(),
            config_version=self._store.version,
        )
        try:
            reply = await stub.Exchange(request, timeout=_TIMEOUT_S)
            self._membership.on_records(reply.records)
            self._membership.on_digests(reply.digests)
            # If another reply changes the version in between, the diff does
            # not apply; the whole document always does.
            for version in (self._store.version, 0):
                update = await stub.FetchConfig(
                    peers_pb2.FetchConfigRequest(version=version),
                    timeout=_TIMEOUT_S,
                )
                result = self._store.accept(update)
                if isinstance(result, outcome.Success):
                    return
                _LOG.info('update from %s rejected: %s', name, result.detail)
        except peer_channels.PEER_ERRORS as error:
            _LOG.info('startup query to %s failed: %s', name, error)
        except Exception:
            # A malformed reply must not stop the daemon.
            _LOG.exception('startup query to %s failed', name)
