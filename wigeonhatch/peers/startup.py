"""First configuration of a host that starts with nothing."""

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
_CALL_SECONDS = 1.0
_PLATFORM_SECONDS = 2.0
_RETRY_MS = 500
_MAX_ASKED = 16
"""Hosts of the first configuration that are asked for a newer one."""


class Startup:
    """Finds the newest configuration that the platform and peers know.

    Args:
        membership: Records; learns of an earlier daemon of this host.
        store: Receives the configuration.
        source: Reads of the platform.
        channels: Channels to the peers.
        seeds: Addresses to ask.
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
        """Try until there is a configuration in force.

        Returns:
            The configuration; whoever waits is not ready until then.
        """
        while True:
            found = await self.attempt()
            if isinstance(found, outcome.Success):
                return found.value
            _LOG.warning('not ready: %s', found.detail)
            await self._clock.sleep_ms(_RETRY_MS)

    async def attempt(
        self,
    ) -> outcome.Success[model.VersionedConfig] | outcome.Failure:
        """Ask the platform and all seeds once.

        Returns:
            The newest configuration, or `NOT_READY` without any.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_platform)
            for address in self._seeds:
                group.start_soon(self._ask_seed, address)
        current = self._store.current
        if current is None:
            return outcome.Failure(
                codes.ResultCode.NOT_READY,
                'neither the platform nor a seed has a configuration',
            )
        # This host may have held a version that the seeds do not have yet.
        hosts = list(self._channels.hosts)
        if len(hosts) > _MAX_ASKED:
            hosts = self._rng.sample(hosts, _MAX_ASKED)
        async with anyio.create_task_group() as group:
            for host in hosts:
                group.start_soon(self._ask_host, host)
        await self._source.read_splits()
        return outcome.Success(self._store.current or current)

    async def _ask_platform(self) -> None:
        try:
            with anyio.move_on_after(_PLATFORM_SECONDS):
                await self._read_platform()
        except Exception:
            # A malformed row or object must not end the daemon.
            _LOG.exception('platform at start')

    async def _read_platform(self) -> None:
        head = await self._source.read_current_head()
        if isinstance(head, outcome.Failure):
            _LOG.warning('platform at start: %s', head.detail)
            return
        if head.value is None:
            return
        document = await self._source.read_document(head.value)
        if isinstance(document, outcome.Failure):
            _LOG.warning('platform at start: %s', document.detail)
            return
        offered = self._store.offer_document(
            document.value.version,
            document.value.change_id,
            document.value.document,
        )
        if isinstance(offered, outcome.Failure):
            _LOG.error('platform at start: %s', offered.detail)

    async def _ask_seed(self, address: str) -> None:
        async with self._channels.open_seed(address) as stub:
            await self._ask(stub, address)

    async def _ask_host(self, host: str) -> None:
        stub = self._channels.stub(host)
        if stub is not None:
            await self._ask(stub, host)

    async def _ask(self, stub: peers_grpc.PeersStub, name: str) -> None:
        request = peers_pb2.ExchangeRequest(
            sender=self._membership.own_message,
            digests=peers_pb2.Digests(),
            config_version=self._store.version,
        )
        try:
            reply = await stub.Exchange(request, timeout=_CALL_SECONDS)
            self._membership.on_records(reply.records)
            self._membership.on_digests(reply.digests)
            # Another answer may arrive in between, so that a diff does not
            # apply; the document always does.
            for version in (self._store.version, 0):
                update = await stub.FetchConfig(
                    peers_pb2.FetchConfigRequest(version=version),
                    timeout=_CALL_SECONDS,
                )
                accepted = self._store.accept(update)
                if isinstance(accepted, outcome.Success):
                    return
                _LOG.info('peer %s at start: %s', name, accepted.detail)
        except peer_channels.PEER_ERRORS as error:
            _LOG.info('peer %s at start: %s', name, error)
        except Exception:
            # A malformed answer must not end the daemon.
            _LOG.exception('peer %s at start', name)
