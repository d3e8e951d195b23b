"""Polling of the platform by a few hosts of each failure domain."""

from __future__ import annotations

import collections.abc
import logging
import random

from wigeonhatch import clock as clocks
from wigeonhatch import outcome
from wigeonhatch.config import head as heads
from wigeonhatch.peers import config_store
from wigeonhatch.peers import drains
from wigeonhatch.peers import membership as members
from wigeonhatch.peers import platform_source
from wigeonhatch.platform import interface
from wigeonhatch.steering import rendezvous

POLLERS_PER_DOMAIN = 2
INTERVAL_MS = 1_000
_POLLS_PER_SPLIT_SCAN = 5
"""Number of polls of the head per scan of the splits."""
_LOG = logging.getLogger(__name__)


class PlatformPoller:
    """Polls the platform while this host is one of its domain's pollers.

    Args:
        domain: Failure domain of this host.
        membership: Records of the hosts.
        store: Configuration in force.
        source: Reads from the platform.
        clock: Clock of the host.
        rng: Source of randomness.
        on_host_list: Called with each newer host list; must not block.
    """

    def __init__(
        self,
        domain: str,
        membership: members.Membership,
        store: config_store.ConfigStore,
        source: platform_source.PlatformSource,
        clock: clocks.Clock,
        rng: random.Random,
        on_host_list: collections.abc.Callable[
            [interface.HostList], None
        ] = lambda hosts: None,
    ) -> None:
        self._domain = domain
        self._membership = membership
        self._store = store
        self._source = source
        self._clock = clock
        self._rng = rng
        self._on_host_list = on_host_list
        self._list_version = 0

    @property
    def is_poller(self) -> bool:
        """Whether this host ranks among its domain's first reachable hosts."""
        current = self._store.current
        if current is None:
            # A plain read may be stale, so it must not set the first version.
            return False
        names = [
            name
            for name, host in current.config.host_by_name.items()
            if host.domain == self._domain
            and self._membership.is_reachable(name)
        ]
        ranking = rendezvous.rank(names, f'poller/{self._domain}')
        return self._membership.host in ranking[:POLLERS_PER_DOMAIN]

    async def run(self) -> None:
        """Poll until cancelled."""
        # The random delay spreads the polls of hosts that start together.
        await self._clock.sleep_ms(self._rng.randrange(INTERVAL_MS))
        poll_count = 0
        while True:
            if self.is_poller:
                try:
                    await self.poll(poll_count % _POLLS_PER_SPLIT_SCAN == 0)
                except Exception:
                    # A malformed row or object must not stop the daemon.
                    _LOG.exception('poll of the platform failed')
                poll_count += 1
            await self._clock.sleep_ms(INTERVAL_MS)

    async def poll(self, with_splits: bool) -> None:
        """Read the head, the host list and optionally the splits.

        Args:
            with_splits: Whether to scan the splits as well.
        """
        head = await self._source.read_head()
        if (
            isinstance(head, outcome.Success)
            and head.value is not None
            and head.value.version > self._store.version
        ):
            await self._load(head.value)
        hosts = await self._source.list_hosts()
        if hosts is not None and hosts.version > self._list_version:
            self._list_version = hosts.version
            self._on_host_list(hosts)
            current = self._store.current
            names = current.config.host_by_name if current else ()
            self._membership.on_leaving(extract_leaving(hosts, names))
        if with_splits:
            await self._source.read_splits()

    async def _load(self, head: heads.ConfigHead) -> None:
        document = await self._source.read_document(head)
        if isinstance(document, outcome.Success):
            result = self._store.offer_document(
                document.value.version,
                document.value.change_id,
                document.value.document,
            )
            if isinstance(result, outcome.Success):
                return
            document = result
        _LOG.error(
            'loading version %d failed: %s', head.version, document.detail
        )


def extract_leaving(
    hosts: interface.HostList, names: collections.abc.Iterable[str]
) -> drains.LeavingList:
    """Extract the part of a host list that every host needs.

    Args:
        hosts: List from the platform.
        names: Configured hosts.
    """
    return drains.LeavingList(
        hosts.version,
        frozenset(
            name
            for name, state in hosts.state_by_name.items()
            if state is interface.HostState.LEAVING
        ),
        frozenset(names) - hosts.state_by_name.keys(),
    )


def restore_host_list(
    leaving: drains.LeavingList, names: collections.abc.Iterable[str]
) -> interface.HostList:
    """Rebuild a host list, reduced to configured and leaving hosts.

    Args:
        leaving: Extract of the host list that another host polled.
        names: Configured hosts.
    """
    state_by_name = {
        name: interface.HostState.LIVE
        for name in names
        if name not in leaving.absent
    }
    for name in leaving.names:
        state_by_name[name] = interface.HostState.LEAVING
    return interface.HostList(leaving.version, state_by_name)
