"""Distribution of the configuration between hosts by gossip."""

from __future__ import annotations

import logging
import random

import anyio
import anyio.abc

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.config import model
from wigeonhatch.peers import channels as peer_channels
from wigeonhatch.peers import config_store
from wigeonhatch.peers import control_counters
from wigeonhatch.peers import peer_selector
from wigeonhatch.peers import peers_pb2

_LOG = logging.getLogger(__name__)
FANOUT = 4
_TIMEOUT_S = 1.0
_MIN_BATCH_DELAY_MS = 1
_MAX_BATCH_DELAY_MS = 5
_PUSH_PAUSE_MS = 50
"""Limits the rate of calls while many versions arrive."""


class ConfigGossip:
    """Pushes new configurations to peers and fetches missing ones.

    Args:
        store: Configuration in force.
        channels: Channels to the peers.
        selector: Selects the peers to call.
        clock: Clock of the host.
        rng: Source of randomness.
        counters: Counters of control messages.
    """

    def __init__(
        self,
        store: config_store.ConfigStore,
        channels: peer_channels.PeerChannels,
        selector: peer_selector.PeerSelector,
        clock: clocks.Clock,
        rng: random.Random,
        counters: control_counters.ControlCounters,
    ) -> None:
        self._store = store
        self._channels = channels
        self._selector = selector
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._changed = anyio.Event()
        self._pushed_version = 0
        self._is_fetching = False
        store.subscribe(self._on_change)

    async def run(self) -> None:
        """Push each new configuration once, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._changed.wait()
                # The delay batches versions that arrive together.
                await self._clock.sleep_ms(
                    self._rng.randint(_MIN_BATCH_DELAY_MS, _MAX_BATCH_DELAY_MS)
                )
                self._changed = anyio.Event()
                base_version = self._pushed_version
                self._pushed_version = self._store.version
                for host in self._selector.choose(FANOUT):
                    group.start_soon(self.push, host, base_version)
                await self._clock.sleep_ms(_PUSH_PAUSE_MS)

    async def push(self, host: str, base_version: int) -> None:
        """Send the configuration in force to a peer.

        Args:
            host: Name of the peer.
            base_version: Version that the peer is expected to hold; if it
                holds another one, a second update is based on that one.
        """
        for _ in range(2):
            update = self._store.make_update(base_version)
            stub = self._channels.stub(host)
            if stub is None or not update.version:
                return
            self._counters.calls_sent += 1
            self._counters.bytes_sent += update.ByteSize()
            try:
                ack = await stub.PushConfig(update, timeout=_TIMEOUT_S)
            except peer_channels.PEER_ERRORS as error:
                self._counters.calls_failed += 1
                _LOG.debug('push to host %s failed: %s', host, error)
                return
            except Exception:
                # An unexpected error in one call must not stop the daemon.
                _LOG.exception('push to host %s failed', host)
                return
            self._counters.bytes_received += ack.ByteSize()
            if ack.version > self._store.version:
                await self.fetch(host)
                return
            if ack.version >= update.version:
                return
            base_version = ack.version

    async def fetch(self, host: str) -> None:
        """Fetch a newer configuration, unless a fetch is in progress.

        Args:
            host: Name of the peer.
        """
        stub = self._channels.stub(host)
        if self._is_fetching or stub is None:
            return
        self._is_fetching = True
        try:
            # If the diff does not apply, the whole document is fetched.
            for base_version in (self._store.version, 0):
                request = peers_pb2.FetchConfigRequest(version=base_version)
                self._counters.calls_sent += 1
                self._counters.bytes_sent += request.ByteSize()
                update = await stub.FetchConfig(request, timeout=_TIMEOUT_S)
                self._counters.bytes_received += update.ByteSize()
                result = self._accept(update)
                if (
                    isinstance(result, outcome.Success)
                    or result.code is not codes.ResultCode.CONFLICT
                ):
                    return
        except peer_channels.PEER_ERRORS as error:
            self._counters.calls_failed += 1
            _LOG.debug('fetch from host %s failed: %s', host, error)
        except Exception:
            _LOG.exception('fetch from host %s failed', host)
        finally:
            self._is_fetching = False

    def on_push(self, update: peers_pb2.ConfigUpdate) -> peers_pb2.ConfigAck:
        """Handle `PushConfig`."""
        self._counters.calls_received += 1
        self._counters.bytes_received += update.ByteSize()
        self._accept(update)
        ack = peers_pb2.ConfigAck(version=self._store.version)
        self._counters.bytes_sent += ack.ByteSize()
        return ack

    def on_fetch(
        self, request: peers_pb2.FetchConfigRequest
    ) -> peers_pb2.ConfigUpdate:
        """Handle `FetchConfig`."""
        self._counters.calls_received += 1
        self._counters.bytes_received += request.ByteSize()
        update = self._store.make_update(request.version)
        self._counters.bytes_sent += update.ByteSize()
        return update

    def _accept(
        self, update: peers_pb2.ConfigUpdate
    ) -> outcome.Success[bool] | outcome.Failure:
        result = self._store.accept(update)
        if (
            isinstance(result, outcome.Failure)
            and result.code is not codes.ResultCode.CONFLICT
        ):
            _LOG.error(
                'version %d from a peer is invalid: %s',
                update.version,
                result.detail,
            )
        return result

    def _on_change(self, versioned: model.VersionedConfig) -> None:
        del versioned
        self._changed.set()
