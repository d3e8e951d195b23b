"""Share of this host in the rate limits that targets state."""

from __future__ import annotations

import collections.abc
import dataclasses

from wigeonhatch import clock as clocks
from wigeonhatch.balance import _token_bucket
from wigeonhatch.balance import rate_limits
from wigeonhatch.steering import rendezvous
from wigeonhatch.targets import registry

SHARE_TTL_MS = 100
"""Time for which a share is used before it is computed again."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostGroup:
    """Hosts of a region that may send to its targets.

    Args:
        live: Names of the hosts that serve callers and can be heard.
        known_count: Number of these hosts and of those that are silent.
    """

    live: frozenset[str]
    known_count: int


FindHosts = collections.abc.Callable[[str], HostGroup]
"""Returns the hosts that may send to the targets of a failure domain."""


@dataclasses.dataclass(slots=True)
class _Share:
    """Share of one target's rate, and the tokens that it has earned."""

    bucket: _token_bucket.TokenBucket
    rate_per_s: float = 0.0
    limit_per_s: float = -1.0
    expires_ms: int = 0


class RateBudget:
    """Limit the requests of all hosts to each target that states a limit.

    The hosts that rank first for a target, its owners, divide the rate; there
    are at most as many as requests a second, because each owner may have saved
    up one token. Hosts that cannot hear each other choose different owners, so
    that those of a group use the fraction of the rate that corresponds to its
    size.

    Args:
        host: Name of this host.
        limits: Rate limits of the targets.
        find_hosts: Returns the hosts that may own a target.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        host: str,
        limits: rate_limits.RateLimitTable,
        find_hosts: FindHosts,
        clock: clocks.Clock,
    ) -> None:
        self._host = host
        self._limits = limits
        self._find_hosts = find_hosts
        self._clock = clock
        self._share_by_target: dict[str, _Share] = {}

    def has_token(self, target: registry.TargetRecord) -> bool:
        """Tell whether the limit of a target, if any, allows a request.

        Args:
            target: The target.
        """
        limit_per_s = self._limits.rate_per_s(target)
        if limit_per_s is None:
            self._share_by_target.pop(target.name, None)
            return True
        share = self._share_by_target.get(target.name)
        if share is None:
            share = self._share_by_target[target.name] = _Share(
                _token_bucket.TokenBucket(self._clock, 0.0)
            )
        now_ms = self._clock.now_ms
        if now_ms >= share.expires_ms or limit_per_s != share.limit_per_s:
            share.rate_per_s = self._own_rate(target, limit_per_s)
            share.limit_per_s = limit_per_s
            share.expires_ms = now_ms + SHARE_TTL_MS
        if not share.rate_per_s:
            # A later owner starts without tokens, as the former one may have
            # used them.
            share.bucket.clear()
            return False
        return share.bucket.refill(share.rate_per_s)

    def take_token(self, target: registry.TargetRecord) -> None:
        """Consume the token whose presence `has_token` has confirmed."""
        share = self._share_by_target.get(target.name)
        if share is not None:
            share.bucket.take()

    def retain(self, targets: collections.abc.Set[str]) -> None:
        """Discard the shares of all targets except the given ones."""
        for target in self._share_by_target.keys() - targets:
            del self._share_by_target[target]

    def _own_rate(
        self, target: registry.TargetRecord, limit_per_s: float
    ) -> float:
        """Requests per second that this host may send; 0 if it is no owner."""
        hosts = self._find_hosts(target.domain)
        count = max(1, min(len(hosts.live), int(limit_per_s)))
        owners = rendezvous.rank(hosts.live, target.name)[:count]
        if self._host not in owners:
            return 0.0
        reached = len(hosts.live) / max(len(hosts.live), hosts.known_count)
        return limit_per_s * reached / count
