"""Choice of the peers that a host exchanges state with."""

from __future__ import annotations

import collections.abc
import random

from wigeonhatch.steering import rendezvous

PARTNER_LIMIT = 6
_STRAY_PERCENT = 10


class PeerSelector:
    """Peers to call, at random.

    A host calls mostly the same few peers, because each open channel costs
    a ping per second and each new channel about 1 ms of processor time. The
    remaining calls go to any peer, so that parts which were separated find
    each other again.

    Args:
        host: Name of this host.
        names: Returns the peers that have an address, in the same object
            until they change.
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
        self._known: tuple[str, ...] = ()
        self._usual: list[str] = []

    def choose(self, count: int) -> list[str]:
        """Choose peers.

        Args:
            count: Number of peers wanted.

        Returns:
            At most that many peers, without repetition.
        """
        names = self._names()
        if len(names) <= PARTNER_LIMIT:
            return self._rng.sample(names, min(count, len(names)))
        if names is not self._known:
            self._known = names
            subject = f'partner/{self._host}'
            self._usual = rendezvous.rank(names, subject)[:PARTNER_LIMIT]
        chosen = self._rng.sample(self._usual, min(count, len(self._usual)))
        if self._rng.randrange(100) < _STRAY_PERCENT * count:
            stray = self._rng.choice(names)
            if stray not in chosen:
                chosen[-1] = stray
        return chosen
