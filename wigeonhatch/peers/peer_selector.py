"""Selection of the peers that a host calls for gossip."""

from __future__ import annotations

import collections.abc
import random

from wigeonhatch.steering import rendezvous

PREFERRED_LIMIT = 6
_RANDOM_PEER_PERCENT = 10


class PeerSelector:
    """Selects random peers, mostly from a small preferred set.

    A host calls mostly the same few peers, because each open channel costs
    a ping per second and each new channel about 1 ms of processor time. The
    remaining calls go to any peer, so that groups of hosts find each other
    again after a network partition.

    Args:
        host: Name of this host.
        names: Returns the peers that have an address; the same object as
            long as they do not change.
        rng: Source of randomness.
    """

    def __init__(
        self,
        host: str,
        names: collections.abc.Callable[[], tuple[str, ...]],
        rng: random.Random,
    ) -> None:
        self._host = host
        self._names = names
        self._rng = rng
        self._ranked_names: tuple[str, ...] = ()
        self._preferred: list[str] = []

    def choose(self, count: int) -> list[str]:
        """Select random peers.

        Args:
            count: Number of peers wanted.

        Returns:
            At most `count` peers, without duplicates.
        """
        names = self._names()
        if len(names) <= PREFERRED_LIMIT:
            return self._rng.sample(names, min(count, len(names)))
        if names is not self._ranked_names:
            self._ranked_names = names
            key = f'partner/{self._host}'
            self._preferred = rendezvous.rank(names, key)[:PREFERRED_LIMIT]
        selected = self._rng.sample(
            self._preferred, min(count, len(self._preferred))
        )
        if self._rng.randrange(100) < _RANDOM_PEER_PERCENT * count:
            random_peer = self._rng.choice(names)
            if random_peer not in selected:
                selected[-1] = random_peer
        return selected
