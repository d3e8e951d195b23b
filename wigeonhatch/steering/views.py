"""Protocols for the state of hosts and links that steering reads."""

from __future__ import annotations

import collections.abc
import typing


class LoadView(typing.Protocol):
    """Load of one service on the targets that a host admits requests to."""

    @property
    def free(self) -> int:
        """Number of free slots."""
        ...

    @property
    def capacity(self) -> int:
        """Total number of slots."""
        ...


class RecordView(typing.Protocol):
    """State record that a host announces to its peers."""

    @property
    def incarnation(self) -> int:
        """Number that identifies this run of the daemon."""
        ...

    @property
    def sequence(self) -> int:
        """Sequence number of the record within the incarnation."""
        ...


class MembershipView(typing.Protocol):
    """Subset of `peers.membership.Membership` that steering uses."""

    def record(self, host: str) -> RecordView | None:
        """Return the newest record received from a host."""
        ...

    def is_reachable(self, host: str) -> bool:
        """Report whether a host is considered reachable."""
        ...

    def is_serving(self, host: str) -> bool:
        """Report whether a host is reachable, serving and not draining."""
        ...

    def actor_for(self, host: str) -> str | None:
        """Return the host that has taken over the targets of a host."""
        ...

    def load(self, host: str, service: str) -> LoadView | None:
        """Return the load that a host last reported for a service."""
        ...

    def draining(self) -> frozenset[str]:
        """Return the names of draining hosts and targets."""
        ...


GetLocalLoad = collections.abc.Callable[[str], LoadView | None]
"""Returns the load of a service on the targets that this host admits to."""

CanSend = collections.abc.Callable[[str, bool], bool]
"""Reports whether the link to (remote region, bulk) has bandwidth left."""
