"""Hosts that have left the platform's list."""

from __future__ import annotations

from wigeonhatch.platform import interface

LISTS_WITHOUT_HOST = 3
"""Newer lists in a row that must omit a host: a single list may be wrong."""


class Departures:
    """Follow the platform's list and tell which hosts no longer exist."""

    def __init__(self) -> None:
        self._version = 0
        self._omissions_by_name: dict[str, int] = {}

    def on_host_list(self, hosts: interface.HostList) -> None:
        """Learn a host list; one that is not newer has no effect.

        Args:
            hosts: List as the platform sent it, possibly stale.
        """
        if hosts.version <= self._version:
            return
        self._version = hosts.version
        for name in self._omissions_by_name:
            if name not in hosts.state_by_name:
                self._omissions_by_name[name] += 1
        for name in hosts.state_by_name:
            self._omissions_by_name[name] = 0

    def has_left(self, host: str) -> bool:
        """Tell whether a host that was listed before no longer exists.

        Args:
            host: Name of the host.
        """
        return self._omissions_by_name.get(host, 0) >= LISTS_WITHOUT_HOST
