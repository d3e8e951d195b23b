"""Rate limit of requests to targets that are warming up."""

from __future__ import annotations

import collections.abc

from wigeonhatch import clock as clocks
from wigeonhatch.balance import _token_bucket
from wigeonhatch.steering import rendezvous

MAX_OWNERS = 2
"""Hosts that send to one cold target, so that one is left if one fails."""


class WarmupBudget:
    """Limit the rate of this host's requests to each cold target.

    The hosts that rank first for a target, its owners, share its rate equally.
    Hosts that see different peers may select different owners; the limit of
    the target allows for twice the rate.

    Args:
        host: Name of this host.
        clock: Source of monotonic time.
        live_hosts: Names of the hosts that are reachable, with this one.
    """

    def __init__(
        self,
        host: str,
        clock: clocks.Clock,
        live_hosts: collections.abc.Callable[[], collections.abc.Set[str]],
    ) -> None:
        self._host = host
        self._clock = clock
        self._live_hosts = live_hosts
        self._bucket_by_target: dict[str, _token_bucket.TokenBucket] = {}

    def has_token(self, target: str, rate_per_s: float) -> bool:
        """Tell whether a request may be sent to a cold target.

        Args:
            target: Name of the target.
            rate_per_s: Requests per second that it tolerates from all hosts.
        """
        if rate_per_s <= 0:
            return True
        owners = rendezvous.rank(self._live_hosts(), target)[:MAX_OWNERS]
        if self._host not in owners:
            return False
        bucket = self._bucket_by_target.get(target)
        if bucket is None:
            bucket = _token_bucket.TokenBucket(self._clock)
            self._bucket_by_target[target] = bucket
        return bucket.refill(rate_per_s / len(owners))

    def take_token(self, target: str) -> None:
        """Consume the token whose presence `has_token` has confirmed."""
        bucket = self._bucket_by_target.get(target)
        if bucket is not None:
            bucket.take()

    def retain(self, targets: collections.abc.Set[str]) -> None:
        """Discard the budgets of all targets except the given ones."""
        for target in self._bucket_by_target.keys() - targets:
            del self._bucket_by_target[target]
