"""Detection of hosts that have left the platform's host list."""

from __future__ import annotations

import dataclasses

from wigeonhatch import clock as clock_module
from wigeonhatch.platform import interface

OMISSIONS_TO_DEPART = 3
"""Consecutive newer lists that must omit a host before it counts as departed:
a single list may be wrong."""


@dataclasses.dataclass(slots=True)
class _Omissions:
    """Consecutive lists that omit a host."""

    count: int
    since_ms: int


class Departures:
    """Track which hosts have departed according to the platform's lists.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._version = 0
        self._omissions_by_host: dict[str, _Omissions] = {}

    def on_host_list(self, hosts: interface.HostList) -> None:
        """Process a host list; one that is not newer has no effect.

        Args:
            hosts: List as received from the platform, possibly stale.
        """
        if hosts.version <= self._version:
            return
        self._version = hosts.version
        now_ms = self._clock.now_ms
        for name, omissions in self._omissions_by_host.items():
            if name not in hosts.state_by_name:
                if not omissions.count:
                    omissions.since_ms = now_ms
                omissions.count += 1
        for name in hosts.state_by_name:
            self._omissions_by_host[name] = _Omissions(0, now_ms)

    def on_host_alive(self, host: str, age_ms: int = 0) -> None:
        """Discard omissions in lists that precede evidence of a live host.

        A host may be replaced while the lists that omit it are in transit.

        Args:
            host: Name of the host.
            age_ms: Age of the evidence in ms.
        """
        omissions = self._omissions_by_host.get(host)
        if (
            omissions is not None
            and omissions.count
            and self._clock.now_ms - age_ms >= omissions.since_ms
        ):
            omissions.count = 0

    def has_left(self, host: str) -> bool:
        """Return whether a host that was listed before has departed.

        Args:
            host: Name of the host.
        """
        omissions = self._omissions_by_host.get(host)
        return omissions is not None and omissions.count >= OMISSIONS_TO_DEPART
