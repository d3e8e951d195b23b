"""Hosts that have left the platform's list."""

from __future__ import annotations

import dataclasses

from wigeonhatch import clock as clock_module
from wigeonhatch.platform import interface

LISTS_WITHOUT_HOST = 3
"""Newer lists in a row that must omit a host: a single list may be wrong."""


@dataclasses.dataclass(slots=True)
class _Omission:
    count: int
    since_ms: int


class Departures:
    """Follow the platform's list and tell which hosts no longer exist.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._version = 0
        self._omission_by_name: dict[str, _Omission] = {}

    def on_host_list(self, hosts: interface.HostList) -> None:
        """Learn a host list; one that is not newer has no effect.

        Args:
            hosts: List as the platform sent it, possibly stale.
        """
        if hosts.version <= self._version:
            return
        self._version = hosts.version
        now_ms = self._clock.now_ms
        for name, omission in self._omission_by_name.items():
            if name not in hosts.state_by_name:
                if not omission.count:
                    omission.since_ms = now_ms
                omission.count += 1
        for name in hosts.state_by_name:
            self._omission_by_name[name] = _Omission(0, now_ms)

    def on_host_alive(self, host: str, age_ms: int = 0) -> None:
        """Learn of a sign of life; lists from before it count no more.

        A host may have been replaced while the lists that omit it were on
        their way.

        Args:
            host: Name of the host.
            age_ms: Age of the sign of life in ms.
        """
        omission = self._omission_by_name.get(host)
        if (
            omission is not None
            and omission.count
            and self._clock.now_ms - age_ms >= omission.since_ms
        ):
            omission.count = 0

    def has_left(self, host: str) -> bool:
        """Tell whether a host that was listed before no longer exists.

        Args:
            host: Name of the host.
        """
        omission = self._omission_by_name.get(host)
        return omission is not None and omission.count >= LISTS_WITHOUT_HOST
