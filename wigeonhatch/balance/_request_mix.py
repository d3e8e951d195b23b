"""Recent requests by service and regions that may serve them."""

from __future__ import annotations

import typing

_KeyT = typing.TypeVar('_KeyT')
Key = tuple[str, frozenset[str]]
"""Service, and the regions that may serve a request; empty for all."""
_DECAY = 0.85
"""Decay in each step of the fractions; half after about 2 s."""
_MIN_COUNT = 0.01
_MAX_DEMAND_RATIO = 2.0
"""Largest ratio of all requests to those that are sent. Refused callers that
return are counted again."""


class RequestMix:
    """Count requests, with older ones decayed."""

    def __init__(self) -> None:
        self._count_by_key: dict[Key, float] = {}
        self._sent_by_service: dict[str, float] = {}

    def on_request(self, service: str, regions: frozenset[str]) -> None:
        """Count a request.

        Args:
            service: Name of the service.
            regions: Regions that may serve it.
        """
        key = (service, regions)
        self._count_by_key[key] = self._count_by_key.get(key, 0.0) + 1.0

    def on_sent(self, service: str) -> None:
        """Count a request that is sent to a target.

        Args:
            service: Name of the service.
        """
        sent = self._sent_by_service
        sent[service] = sent.get(service, 0.0) + 1.0

    def demand_ratio(self, service: str) -> float:
        """Ratio of all requests to those that are sent; 1 if none is refused.

        Args:
            service: Name of the service.
        """
        count = sum(
            count
            for (name, _), count in self._count_by_key.items()
            if name == service
        )
        sent = max(1.0, self._sent_by_service.get(service, 0.0))
        return max(1.0, min(_MAX_DEMAND_RATIO, count / sent))

    def fractions(self) -> dict[Key, float]:
        """Fraction of the requests by key; empty if there are none."""
        total = sum(self._count_by_key.values())
        if total < 1:
            return {}
        return {
            key: count / total for key, count in self._count_by_key.items()
        }

    def decay(self) -> None:
        """Let the counts decay by one step."""
        self._count_by_key = _decay(self._count_by_key)
        self._sent_by_service = _decay(self._sent_by_service)


def _decay(
    count_by_key: dict[_KeyT, float],
) -> dict[_KeyT, float]:
    return {
        key: count * _DECAY
        for key, count in count_by_key.items()
        if count * _DECAY >= _MIN_COUNT
    }
