"""Addresses of the hosts that the platform's store lists."""

from __future__ import annotations

import collections.abc
import ipaddress

import msgspec

from wigeonhatch import decoding


class HostEntry(msgspec.Struct, frozen=True):
    """Content of the row of one host in the store.

    Args:
        ip: Address of the host.
        incarnation: Time of its start in ms since the Unix epoch.
    """

    ip: str
    incarnation: int

    def __post_init__(self) -> None:
        """Reject what is no address.

        Raises:
            ValueError: `ip` is no IP address.
        """
        ipaddress.ip_address(self.ip)


class Roster:
    """Addresses of all other hosts by name.

    Args:
        own_host: Name of this host, which is ignored.
    """

    def __init__(self, own_host: str) -> None:
        self.ip_by_host: dict[str, str] = {}
        self._own_host = own_host

    def put_entry(self, host: str, content: bytes) -> None:
        """Store the address from the row of a host.

        Args:
            host: Name of the host.
            content: Encoded row.

        Raises:
            DecodeError: The row is malformed.
        """
        if host == self._own_host:
            return
        entry = decoding.decode_json(content, HostEntry)
        self.ip_by_host[host] = entry.ip

    def set_ip(self, host: str, ip: str) -> None:
        """Store the address that a host has sent in its state."""
        if host != self._own_host:
            self.ip_by_host[host] = ip

    def remove(self, host: str) -> None:
        """Remove a host that has left."""
        self.ip_by_host.pop(host, None)

    def retain(self, hosts: collections.abc.Set[str]) -> None:
        """Remove all hosts except the given ones."""
        for host in self.ip_by_host.keys() - hosts:
            del self.ip_by_host[host]


def encode_entry(ip: str, incarnation: int) -> bytes:
    """Encode the row of a host.

    Args:
        ip: Address of the host.
        incarnation: Time of its start in ms since the Unix epoch.
    """
    return msgspec.json.encode(HostEntry(ip, incarnation))
