"""Weights of hosts whose network link limits the requests they can serve."""

from __future__ import annotations

import collections.abc

import xxhash

CPU_MS_PER_REQUEST = 3.0
"""Processor time of one request, without the start of the process."""
DEFAULT_REQUEST_BYTES = 10_000.0
"""Size of a request and its response, assumed until requests have ended."""
OVERHEAD_BYTES = 1_500
"""Bytes of headers and acknowledgements per request, in each direction."""
FULL_WEIGHT = 1.0
"""Weight of a host whose processor, not its link, is the bottleneck."""
_SMOOTHING = 0.005
"""Smoothing factor; averages about 200 requests, since few are large."""
_BITS_PER_MEGABIT = 1_000_000
_BITS_PER_BYTE = 8
_HASH_RANGE = 2.0**64


class LinkWeight:
    """Estimate the fraction of a host's capacity that its link can carry.

    Args:
        link_mbps: Bandwidth of the host's link in Mbit/s; 0 if unknown.
        cores: Processor capacity of the host in cores.
    """

    def __init__(self, link_mbps: float, cores: float) -> None:
        self._link_bytes_per_s = link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE
        self._requests_per_s = cores * 1_000 / CPU_MS_PER_REQUEST
        self._mean_bytes = DEFAULT_REQUEST_BYTES

    def on_request(self, request_bytes: int, response_bytes: int) -> None:
        """Record the size of a request; its bytes cross the link both ways.

        Args:
            request_bytes: Size of the request body.
            response_bytes: Size of the response body.
        """
        size = request_bytes + response_bytes + OVERHEAD_BYTES
        self._mean_bytes += _SMOOTHING * (size - self._mean_bytes)

    @property
    def weight(self) -> float:
        """Fraction of callers for the host; 1 if the link is fast enough."""
        if not self._link_bytes_per_s or not self._requests_per_s:
            return FULL_WEIGHT
        link_requests_per_s = self._link_bytes_per_s / self._mean_bytes
        return min(FULL_WEIGHT, link_requests_per_s / self._requests_per_s)


def select_hosts(
    weight_by_address: collections.abc.Mapping[str, float], caller: str
) -> list[str]:
    """Select the hosts that are returned to a caller.

    A host with a slow link is returned to a fixed subset of the callers, so
    that these keep their connections.

    Args:
        weight_by_address: Weight of each serving host.
        caller: Identity of the caller.

    Returns:
        All hosts of the highest weight; each other host with a probability
        in proportion to its weight, decided by a hash of the caller.
    """
    max_weight = max(weight_by_address.values(), default=0.0)
    return [
        address
        for address, weight in weight_by_address.items()
        if weight >= max_weight * _hash_to_fraction(caller, address)
    ]


def _hash_to_fraction(caller: str, address: str) -> float:
    digest = xxhash.xxh3_64_intdigest(f'{caller}\0{address}'.encode())
    return digest / _HASH_RANGE
