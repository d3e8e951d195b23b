"""Part of the callers that a host can take beside one with a wide link."""

from __future__ import annotations

import collections.abc

import xxhash

CPU_MS_PER_REQUEST = 3.0
"""Processor time of one request, as charged on the hosts of the users' bench,
without the start."""
DEFAULT_REQUEST_BYTES = 10_000.0
"""Assumed bytes of a request and its response until some were measured."""
OVERHEAD_BYTES = 1_500
"""Bytes of heads and acknowledgements of one request, each way."""
FULL_WEIGHT = 1.0
_SMOOTHING = 0.005
"""Weight of the newest request; about the last 200 count, as few are large."""
_BITS_PER_MEGABIT = 1_000_000
_BITS_PER_BYTE = 8
_HASHES = 2.0**64


class LinkWeight:
    """Learn how much of a host's processor its link can feed.

    Args:
        link_mbps: Rate of the host's link in Mbit/s; 0 if not known.
        cores: Processor of the host in cores.
    """

    def __init__(self, link_mbps: float, cores: float) -> None:
        self._link_bytes_per_s = link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE
        self._requests_per_s = cores * 1_000 / CPU_MS_PER_REQUEST
        self._bytes = DEFAULT_REQUEST_BYTES

    def on_request(self, request_bytes: int, response_bytes: int) -> None:
        """Learn the size of a request, whose bytes cross the link both ways.

        Args:
            request_bytes: Bytes of its body.
            response_bytes: Bytes of the response's body.
        """
        size = request_bytes + response_bytes + OVERHEAD_BYTES
        self._bytes += _SMOOTHING * (size - self._bytes)

    @property
    def weight(self) -> float:
        """Part of the callers, 1 for a host whose link is wide enough."""
        if not self._link_bytes_per_s or not self._requests_per_s:
            return FULL_WEIGHT
        link_requests_per_s = self._link_bytes_per_s / self._bytes
        return min(FULL_WEIGHT, link_requests_per_s / self._requests_per_s)


def select_hosts(
    weight_by_address: collections.abc.Mapping[str, float], caller: str
) -> list[str]:
    """Select the hosts that a caller may use.

    A host with a narrow link is named to a part of the callers, always the
    same ones, so that they keep their connections.

    Args:
        weight_by_address: Weight of each serving host.
        caller: Identity of the caller.

    Returns:
        The widest hosts, and the others by their weights.
    """
    widest = max(weight_by_address.values(), default=0.0)
    return [
        address
        for address, weight in weight_by_address.items()
        if weight >= widest * _draw(caller, address)
    ]


def _draw(caller: str, address: str) -> float:
    digest = xxhash.xxh3_64_intdigest(f'{caller}\0{address}'.encode())
    return digest / _HASHES
